package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/base/telem"
	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/hold"
	"bramleysail.example/bramleysail/internal/ctrl/shard"
	"bramleysail.example/bramleysail/internal/ctrl/sheet"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/plat/store"
	"bramleysail.example/bramleysail/internal/route/entry"
	"bramleysail.example/bramleysail/internal/route/once"
	"bramleysail.example/bramleysail/internal/route/relay"
)

// Node is one serving process; Start makes one and Stop ends it gracefully.
type Node struct {
	s     conf.Settings
	id    string
	log   logr.Logger
	store store.Store
	links *link.Set

	group  *member.Group
	keeper *shard.Assigner
	feed   *sheet.ConfigWatcher
	hosts  hostList
	homes  *once.Registry
	relay  *relay.Relay
	routes routes
	entry  *entry.Entry
	holder *hold.Holder
	lost   chan struct{} // closed when a listener fails

	scope   tally.Scope
	metrics http.Handler
	flush   io.Closer
	traces  func(context.Context) error

	peers   *link.Server
	callers *http.Server
	admin   *http.Server
	addrs   [3]string

	stopping atomic.Bool
	cancel   context.CancelFunc
	late     context.CancelFunc // of what outlives the serving of requests
	wg       sync.WaitGroup
	lateWG   sync.WaitGroup
}

// Start listens, joins the other processes and serves; the error names the listener
// that could not be had.
func Start(s conf.Settings, log logr.Logger) (*Node, error) {
	name := s.Name
	if name == "" {
		name = "entry"
	}
	id := name + "-" + uuid.NewString()[:8]
	n := &Node{s: s, id: id, log: log.WithValues("node", id), links: &link.Set{}, lost: make(chan struct{})}
	n.store = store.NewHTTP(s.Store.URL, s.Store.Timeout)
	lis, err := n.listen()
	if err != nil {
		return nil, err
	}
	n.scope, n.metrics, n.flush = telem.NewMetrics()
	if n.traces, err = telem.StartTracing(context.Background(), s.Trace.URL, id); err != nil {
		closeAll(lis)
		return nil, err
	}
	n.assemble()
	if n.peers, err = link.NewServer("Peer", &Peer{n}); err != nil {
		closeAll(lis)
		return nil, err
	}
	n.serve(lis)
	n.log.Info("serving", "zone", s.Zone, "caller", n.addrs[0], "peer", n.addrs[1], "admin", n.addrs[2])
	return n, nil
}

const (
	callerLis = iota
	peerLis
	adminLis
)

func (n *Node) listen() ([]net.Listener, error) {
	var all []net.Listener
	for i, addr := range []string{n.s.Listen.Caller, n.s.Listen.Peer, n.s.Listen.Admin} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			closeAll(all)
			return nil, errors.Wrap(err, "node")
		}
		all = append(all, l)
		n.addrs[i] = l.Addr().String()
	}
	return all, nil
}

func closeAll(lis []net.Listener) {
	for _, l := range lis {
		_ = l.Close()
	}
}

func (n *Node) assemble() {
	n.group = member.New(member.Options{
		Self:              member.Member{ID: n.id, Addr: n.addrs[peerLis], Zone: n.s.Zone, State: member.StateLive},
		Store:             n.store,
		Links:             n.links,
		LeaseTTL:          n.s.Store.LeaseTTL,
		WatchTimeout:      n.s.Store.WatchTimeout,
		HeartbeatInterval: n.s.Peer.HeartbeatInterval,
		HeartbeatTimeout:  n.s.Peer.Timeout,
		Log:               n.log,
		OnViewChange:      n.viewChanged,
		OnJoin:            n.joined,
		CurrentLoad:       n.loads,
		OnPeerLoad:        n.heard,
	})
	n.keeper = shard.NewAssigner(shard.Options{
		Store: n.store, Group: n.group, WatchTimeout: n.s.Store.WatchTimeout, ListItems: n.items, OnTableChange: n.tableChanged, Log: n.log,
	})
	n.feed = sheet.NewConfigWatcher(n.store, n.s.Store.WatchTimeout, n.configChanged, n.log)
	n.homes = once.NewRegistry(once.NewTable(n.s.Limit.RequestIDRetention), n.group, n.links, n.s.Peer.Timeout, n.log)
	n.holder = hold.New(hold.Options{
		Store: n.store, Group: n.group, Keeper: n.keeper, Links: n.links,
		Config: n.feed.Current, ConfigAge: n.feed.ConfirmationAge, Hosts: n.hosts.now,
		BucketCount: n.s.Worker.Buckets, LeaseTTL: n.s.Worker.LeaseTTL, PollInterval: n.s.Worker.PollInterval, MaxConfigAge: n.s.Worker.MaxConfigAge,
		CallTimeout: n.s.Peer.Timeout, Log: n.log, Scope: n.scope,
	})
	n.relay = relay.New(n.s.Limit.MaxAnswerBytes, n.group.Authorized)
	n.entry = entry.New(n.id, entry.Options{
		FindService: n.find, Registry: n.homes, Relay: n.relay, Limits: n.s.Limit, Log: n.log, Scope: n.scope,
	})
}

func (n *Node) serve(lis []net.Listener) {
	// Requests end first, then what they need: the late context outlives the other.
	ctx, cancel := context.WithCancel(context.Background())
	late, lateCancel := context.WithCancel(context.Background())
	n.cancel, n.late = cancel, lateCancel
	n.routes.init(n, late)
	n.lateWG.Go(func() { n.group.Run(late) })
	n.lateWG.Go(func() { n.keeper.Run(late) })
	n.lateWG.Go(func() { n.feed.Run(late, n.s.Worker.MaxConfigAge) })
	n.lateWG.Go(func() { n.holder.Run(late) })
	n.wg.Go(func() { n.followHosts(ctx) })
	n.callers = &http.Server{Handler: n.entry.Handler(), ReadHeaderTimeout: n.s.Limit.ReadTimeout}
	n.admin = &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: n.s.Limit.ReadTimeout}
	n.wg.Go(func() { n.listenHTTP(n.callers, lis[callerLis]) })
	n.lateWG.Go(func() { n.listenHTTP(n.admin, lis[adminLis]) })
	n.lateWG.Go(func() { n.peers.Serve(lis[peerLis]) })
}

func (n *Node) listenHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error(err, "listener lost", "addr", l.Addr().String())
		close(n.lost)
	}
}

// ID returns the process's id among its peers, new at each start.
func (n *Node) ID() string { return n.id }

// CallerAddr returns the address on which callers are served.
func (n *Node) CallerAddr() string { return n.addrs[callerLis] }

// AdminAddr returns the address of the administration API.
func (n *Node) AdminAddr() string { return n.addrs[adminLis] }

// Lost is closed when the process can't serve any more.
func (n *Node) Lost() <-chan struct{} { return n.lost }

// Ready reports whether the balancer should send requests here.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.keeper.Authorized() && n.feed.Current().Version > 0
}

// Stop ends the process gracefully: readiness goes first; while the balancer still
// sends, requests are served; those in flight end; then what is held is handed over
// and the membership closed.
func (n *Node) Stop(ctx context.Context) error {
	if n.stopping.Swap(true) {
		return nil
	}
	n.log.Info("stopping", "linger", n.s.Stop.Linger, "grace", n.s.Stop.Grace)
	n.group.SetState(member.StateLeaving)
	wait.For(ctx, n.s.Stop.Linger)
	grace, cancel := context.WithTimeout(ctx, n.s.Stop.Grace)
	defer cancel()
	err := n.callers.Shutdown(grace)
	n.cancel()
	n.wg.Wait()
	n.routes.handOver(grace)
	n.end(grace)
	n.log.Info("stopped", "cut", err != nil)
	return errors.Wrap(err, "node: requests were cut after the grace period")
}

// end stops what is left once no request needs it.
func (n *Node) end(ctx context.Context) {
	n.late()
	n.peers.Close()
	_ = n.admin.Close()
	n.lateWG.Wait()
	n.routes.wait()
	n.links.CloseExcept(nil)
	n.relay.Close()
	_ = n.flush.Close()
	if err := n.traces(ctx); err != nil {
		n.log.Info("traces not flushed", "err", err.Error())
	}
}

// Abort ends the process as if it had died: requests are cut, nothing is handed over
// and its lease is left to lapse. The demo uses it.
func (n *Node) Abort() {
	if n.stopping.Swap(true) {
		return
	}
	n.group.AbandonLease()
	n.cancel()
	_ = n.callers.Close()
	n.wg.Wait()
	n.end(context.Background())
}
