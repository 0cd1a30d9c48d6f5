package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/base/intake"
	"bramleysail.example/bramleysail/internal/base/meter"
	"bramleysail.example/bramleysail/internal/base/telem"
	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/agent"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// Adapters holds the parts of an entry process that depend on the platform: clients, and names and formats of its
// interfaces.
type Adapters struct {
	Store            store.TxnStore                       // client of the store
	WorkerClient     drive.WorkerClient                   // sends polls and orders to workers
	Codec            drive.Codec                          // decodes the platform's entries in the store
	CallerHandler    func(*Forwarder) http.Handler        // returns the HTTP handler of callers' requests
	ReadinessHandler func(ready func() bool) http.Handler // returns the HTTP handler of readiness checks
	// TimeComputation times a fixed computation on the machine. If it is nil, a built-in one is used.
	TimeComputation func() time.Duration
	// ReadMemory returns the memory that this process uses. If it is nil, the memory isn't watched.
	ReadMemory func() drive.MemoryUsage
	// Meter counts the bytes that this process sends and receives. If it is nil, they aren't counted.
	Meter *meter.Meter
}

// Process is one entry process. It is created by Start and ended by Stop.
type Process struct {
	settings   conf.HostSettings
	adapters   Adapters
	log        logr.Logger
	elector    *lead.Elector  // claims to be the holder and knows who is
	forwarder  *Forwarder     // answers callers' requests
	agent      *agent.Service // calls workers for the holder
	monitor    *peerMonitor   // exchanges heartbeats and status with the other entry processes
	speed      speedMonitor   // measures the machine's slowdown
	callerAddr string         // of the callers' listener

	metricsHandler     http.Handler                // serves the metrics
	metricsCloser      io.Closer                   // closes the scope of the metrics
	peerServer         *link.Server                // serves the calls of other entry processes
	httpServers        []*http.Server              // of callers, readiness checks and metrics
	listenerFailed     chan struct{}               // closed when an HTTP listener fails
	listenerFailedOnce sync.Once                   // guards the closing of listenerFailed
	stopping           atomic.Bool                 // set once Stop is called
	tenure             atomic.Pointer[lead.Tenure] // nil: this process isn't the holder
	lastHandover       atomic.Pointer[time.Time]   // when this process last handed over; nil: never
	cancel             context.CancelFunc          // ends the elector, the heartbeats and the speed checks
	wg                 sync.WaitGroup              // of all goroutines of the process
}

const (
	// drainDelay is how long requests are still accepted after SIGTERM. The load balancer checks readiness every second
	// and removes a host after two failed checks.
	drainDelay = 2500 * time.Millisecond
	// aliveTimeout limits the call that asks a former holder whether it is running.
	aliveTimeout = 200 * time.Millisecond
	// idleTimeout and readHeaderTimeout are the timeouts of the HTTP servers.
	idleTimeout       = time.Minute
	readHeaderTimeout = 3 * time.Second
)

// bodyTime is the time for the body of a caller's request. Its grace is longer than callers wait for an answer.
var bodyTime = intake.ReadTime{Grace: 10 * time.Second, LeastRate: 16 << 10}

// Start starts an entry process with the given settings. It returns an error if an address of the settings can't be
// listened on.
func Start(settings conf.HostSettings, adapters Adapters, log logr.Logger) (*Process, error) {
	var listeners []net.Listener
	for _, addr := range []string{settings.Listen.Peer, settings.Listen.Caller, settings.Listen.Ready, settings.MetricsAddr} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			for _, l := range listeners {
				_ = l.Close()
			}
			return nil, errors.Wrap(err, "front")
		}
		listeners = append(listeners, l)
	}
	for _, l := range listeners[1:] {
		if err := intake.LimitBuffers(l); err != nil {
			log.Error(err, "receive buffers not limited", "addr", l.Addr())
		}
	}
	scope, metricsHandler, metricsCloser := telem.NewMetrics()
	p := newProcess(settings, adapters, log, scope, listeners[0].Addr().String())
	p.callerAddr, p.metricsHandler, p.metricsCloser = listeners[1].Addr().String(), metricsHandler, metricsCloser
	var err error
	if p.peerServer, err = link.NewServer("Peer", &Peer{p.forwarder, p.monitor}); err != nil {
		return nil, err
	}
	p.agent = agent.NewService(adapters.WorkerClient)
	if err := p.peerServer.Register(agent.ServiceName, p.agent); err != nil {
		return nil, err
	}
	if err := p.peerServer.Register(relayServiceName, &relayService{adapters.Store}); err != nil {
		return nil, err
	}
	p.wg.Go(func() { p.peerServer.Serve(adapters.Meter.Listen(listeners[0], meter.Peers)) })
	gate := intake.New(intake.Options{
		Budget: p.forwarder.budget, MaxBody: drive.MaxRequestBody, MaxConns: maxCallerConns(settings.Limit), ReadTime: bodyTime,
		Log: log, Scope: scope,
	})
	p.serveListener(adapters.Meter.Listen(listeners[1], meter.Callers), gate, p.closeUnlessReady(adapters.CallerHandler(p.forwarder)))
	p.serveListener(listeners[2], intake.New(intake.Options{MaxConns: maxProbeConns, ReadTime: bodyTime, Log: log, Scope: scope}), adapters.ReadinessHandler(p.Ready))
	p.serveListener(listeners[3], intake.New(intake.Options{MaxConns: maxProbeConns, ReadTime: bodyTime, Log: log, Scope: scope}), p.metricsHandler)
	ctx := p.runElection(listeners[0].Addr().String())
	p.wg.Go(func() { p.speed.run(ctx) })
	p.wg.Go(func() { adapters.Meter.Run(ctx, settings.Limit.LinkMbps, log, scope) })
	log.Info("start", "zone", settings.Zone, "carries", p.capacity(), "caller", listeners[1].Addr(), "peer", listeners[0].Addr())
	return p, nil
}

// newProcess returns a process that isn't running, with a peer interface at addr.
func newProcess(settings conf.HostSettings, adapters Adapters, log logr.Logger, scope tally.Scope, addr string) *Process {
	p := &Process{settings: settings, adapters: adapters, log: log, speed: speedMonitor{timeComputation: adapters.TimeComputation}, listenerFailed: make(chan struct{})}
	if adapters.TimeComputation == nil {
		p.speed.timeComputation = timeFixedComputation
	}
	p.forwarder = &Forwarder{
		log: log, name: settings.Name, scope: scope, links: link.Set{WrapConn: adapters.Meter.Wrap(meter.Peers)},
		budget: intake.NewBudget(requestMemory(settings.Limit)),
	}
	p.elector = lead.New(lead.Options{
		Store: adapters.Store, Name: settings.Name, Addr: addr,
		LeaseTTL: max(drive.HolderLease, conf.Milliseconds(settings.Store.MinLeaseMillis)), Log: log, HolderAlive: p.holderAlive,
		Capacity: p.capacity,
	})
	p.forwarder.elector = p.elector
	p.monitor = &peerMonitor{log: log, elector: p.elector, peers: linkClient{&p.forwarder.links}, capacity: p.offeredCapacity, limits: agentLimits(settings.Limit)}
	p.forwarder.monitor = p.monitor
	return p
}

// runElection starts the elector and the heartbeats of a process with a peer interface at addr, and returns a context that
// ends when the process is to stop them.
func (p *Process) runElection(addr string) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() { p.forwarder.stalls.Run(ctx) })
	p.wg.Go(func() { p.elector.Run(ctx, p.runTenure) })
	p.wg.Go(func() { p.monitor.sendHeartbeats(ctx, addr, p.settings.Name, heartbeatInterval) })
	return ctx
}

// serveListener starts an HTTP server on a listener, within the bounds of a gate.
func (p *Process) serveListener(l net.Listener, gate *intake.Gate, handler http.Handler) {
	s := &http.Server{Handler: gate.Handler(handler), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	l = gate.Attach(s, l)
	p.httpServers = append(p.httpServers, s)
	p.wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.log.Error(err, "HTTP listener failed", "addr", l.Addr())
			p.listenerFailedOnce.Do(func() { close(p.listenerFailed) })
		}
	})
}

// closeUnlessReady returns a handler that closes each connection after its next answer while this process isn't ready,
// so that callers connect to another host.
func (p *Process) closeUnlessReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.Ready() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Ready reports whether this process can answer callers' requests: it is the holder, or the holder answers it, and it
// isn't stopping.
//
// A host that is cut off from the holder must not be ready. Otherwise, the load balancer would go on sending it
// requests, which would all be refused until the connection is back.
func (p *Process) Ready() bool {
	return !p.stopping.Load() && (p.forwarder.localHolder() != nil || p.monitor.holderReachable())
}

// capacity returns how many workers this process can handle as the holder at its machine's current speed, or 0 if that
// isn't known.
func (p *Process) capacity() int { return workerCapacity(p.settings.Limit, p.speed.slowdown()) }

// offeredCapacity returns the capacity that this process reports to the holder: 0 once it is stopping.
func (p *Process) offeredCapacity() int {
	if p.stopping.Load() {
		return 0
	}
	return p.capacity()
}

// holderAlive asks a former holder whether it is still running as the holder.
func (p *Process) holderAlive(ctx context.Context, holder lead.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	alive, err := p.monitor.peers.Alive(ctx, holder.Addr)
	return err == nil && alive
}

// runTenure runs the scheduler, the choice of agents, peer confirmation and the check for a handover until the tenure ends.
func (p *Process) runTenure(t *lead.Tenure) {
	p.tenure.Store(t)
	defer p.tenure.CompareAndSwap(t, nil)
	defer p.forwarder.setLocalHolder(nil)
	p.wg.Go(func() { p.monitor.confirmWithPeers(t) })
	p.wg.Go(func() { p.monitor.keepVoters(t) })
	p.wg.Go(func() { p.monitor.releaseFormer(t) })
	client := agent.NewClient(t.Context(), agent.Options{
		Direct: p.adapters.WorkerClient, Log: p.log, Scope: p.forwarder.scope, WrapConn: p.adapters.Meter.Wrap(meter.Agents),
		LinkMbps: p.settings.Limit.LinkMbps, ReceivedBytes: p.adapters.Meter.Received,
	})
	p.wg.Go(func() { p.chooseAgents(t, client) })
	p.wg.Go(func() { p.handOverIfOverloaded(t, client) })
	err := drive.Run(drive.Options{
		Store: p.adapters.Store, Workers: client, Codec: p.adapters.Codec, Tenure: t, Log: p.log,
		WorkerLease: drive.WorkerLease(conf.Milliseconds(p.settings.Bound.MaxWorkerLeaseMillis)), MaxUnconfirmed: drive.MaxUnconfirmed,
		MaxWorkerLease:   conf.Milliseconds(p.settings.Bound.MaxWorkerLeaseMillis),
		MaxStopTime:      conf.Milliseconds(p.settings.Bound.MaxStopMillis),
		JobRetention:     2 * conf.Seconds(p.settings.Bound.JobRetentionSeconds),
		PeersConfirmedAt: p.monitor.lastConfirmed,
		Scope:            p.forwarder.scope,
		MemoryLimit:      MemoryLimit(p.settings.Limit),
		ReadMemory:       p.adapters.ReadMemory,
		Relay:            p.relay(client),
	}, p.forwarder.setLocalHolder)
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	p.log.Info("no longer the holder", "term", t.Term(), "cause", cause)
}

// Addr returns the address (host:port) of the callers' listener.
func (p *Process) Addr() string { return p.callerAddr }

// ListenerFailed returns a channel that is closed when an HTTP listener fails.
func (p *Process) ListenerFailed() <-chan struct{} { return p.listenerFailed }

// Stop ends the process gracefully. It resigns if this process is the holder, serves the requests that arrive until the
// load balancer has removed the host, and shuts the servers down. It limits itself to nine tenths of the grace period.
func (p *Process) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, conf.Seconds(p.settings.Bound.GraceSeconds)*9/10)
	defer cancel()
	p.log.Info("stop")
	p.stopping.Store(true)
	p.agent.Stop()
	p.elector.SuspendClaims(conf.Seconds(p.settings.Bound.GraceSeconds))
	if t := p.tenure.Load(); t != nil {
		p.resign(ctx, t)
	}
	wait.For(ctx, drainDelay)
	var firstErr error
	for _, s := range p.httpServers {
		if err := s.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "front")
		}
	}
	p.cancel()
	p.agent.Close()
	p.peerServer.Close()
	p.wg.Wait()
	if err := p.metricsCloser.Close(); err != nil && firstErr == nil {
		firstErr = errors.Wrap(err, "front")
	}
	return firstErr
}
