package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/base/intake"
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

// Node is a running entry process. Start creates one, Stop shuts it down gracefully and Abort
// simulates its death.
type Node struct {
	settings conf.Settings
	id       string // unique among the entry processes; new at each start
	log      logr.Logger
	store    store.Store
	links    *link.Set // RPC links to the peers

	membership    *member.Group        // membership of this process among the entry processes
	assigner      *shard.Assigner      // reads and plans the tables that assign targets, racks and buckets
	configWatcher *sheet.ConfigWatcher // follows the operators' configuration
	hosts         hostList             // targets and workers, as the platform lists them
	registry      *once.Registry       // records of non-idempotent requests
	relay         *relay.Relay         // sends requests to targets
	services      serviceSet           // services to which requests are routed
	entry         *entry.Entry         // answers callers' requests
	batchHolder   *hold.Holder         // runs the racks and buckets that this process holds

	listenerFailed     chan struct{} // closed when an HTTP listener fails
	listenerFailedOnce sync.Once     // guards the closing of listenerFailed

	scope           tally.Scope
	metricsHandler  http.Handler
	metricsCloser   io.Closer                   // closes scope
	shutdownTracing func(context.Context) error // flushes the trace spans and ends their export

	peerServer   *link.Server
	callerGate   *intake.Gate // bounds what callers cost
	callerServer *http.Server
	adminServer  *http.Server
	addrs        [3]string // addresses of the listeners, by callerListener, peerListener and adminListener

	stopping         atomic.Bool        // set when Stop or Abort begins
	cancelServing    context.CancelFunc // ends what is needed only while requests are served
	cancelBackground context.CancelFunc // ends what requests in flight still need
	servingWG        sync.WaitGroup     // goroutines that end before cancelBackground is called
	backgroundWG     sync.WaitGroup     // goroutines that end after cancelBackground is called
}

// Start opens the listeners, joins the other entry processes and serves. If a listener can't
// be opened, the error names its address.
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

// Indexes of the listeners in Node.addrs and in the result of openListeners.
const (
	callerListener = iota
	peerListener
	adminListener
)

// openListeners opens all listeners, or none if one fails.
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

// newComponents creates the components and connects them. Nothing runs yet.
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
		Store: n.store, Group: n.membership, Assigner: n.assigner, Links: n.links,
		Config: n.configWatcher.Current, ConfigAge: n.configWatcher.ConfirmationAge, Hosts: n.hosts.current,
		BucketCount: n.settings.Worker.Buckets, LeaseTTL: n.settings.Worker.LeaseTTL, PollInterval: n.settings.Worker.PollInterval, MaxConfigAge: n.settings.Worker.MaxConfigAge,
		CallTimeout: n.settings.Peer.Timeout, Log: n.log, Scope: n.scope,
	})
	n.relay = relay.New(n.settings.Limit.MaxAnswerBytes, n.membership.Authorized)
	n.callerGate = intake.New(intake.Options{
		Budget: intake.NewBudget(n.settings.Limit.RequestMemory()), MaxBody: n.settings.Limit.MaxRequestBytes,
		MaxConns: maxCallerConns(n.settings.Limit, fileLimit()), ReadTime: intake.ReadTime{Grace: n.settings.Limit.ReadTimeout}, Log: n.log, Scope: n.scope,
	})
	n.entry = entry.New(n.id, entry.Options{
		FindService: n.lookUpService, Registry: n.registry, Relay: n.relay, Gate: n.callerGate, Limits: n.settings.Limit, Log: n.log, Scope: n.scope,
	})
}

// startServing starts the goroutines and servers of the process.
func (n *Node) startServing(lis []net.Listener) {
	// At a stop, requests end before the components that they need. Therefore the background
	// context outlives the serving context.
	serving, cancelServing := context.WithCancel(context.Background())
	background, cancelBackground := context.WithCancel(context.Background())
	n.cancelServing, n.cancelBackground = cancelServing, cancelBackground
	n.services.init(n, background)
	n.backgroundWG.Go(func() { n.membership.Run(background) })
	n.backgroundWG.Go(func() { n.assigner.Run(background) })
	n.backgroundWG.Go(func() { n.configWatcher.Run(background, n.settings.Worker.MaxConfigAge) })
	n.backgroundWG.Go(func() { n.batchHolder.Run(background) })
	n.servingWG.Go(func() { n.pollHosts(serving) })
	n.callerServer = &http.Server{Handler: n.entry.Handler(), ReadHeaderTimeout: n.settings.Limit.ReadTimeout, IdleTimeout: idleTimeout}
	n.adminServer = &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: n.settings.Limit.ReadTimeout, IdleTimeout: idleTimeout}
	adminGate := intake.New(intake.Options{MaxConns: maxAdminConns, Log: n.log, Scope: n.scope})
	n.servingWG.Go(func() { n.serveHTTP(n.callerServer, n.callerGate.Attach(n.callerServer, lis[callerListener])) })
	n.backgroundWG.Go(func() { n.serveHTTP(n.adminServer, adminGate.Attach(n.adminServer, lis[adminListener])) })
	n.backgroundWG.Go(func() { n.peerServer.Serve(lis[peerListener]) })
}

const (
	// maxAdminConns bounds the connections of the administration API.
	maxAdminConns = 64
	// idleTimeout is how long a connection without a request stays open.
	idleTimeout = time.Minute
)

// serveHTTP serves a listener until the server is closed. If the listener fails, it closes listenerFailed.
func (n *Node) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error(err, "HTTP listener failed", "addr", l.Addr().String())
		n.listenerFailedOnce.Do(func() { close(n.listenerFailed) })
	}
}

// ID returns the process's id among the entry processes. Each start has a new one.
func (n *Node) ID() string { return n.id }

// CallerAddr returns the address (host:port) of the callers' listener.
func (n *Node) CallerAddr() string { return n.addrs[callerListener] }

// AdminAddr returns the address (host:port) of the administration API.
func (n *Node) AdminAddr() string { return n.addrs[adminListener] }

// ListenerFailed returns a channel that is closed when an HTTP listener fails.
func (n *Node) ListenerFailed() <-chan struct{} { return n.listenerFailed }

// Ready reports whether the load balancer should send requests to this process.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.assigner.Authorized() && n.configWatcher.Current().Version > 0
}

// Stop shuts the process down gracefully. It reports the process as not ready, serves requests for
// the linger period in which the load balancer may still send some, waits up to the grace period for
// requests in flight, hands targets, racks and buckets over to peers and closes the membership.
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

// stopBackground ends everything that was needed until the last request had ended.
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
		n.log.Info("trace spans not flushed", "err", err.Error())
	}
}

// Abort ends the process as if it had crashed: requests in flight are aborted, nothing is handed
// over and the membership's lease is left to expire. The demo uses it.
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
