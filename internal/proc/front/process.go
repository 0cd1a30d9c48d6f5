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
	"bramleysail.example/bramleysail/internal/base/telem"
	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// Adapters is how the platform is met: whatever has names and formats of its own.
type Adapters struct {
	Store            store.TxnStore
	WorkerClient     drive.WorkerClient
	Codec            drive.Codec
	CallerHandler    func(*Forwarder) http.Handler
	ReadinessHandler func(ready func() bool) http.Handler
	// TimeComputation times a fixed computation on the machine; nil: one that is built in.
	TimeComputation func() time.Duration
}

// Process is one entry process; Start makes one and Stop ends it gracefully.
type Process struct {
	settings   conf.HostSettings
	adapters   Adapters
	log        logr.Logger
	elector    *lead.Elector
	forwarder  *Forwarder
	monitor    *peerMonitor
	speed      speedMonitor
	callerAddr string // of the callers' listener

	metricsHandler     http.Handler
	metricsCloser      io.Closer
	peerServer         *link.Server
	httpServers        []*http.Server
	listenerFailed     chan struct{}
	listenerFailedOnce sync.Once
	stopping           atomic.Bool
	tenure             atomic.Pointer[lead.Tenure]
	lastHandover       atomic.Pointer[time.Time] // when this process last handed over; nil: never
	cancel             context.CancelFunc
	wg                 sync.WaitGroup
}

const (
	// drainDelay is how long requests are taken after SIGTERM: the balancer asks every second
	// and needs two misses.
	drainDelay = 2500 * time.Millisecond
	// aliveTimeout bounds the question whether a former holder is at work.
	aliveTimeout      = 200 * time.Millisecond
	idleTimeout       = time.Minute
	readHeaderTimeout = 3 * time.Second
)

// Start listens and serves; the error names the listener that could not be had.
func Start(set conf.HostSettings, out Adapters, log logr.Logger) (*Process, error) {
	h := &Process{settings: set, adapters: out, log: log, speed: speedMonitor{timeComputation: out.TimeComputation}, listenerFailed: make(chan struct{})}
	if out.TimeComputation == nil {
		h.speed.timeComputation = timeFixedComputation
	}
	var lis []net.Listener
	for _, addr := range []string{set.Listen.Peer, set.Listen.Caller, set.Listen.Ready, set.MetricsAddr} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			for _, l := range lis {
				_ = l.Close()
			}
			return nil, errors.Wrap(err, "front")
		}
		lis = append(lis, l)
	}
	h.callerAddr = lis[1].Addr().String()
	var scope tally.Scope
	scope, h.metricsHandler, h.metricsCloser = telem.NewMetrics()
	h.forwarder = &Forwarder{log: log, name: set.Name, scope: scope}
	h.elector = lead.New(lead.Options{
		Store: out.Store, Name: set.Name, Addr: lis[0].Addr().String(),
		LeaseTTL: max(drive.HolderLease, conf.Milliseconds(set.Store.MinLeaseMillis)), Log: log, HolderAlive: h.holderAlive,
		Capacity: h.capacity,
	})
	h.forwarder.elector = h.elector
	h.monitor = &peerMonitor{elector: h.elector, links: &h.forwarder.links, capacity: h.offeredCapacity}
	h.forwarder.monitor = h.monitor
	var err error
	if h.peerServer, err = link.NewServer("Peer", &Peer{h.forwarder, h.monitor}); err != nil {
		return nil, err
	}
	h.wg.Go(func() { h.peerServer.Serve(lis[0]) })
	h.serveListener(lis[1], h.closeUnlessReady(out.CallerHandler(h.forwarder)))
	h.serveListener(lis[2], out.ReadinessHandler(h.Ready))
	h.serveListener(lis[3], h.metricsHandler)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.wg.Go(func() { h.elector.Run(ctx, h.runTenure) })
	h.wg.Go(func() { h.monitor.sendHeartbeats(ctx, lis[0].Addr().String(), set.Name) })
	h.wg.Go(func() { h.speed.run(ctx) })
	log.Info("start", "zone", set.Zone, "carries", h.capacity(), "caller", lis[1].Addr(), "peer", lis[0].Addr())
	return h, nil
}

func (h *Process) serveListener(l net.Listener, handler http.Handler) {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	h.httpServers = append(h.httpServers, s)
	h.wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error(err, "listener lost", "addr", l.Addr())
			h.listenerFailedOnce.Do(func() { close(h.listenerFailed) })
		}
	})
}

// closeUnlessReady has connections closed with their next answer while this process isn't ready, so
// that callers go elsewhere.
func (h *Process) closeUnlessReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.Ready() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Ready reports whether this process can have callers' requests answered: it holds, or the
// holder answers it.
//
// The failure it guards against: a host that is cut off from the holder looks sound to the
// balancer, and its callers are refused for as long as the cut lasts.
func (h *Process) Ready() bool {
	return !h.stopping.Load() && (h.forwarder.localHolder() != nil || h.monitor.holderReachable())
}

// capacity returns how many workers this process can hold at its machine's present speed; 0: not known.
func (h *Process) capacity() int { return workerCapacity(h.settings.Limit, h.speed.slowdown()) }

// offeredCapacity returns how many workers this process would take over: none once it stops.
func (h *Process) offeredCapacity() int {
	if h.stopping.Load() {
		return 0
	}
	return h.capacity()
}

func (h *Process) holderAlive(ctx context.Context, holder lead.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	yes, err := link.Call[int, bool](ctx, h.forwarder.links.Get(holder.Addr), "Peer.Alive", 0)
	return err == nil && yes
}

// runTenure is this process's time as the holder.
func (h *Process) runTenure(t *lead.Tenure) {
	h.tenure.Store(t)
	defer h.tenure.CompareAndSwap(t, nil)
	defer h.forwarder.setLocalHolder(nil)
	h.wg.Go(func() { h.monitor.confirmWithPeers(t) })
	h.wg.Go(func() { h.handOverIfOverloaded(t) })
	err := drive.Run(drive.Options{
		Store: h.adapters.Store, Workers: h.adapters.WorkerClient, Codec: h.adapters.Codec, Tenure: t, Log: h.log,
		WorkerLease: drive.WorkerLease(conf.Milliseconds(h.settings.Bound.MaxWorkerLeaseMillis)), MaxUnconfirmed: drive.MaxUnconfirmed,
		MaxWorkerLease:   conf.Milliseconds(h.settings.Bound.MaxWorkerLeaseMillis),
		MaxStopTime:      conf.Milliseconds(h.settings.Bound.MaxStopMillis),
		JobRetention:     2 * conf.Seconds(h.settings.Bound.JobRetentionSeconds),
		PeersConfirmedAt: h.monitor.lastConfirmed,
		Scope:            h.forwarder.scope,
	}, h.forwarder.setLocalHolder)
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	h.log.Info("no longer the holder", "term", t.Term(), "cause", cause)
}

// Addr returns the address (host:port) at which callers are served.
func (h *Process) Addr() string { return h.callerAddr }

// ListenerFailed is closed when a listener fails.
func (h *Process) ListenerFailed() <-chan struct{} { return h.listenerFailed }

// Stop hands over what this process holds, serves the requests that still come while the
// balancer turns away, and ends.
func (h *Process) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, conf.Seconds(h.settings.Bound.GraceSeconds)*9/10)
	defer cancel()
	h.log.Info("stop")
	h.stopping.Store(true)
	h.elector.SuspendClaims(conf.Seconds(h.settings.Bound.GraceSeconds))
	if t := h.tenure.Load(); t != nil {
		h.resign(ctx, t)
	}
	wait.For(ctx, drainDelay)
	var first error
	for _, s := range h.httpServers {
		if err := s.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "front")
		}
	}
	h.cancel()
	h.peerServer.Close()
	h.wg.Wait()
	if err := h.metricsCloser.Close(); err != nil && first == nil {
		first = errors.Wrap(err, "front")
	}
	return first
}
