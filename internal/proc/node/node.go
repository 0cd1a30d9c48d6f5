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
	settings conf.Settings
	id       string
	log      logr.Logger
	store    store.Store
	links    *link.Set

	membership     *member.Group
	assigner       *shard.Assigner
	configWatcher  *sheet.ConfigWatcher
	hosts          hostList
	registry       *once.Registry
	relay          *relay.Relay
	services       serviceSet
	entry          *entry.Entry
	batchHolder    *hold.Holder
	listenerFailed chan struct{} // closed when a listener fails

	scope           tally.Scope
	metricsHandler  http.Handler
	metricsCloser   io.Closer
	shutdownTracing func(context.Context) error

	peerServer   *link.Server
	callerServer *http.Server
	adminServer  *http.Server
	addrs        [3]string

	stopping         atomic.Bool
	cancelServing    context.CancelFunc
	cancelBackground context.CancelFunc // of what outlives the serving of requests
	servingWG        sync.WaitGroup
	backgroundWG     sync.WaitGroup
}

// Start listens, joins the other processes and serves; the error names the listener
// that could not be had.
func Start(s conf.Settings, log logr.Logger) (*Node, error) {
	name := s.Name
	if name == "" {
		name = "entry"
	}
	id := name + "-" + uuid.NewString()[:8]
	n := &Node{settings: s, id: id, log: log.WithValues("node", id), links: &link.Set{}, listenerFailed: make(chan struct{})}
	n.store = store.NewHTTP(s.Store.URL, s.Store.Timeout)
	lis, err := n.openListeners()
	if err != nil {
		return nil, err
	}
	n.scope, n.metricsHandler, n.metricsCloser = telem.NewMetrics()
	if n.shutdownTracing, err = telem.StartTracing(context.Background(), s.Trace.URL, id); err != nil {
		closeListeners(lis)
		return nil, err
	}
	n.newComponents()
	if n.peerServer, err = link.NewServer("Peer", &Peer{n}); err != nil {
		closeListeners(lis)
		return nil, err
	}
	n.startServing(lis)
	n.log.Info("serving", "zone", s.Zone, "caller", n.addrs[0], "peer", n.addrs[1], "admin", n.addrs[2])
	return n, nil
}

const (
	callerListener = iota
	peerListener
	adminListener
)

func (n *Node) openListeners() ([]net.Listener, error) {
	var all []net.Listener
	for i, addr := range []string{n.settings.Listen.Caller, n.settings.Listen.Peer, n.settings.Listen.Admin} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			closeListeners(all)
			return nil, errors.Wrap(err, "node")
		}
		all = append(all, l)
		n.addrs[i] = l.Addr().String()
	}
	return all, nil
}

func closeListeners(lis []net.Listener) {
	for _, l := range lis {
		_ = l.Close()
	}
}

func (n *Node) newComponents() {
	n.membership = member.New(member.Options{
		Self:              member.Member{ID: n.id, Addr: n.addrs[peerListener], Zone: n.settings.Zone, State: member.StateLive},
		Store:             n.store,
		Links:             n.links,
		LeaseTTL:          n.settings.Store.LeaseTTL,
		WatchTimeout:      n.settings.Store.WatchTimeout,
		HeartbeatInterval: n.settings.Peer.HeartbeatInterval,
		HeartbeatTimeout:  n.settings.Peer.Timeout,
		Log:               n.log,
		OnViewChange:      n.onViewChange,
		OnJoin:            n.onJoin,
		CurrentLoad:       n.currentLoad,
		OnPeerLoad:        n.onPeerLoad,
	})
	n.assigner = shard.NewAssigner(shard.Options{
		Store: n.store, Group: n.membership, WatchTimeout: n.settings.Store.WatchTimeout, ListItems: n.shardItems, OnTableChange: n.onTableChange, Log: n.log,
	})
	n.configWatcher = sheet.NewConfigWatcher(n.store, n.settings.Store.WatchTimeout, n.onConfigChange, n.log)
	n.registry = once.NewRegistry(once.NewTable(n.settings.Limit.RequestIDRetention), n.membership, n.links, n.settings.Peer.Timeout, n.log)
	n.batchHolder = hold.New(hold.Options{
		Store: n.store, Group: n.membership, Keeper: n.assigner, Links: n.links,
		Config: n.configWatcher.Current, ConfigAge: n.configWatcher.ConfirmationAge, Hosts: n.hosts.current,
		BucketCount: n.settings.Worker.Buckets, LeaseTTL: n.settings.Worker.LeaseTTL, PollInterval: n.settings.Worker.PollInterval, MaxConfigAge: n.settings.Worker.MaxConfigAge,
		CallTimeout: n.settings.Peer.Timeout, Log: n.log, Scope: n.scope,
	})
	n.relay = relay.New(n.settings.Limit.MaxAnswerBytes, n.membership.Authorized)
	n.entry = entry.New(n.id, entry.Options{
		FindService: n.lookUpService, Registry: n.registry, Relay: n.relay, Limits: n.settings.Limit, Log: n.log, Scope: n.scope,
	})
}

func (n *Node) startServing(lis []net.Listener) {
	// Requests end first, then what they need: the late context outlives the other.
	ctx, cancel := context.WithCancel(context.Background())
	late, lateCancel := context.WithCancel(context.Background())
	n.cancelServing, n.cancelBackground = cancel, lateCancel
	n.services.init(n, late)
	n.backgroundWG.Go(func() { n.membership.Run(late) })
	n.backgroundWG.Go(func() { n.assigner.Run(late) })
	n.backgroundWG.Go(func() { n.configWatcher.Run(late, n.settings.Worker.MaxConfigAge) })
	n.backgroundWG.Go(func() { n.batchHolder.Run(late) })
	n.servingWG.Go(func() { n.pollHosts(ctx) })
	n.callerServer = &http.Server{Handler: n.entry.Handler(), ReadHeaderTimeout: n.settings.Limit.ReadTimeout}
	n.adminServer = &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: n.settings.Limit.ReadTimeout}
	n.servingWG.Go(func() { n.serveHTTP(n.callerServer, lis[callerListener]) })
	n.backgroundWG.Go(func() { n.serveHTTP(n.adminServer, lis[adminListener]) })
	n.backgroundWG.Go(func() { n.peerServer.Serve(lis[peerListener]) })
}

func (n *Node) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error(err, "listener lost", "addr", l.Addr().String())
		close(n.listenerFailed)
	}
}

// ID returns the process's id among its peers, new at each start.
func (n *Node) ID() string { return n.id }

// CallerAddr returns the address on which callers are served.
func (n *Node) CallerAddr() string { return n.addrs[callerListener] }

// AdminAddr returns the address of the administration API.
func (n *Node) AdminAddr() string { return n.addrs[adminListener] }

// ListenerFailed is closed when the process can't serve any more.
func (n *Node) ListenerFailed() <-chan struct{} { return n.listenerFailed }

// Ready reports whether the balancer should send requests here.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.assigner.Authorized() && n.configWatcher.Current().Version > 0
}

// Stop ends the process gracefully: readiness goes first; while the balancer still
// sends, requests are served; those in flight end; then what is held is handed over
// and the membership closed.
func (n *Node) Stop(ctx context.Context) error {
	if n.stopping.Swap(true) {
		return nil
	}
	n.log.Info("stopping", "linger", n.settings.Stop.Linger, "grace", n.settings.Stop.Grace)
	n.membership.SetState(member.StateLeaving)
	wait.For(ctx, n.settings.Stop.Linger)
	grace, cancel := context.WithTimeout(ctx, n.settings.Stop.Grace)
	defer cancel()
	err := n.callerServer.Shutdown(grace)
	n.cancelServing()
	n.servingWG.Wait()
	n.services.awaitHandover(grace)
	n.stopBackground(grace)
	n.log.Info("stopped", "cut", err != nil)
	return errors.Wrap(err, "node: requests were cut after the grace period")
}

// stopBackground stops what is left once no request needs it.
func (n *Node) stopBackground(ctx context.Context) {
	n.cancelBackground()
	n.peerServer.Close()
	_ = n.adminServer.Close()
	n.backgroundWG.Wait()
	n.services.wait()
	n.links.CloseExcept(nil)
	n.relay.Close()
	_ = n.metricsCloser.Close()
	if err := n.shutdownTracing(ctx); err != nil {
		n.log.Info("traces not flushed", "err", err.Error())
	}
}

// Abort ends the process as if it had died: requests are cut, nothing is handed over
// and its lease is left to lapse. The demo uses it.
func (n *Node) Abort() {
	if n.stopping.Swap(true) {
		return
	}
	n.membership.AbandonLease()
	n.cancelServing()
	_ = n.callerServer.Close()
	n.servingWG.Wait()
	n.stopBackground(context.Background())
}
