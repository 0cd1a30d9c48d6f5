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

// Outside is how the platform is met: whatever has names and formats of its own.
type Outside struct {
	Store     store.TxnStore
	Workers   drive.WorkerClient
	Codec     drive.Codec
	Callers   func(*Desk) http.Handler
	Readiness func(ready func() bool) http.Handler
	// Measure times a fixed computation on the machine; nil: one that is built in.
	Measure func() time.Duration
}

// Host is one entry process; Start makes one and Stop ends it gracefully.
type Host struct {
	set  conf.HostSettings
	out  Outside
	log  logr.Logger
	lead *lead.Elector
	desk *Desk
	peer *peers
	pace pace
	addr string // of the callers' listener

	metrics  http.Handler
	flush    io.Closer
	peers    *link.Server
	servers  []*http.Server
	lost     chan struct{}
	lostOnce sync.Once
	stopping atomic.Bool
	tenure   atomic.Pointer[lead.Tenure]
	handed   atomic.Pointer[time.Time] // when this process last handed over; nil: never
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

const (
	// linger is how long requests are taken after SIGTERM: the balancer asks every second
	// and needs two misses.
	linger = 2500 * time.Millisecond
	// aliveLimit bounds the question whether a former holder is at work.
	aliveLimit = 200 * time.Millisecond
	idleLimit  = time.Minute
	headLimit  = 3 * time.Second
)

// Start listens and serves; the error names the listener that could not be had.
func Start(set conf.HostSettings, out Outside, log logr.Logger) (*Host, error) {
	h := &Host{set: set, out: out, log: log, pace: pace{measure: out.Measure}, lost: make(chan struct{})}
	if out.Measure == nil {
		h.pace.measure = compute
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
	h.addr = lis[1].Addr().String()
	var scope tally.Scope
	scope, h.metrics, h.flush = telem.NewMetrics()
	h.desk = &Desk{log: log, name: set.Name, scope: scope}
	h.lead = lead.New(lead.Options{
		Store: out.Store, Name: set.Name, Addr: lis[0].Addr().String(),
		LeaseTTL: max(drive.HolderLease, conf.Milliseconds(set.Store.MinLeaseMillis)), Log: log, HolderAlive: h.alive,
		Capacity: h.carries,
	})
	h.desk.lead = h.lead
	h.peer = &peers{lead: h.lead, links: &h.desk.links, carries: h.offers}
	h.desk.peers = h.peer
	var err error
	if h.peers, err = link.NewServer("Peer", &Peer{h.desk, h.peer}); err != nil {
		return nil, err
	}
	h.wg.Go(func() { h.peers.Serve(lis[0]) })
	h.serve(lis[1], h.closing(out.Callers(h.desk)))
	h.serve(lis[2], out.Readiness(h.Ready))
	h.serve(lis[3], h.metrics)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.wg.Go(func() { h.lead.Run(ctx, h.hold) })
	h.wg.Go(func() { h.peer.follow(ctx, lis[0].Addr().String(), set.Name) })
	h.wg.Go(func() { h.pace.follow(ctx) })
	log.Info("start", "zone", set.Zone, "carries", h.carries(), "caller", lis[1].Addr(), "peer", lis[0].Addr())
	return h, nil
}

func (h *Host) serve(l net.Listener, handler http.Handler) {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headLimit, IdleTimeout: idleLimit}
	h.servers = append(h.servers, s)
	h.wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error(err, "listener lost", "addr", l.Addr())
			h.lostOnce.Do(func() { close(h.lost) })
		}
	})
}

// closing has connections closed with their next answer while this process isn't ready, so
// that callers go elsewhere.
func (h *Host) closing(next http.Handler) http.Handler {
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
func (h *Host) Ready() bool {
	return !h.stopping.Load() && (h.desk.own() != nil || h.peer.reaches())
}

// carries returns how many workers this process can hold at its machine's present speed; 0: not known.
func (h *Host) carries() int { return carries(h.set.Limit, h.pace.slower()) }

// offers returns how many workers this process would take over: none once it stops.
func (h *Host) offers() int {
	if h.stopping.Load() {
		return 0
	}
	return h.carries()
}

func (h *Host) alive(ctx context.Context, holder lead.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveLimit)
	defer cancel()
	yes, err := link.Call[int, bool](ctx, h.desk.links.Get(holder.Addr), "Peer.Alive", 0)
	return err == nil && yes
}

// hold is this process's time as the holder.
func (h *Host) hold(t *lead.Tenure) {
	h.tenure.Store(t)
	defer h.tenure.CompareAndSwap(t, nil)
	defer h.desk.setOwn(nil)
	h.wg.Go(func() { h.peer.aid(t) })
	h.wg.Go(func() { h.hand(t) })
	err := drive.Run(drive.Options{
		Store: h.out.Store, Workers: h.out.Workers, Codec: h.out.Codec, Tenure: t, Log: h.log,
		WorkerLease: drive.WorkerLease(conf.Milliseconds(h.set.Bound.MaxWorkerLeaseMillis)), MaxUnconfirmed: drive.MaxUnconfirmed,
		MaxWorkerLease:   conf.Milliseconds(h.set.Bound.MaxWorkerLeaseMillis),
		MaxStopTime:      conf.Milliseconds(h.set.Bound.MaxStopMillis),
		JobRetention:     2 * conf.Seconds(h.set.Bound.JobRetentionSeconds),
		PeersConfirmedAt: h.peer.confirmed,
		Scope:            h.desk.scope,
	}, h.desk.setOwn)
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	h.log.Info("no longer the holder", "term", t.Term(), "cause", cause)
}

// Addr returns the address (host:port) at which callers are served.
func (h *Host) Addr() string { return h.addr }

// Lost is closed when a listener fails.
func (h *Host) Lost() <-chan struct{} { return h.lost }

// Stop hands over what this process holds, serves the requests that still come while the
// balancer turns away, and ends.
func (h *Host) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, conf.Seconds(h.set.Bound.GraceSeconds)*9/10)
	defer cancel()
	h.log.Info("stop")
	h.stopping.Store(true)
	h.lead.SuspendClaims(conf.Seconds(h.set.Bound.GraceSeconds))
	if t := h.tenure.Load(); t != nil {
		h.resign(ctx, t)
	}
	wait.For(ctx, linger)
	var first error
	for _, s := range h.servers {
		if err := s.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "front")
		}
	}
	h.cancel()
	h.peers.Close()
	h.wg.Wait()
	if err := h.flush.Close(); err != nil && first == nil {
		first = errors.Wrap(err, "front")
	}
	return first
}
