package node

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/ctrl/shard"
	"bramleysail.example/bramleysail/internal/ctrl/sheet"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/plat/hosts"
	"bramleysail.example/bramleysail/internal/route/broker"
	"bramleysail.example/bramleysail/internal/route/entry"
)

// slotTablePrefix, followed by the name of a service, names the table that assigns its targets.
const slotTablePrefix = "slots."

// serviceSet holds the services to which the process routes requests.
type serviceSet struct {
	node      *Node
	brokerCtx context.Context // ends the brokers and their calls
	brokerWG  sync.WaitGroup  // brokers, and synchronizations of the registry with new views

	mu     sync.Mutex
	byName map[string]*service
	view   member.View // the view that the brokers have
}

// service is a service that is or was declared in the sheet. A service that is no longer
// declared keeps its broker, as its slots may still be lent and in use and as it may be
// declared again.
type service struct {
	declared    sheet.Service // its latest declaration
	undeclared  bool          // the sheet in force doesn't declare it
	broker      *broker.Broker
	retryBudget *entry.RetryBudget // limits retries and hedged attempts of the service's requests
}

// init prepares an empty set whose brokers run until ctx ends.
func (s *serviceSet) init(n *Node, ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node, s.brokerCtx, s.byName = n, ctx, map[string]*service{}
}

// wait waits until the brokers have ended.
func (s *serviceSet) wait() { s.brokerWG.Wait() }

// snapshot returns copies of all services, by name.
func (s *serviceSet) snapshot() map[string]*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]*service, len(s.byName))
	for name, svc := range s.byName {
		dup := *svc
		out[name] = &dup
	}
	return out
}

// get returns a service, or nil if it was never declared.
func (s *serviceSet) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

// applyConfig adopts the services that a configuration declares, and starts brokers for new ones.
func (s *serviceSet) applyConfig(c sheet.Config) {
	declared := c.Sheet()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, decl := range declared.Service {
		svc := s.byName[decl.Name]
		if svc == nil {
			svc = s.startBroker(decl.Name)
		}
		svc.declared = decl
		svc.broker.SetLimits(decl.Timeout, decl.Wait, borrowerConns(decl, len(s.view.Members())))
	}
	for name, svc := range s.byName {
		_, ok := declared.FindService(name)
		svc.undeclared = !ok
	}
}

// startBroker adds a service and starts its broker. The caller holds s.mu.
func (s *serviceSet) startBroker(name string) *service {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.node.id + name))
	b := broker.New(broker.Options{
		Service:        name,
		Group:          s.node.membership,
		Links:          s.node.links,
		RPCTimeout:     s.node.settings.Peer.Timeout,
		OwnershipValid: s.node.assigner.Authorized,
		Authorized:     s.node.membership.Authorized,
		Owner:          func(target string) string { return s.node.assigner.HolderOf(slotTablePrefix+name, target) },
		Probe:          s.node.probeTarget,
		Log:            s.node.log,
		Seed:           h.Sum64(),
	})
	b.SetView(member.View{}, s.view)
	svc := &service{broker: b, retryBudget: &entry.RetryBudget{}}
	s.byName[name] = svc
	s.brokerWG.Go(func() { b.Run(s.brokerCtx) })
	return svc
}

// borrowerConns returns how many connections, and therefore permits, one borrower may have at one
// target. Half of the connections that the owner doesn't use stay free for connections of dead or
// paused processes that aren't closed yet.
func borrowerConns(decl sheet.Service, members int) int {
	return max(1, (decl.Conns-decl.Slots)/(2*max(1, members-1)))
}

// lookUpService returns the service with the name, if the sheet in force declares it.
func (n *Node) lookUpService(name string) (entry.Service, bool) {
	n.services.mu.Lock()
	defer n.services.mu.Unlock()
	svc := n.services.byName[name]
	if svc == nil || svc.undeclared {
		return entry.Service{}, false
	}
	return entry.Service{
		Name: name, Broker: svc.broker, RetryBudget: svc.retryBudget,
		Timeout: svc.declared.Timeout, Slots: svc.declared.Slots, BorrowerConns: borrowerConns(svc.declared, len(n.services.view.Members())),
	}, true
}

// probeTarget checks a target's health. Its results are those of relay.Relay.Probe.
func (n *Node) probeTarget(target string) (bool, int, bool) {
	ctx, cancel := context.WithTimeout(n.services.brokerCtx, n.settings.Peer.Timeout)
	defer cancel()
	return n.relay.Probe(ctx, target)
}

// onConfigChange applies a new configuration to the services and their targets.
func (n *Node) onConfigChange(c sheet.Config) {
	n.services.applyConfig(c)
	n.syncBrokers()
	n.assigner.WakePlanner()
}

// onViewChange passes a new membership view to the brokers and the registry.
func (n *Node) onViewChange(v member.View) {
	n.services.mu.Lock()
	old := n.services.view
	n.services.view = v
	for _, svc := range n.services.byName {
		svc.broker.SetView(old, v)
		svc.broker.SetLimits(svc.declared.Timeout, svc.declared.Wait, borrowerConns(svc.declared, len(v.Members())))
	}
	ctx := n.services.brokerCtx
	n.services.brokerWG.Go(func() { n.registry.SyncView(ctx, v) })
	n.services.mu.Unlock()
	n.assigner.WakePlanner()
}

// onJoin drops the brokers' targets and reads the tables again. Before the join, peers may have
// taken over what this process held.
func (n *Node) onJoin() {
	for _, svc := range n.services.snapshot() {
		svc.broker.DropTargets()
	}
	ctx, cancel := context.WithTimeout(n.services.brokerCtx, n.settings.Store.Timeout)
	defer cancel()
	if err := n.assigner.ReadTables(ctx); err != nil {
		n.log.Info("assignment tables not read", "err", err.Error())
	}
}

// onTableChange applies a new revision of a table.
func (n *Node) onTableChange(string, shard.Table) {
	n.syncBrokers()
}

// syncBrokers makes each broker take over the targets that its table assigns to this process, and
// marks those as leaving that must not get new requests by the host list or the configuration.
func (n *Node) syncBrokers() {
	c := n.configWatcher.Current()
	list := n.hosts.current()
	for name, svc := range n.services.snapshot() {
		assigned := n.assigner.OwnAssignments(slotTablePrefix + name)
		if assigned == nil {
			continue
		}
		svc.broker.TakeOverAssigned(n.services.brokerCtx, assigned, svc.declared.Slots)
		usable := usableTargets(list, svc.declared, c)
		for _, t := range svc.broker.Targets() {
			svc.broker.SetLeaving(t.Addr, !usable[t.Addr])
		}
	}
}

// usableTargets reports, for each target of a service in the host list, whether it may get new
// requests. The target has to be live, in a failure domain that the service may use and that isn't
// evacuated, and not declared as leaving by an operator.
func usableTargets(list []hosts.Host, decl sheet.Service, c sheet.Config) map[string]bool {
	usable := map[string]bool{}
	for _, h := range list {
		if h.Kind != hosts.KindTarget || h.Service != decl.Name {
			continue
		}
		usable[h.Addr] = h.State == hosts.StateLive && slices.Contains(decl.Zones, h.Zone) &&
			c.IsZoneUsable(h.Zone) && !slices.Contains(decl.Leaving, h.Addr)
	}
	return usable
}

// shardItems returns, by table, the items to assign: the targets of each declared service, racks
// and buckets.
func (n *Node) shardItems() map[string][]shard.Item {
	out := n.batchHolder.Items()
	services := n.services.snapshot()
	for _, h := range n.hosts.current() {
		if svc := services[h.Service]; svc != nil && !svc.undeclared && h.Kind == hosts.KindTarget {
			out[slotTablePrefix+h.Service] = append(out[slotTablePrefix+h.Service], shard.Item{Name: h.Addr, Zone: h.Zone})
		}
	}
	return out
}

// currentLoad returns the load of each service at this process, for heartbeats.
func (n *Node) currentLoad() map[string]member.ServiceLoad {
	out := map[string]member.ServiceLoad{}
	for name, svc := range n.services.snapshot() {
		out[name] = svc.broker.Load()
	}
	return out
}

// onPeerLoad passes the load from a peer's heartbeat to the brokers.
func (n *Node) onPeerLoad(id string, load map[string]member.ServiceLoad) {
	for name, l := range load {
		if svc := n.services.get(name); svc != nil {
			svc.broker.HandleHeartbeat(id, l)
		}
	}
}

// awaitHandover waits until live peers have claimed everything that this leaving process owns, but
// no longer than handoverTimeout.
func (s *serviceSet) awaitHandover(ctx context.Context) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for s.ownedCount() > 0 && len(s.node.membership.View().LiveIDs()) > 0 {
		select {
		case <-ctx.Done():
			s.node.log.Info("not everything was handed over; the rest moves when the lease is closed", "left", s.ownedCount())
			return
		case <-t.C:
		}
	}
}

// handoverTimeout is the longest time that a leaving process waits for its peers' claims.
const handoverTimeout = 5 * time.Second

// ownedCount returns the number of targets, racks and buckets that this process owns.
func (s *serviceSet) ownedCount() int {
	count := s.node.batchHolder.CountHeld()
	for _, svc := range s.snapshot() {
		count += len(svc.broker.Targets())
	}
	return count
}

// hostList holds the host list in use.
type hostList struct {
	mu    sync.Mutex
	hosts []hosts.Host // sorted by address
}

// current returns the host list in use.
func (h *hostList) current() []hosts.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts
}

// replace puts a new list into use and reports whether it did. It rejects an empty list after one
// with hosts as a fault of the list's source, because it would stop every service at once.
func (h *hostList) replace(list []hosts.Host) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(list) == 0 && len(h.hosts) > 0 {
		return false
	}
	slices.SortFunc(list, func(a, b hosts.Host) int { return strings.Compare(a.Addr, b.Addr) })
	h.hosts = list
	return true
}

// pollHosts reads the host list periodically until ctx ends.
func (n *Node) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, n.settings.Hosts.Interval)
		list, err := hosts.Read(readCtx, hostListClient, n.settings.Hosts.URL)
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			n.log.Info("host list not read; the last one stays in use", "err", err.Error())
		case err == nil && !n.hosts.replace(list):
			n.log.Info("host list is empty; the last one stays in use")
		}
		n.syncBrokers()
		wait.For(ctx, n.settings.Hosts.Interval)
	}
}
