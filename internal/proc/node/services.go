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

const slotTablePrefix = "slots." // before the name of a service

// serviceSet holds the services that the process serviceSet to.
type serviceSet struct {
	node      *Node
	brokerCtx context.Context
	brokerWG  sync.WaitGroup

	mu     sync.Mutex
	byName map[string]*service
	view   member.View
}

// service is a service that is or was declared. One that isn't any more keeps its broker:
// its slots are lent and in use, and it may be declared again.
type service struct {
	declared    sheet.Service
	undeclared  bool
	broker      *broker.Broker
	retryBudget *entry.RetryBudget
}

func (r *serviceSet) init(n *Node, ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node, r.brokerCtx, r.byName = n, ctx, map[string]*service{}
}

func (r *serviceSet) wait() { r.brokerWG.Wait() }

// snapshot returns a copy of every route as it is now.
func (r *serviceSet) snapshot() map[string]*service {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]*service, len(r.byName))
	for k, v := range r.byName {
		now := *v
		out[k] = &now
	}
	return out
}

func (r *serviceSet) get(service string) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byName[service]
}

// applyConfig brings the services in line with a configuration.
func (r *serviceSet) applyConfig(c sheet.Config) {
	s := c.Sheet()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range s.Service {
		rt := r.byName[v.Name]
		if rt == nil {
			rt = r.startBroker(v.Name)
		}
		rt.declared = v
		rt.broker.SetLimits(v.Timeout, v.Wait, borrowerConns(v, len(r.view.Members())))
	}
	for name, rt := range r.byName {
		_, ok := s.FindService(name)
		rt.undeclared = !ok
	}
}

// startBroker starts a service's broker; the lock is held.
func (r *serviceSet) startBroker(name string) *service {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.node.id + name))
	b := broker.New(broker.Options{
		Service:        name,
		Group:          r.node.membership,
		Links:          r.node.links,
		RPCTimeout:     r.node.settings.Peer.Timeout,
		OwnershipValid: r.node.assigner.Authorized,
		Authorized:     r.node.membership.Authorized,
		Owner:          func(target string) string { return r.node.assigner.HolderOf(slotTablePrefix+name, target) },
		Probe:          r.node.probeTarget,
		Log:            r.node.log,
		Seed:           h.Sum64(),
	})
	b.SetView(member.View{}, r.view)
	rt := &service{broker: b, retryBudget: &entry.RetryBudget{}}
	r.byName[name] = rt
	r.brokerWG.Go(func() { b.Run(r.brokerCtx) })
	return rt
}

// borrowerConns returns how many connections, and so permits, one borrower may have at one
// target. Half of what the owner leaves stays free, for the connections of processes
// that died or are paused and aren't closed yet.
func borrowerConns(v sheet.Service, members int) int {
	return max(1, (v.Conns-v.Slots)/(2*max(1, members-1)))
}

// lookUpService returns what a request to the service needs.
func (n *Node) lookUpService(service string) (entry.Service, bool) {
	n.services.mu.Lock()
	defer n.services.mu.Unlock()
	rt := n.services.byName[service]
	if rt == nil || rt.undeclared {
		return entry.Service{}, false
	}
	return entry.Service{
		Name: service, Broker: rt.broker, RetryBudget: rt.retryBudget,
		Timeout: rt.declared.Timeout, Slots: rt.declared.Slots, BorrowerConns: borrowerConns(rt.declared, len(n.services.view.Members())),
	}, true
}

func (n *Node) probeTarget(target string) (bool, int, bool) {
	ctx, cancel := context.WithTimeout(n.services.brokerCtx, n.settings.Peer.Timeout)
	defer cancel()
	return n.relay.Probe(ctx, target)
}

func (n *Node) onConfigChange(c sheet.Config) {
	n.services.applyConfig(c)
	n.syncBrokers()
	n.assigner.WakePlanner()
}

func (n *Node) onViewChange(v member.View) {
	n.services.mu.Lock()
	old := n.services.view
	n.services.view = v
	for _, rt := range n.services.byName {
		rt.broker.SetView(old, v)
		rt.broker.SetLimits(rt.declared.Timeout, rt.declared.Wait, borrowerConns(rt.declared, len(v.Members())))
	}
	ctx := n.services.brokerCtx
	n.services.brokerWG.Go(func() { n.registry.SyncView(ctx, v) })
	n.services.mu.Unlock()
	n.assigner.WakePlanner()
}

// onJoin reads the tables anew, as others may have taken over what this process held.
func (n *Node) onJoin() {
	for _, rt := range n.services.snapshot() {
		rt.broker.DropTargets()
	}
	ctx, cancel := context.WithTimeout(n.services.brokerCtx, n.settings.Store.Timeout)
	defer cancel()
	if err := n.assigner.ReadTables(ctx); err != nil {
		n.log.Info("tables not read", "err", err.Error())
	}
}

func (n *Node) onTableChange(string, shard.Table) {
	n.syncBrokers()
}

// syncBrokers brings what the brokers hold in line with tables, host list and configuration.
func (n *Node) syncBrokers() {
	c := n.configWatcher.Current()
	list := n.hosts.current()
	for name, rt := range n.services.snapshot() {
		mine := n.assigner.OwnAssignments(slotTablePrefix + name)
		if mine == nil {
			continue
		}
		rt.broker.TakeOverAssigned(n.services.brokerCtx, mine, rt.declared.Slots)
		usable := usableTargets(list, rt.declared, c)
		for _, t := range rt.broker.Targets() {
			rt.broker.SetLeaving(t.Addr, !usable[t.Addr])
		}
	}
}

// usableTargets returns the targets of a service that may get requests: live by the
// host list, in a failure domain that the service may use and that isn't out, and not
// named as leaving by an operator.
func usableTargets(list []hosts.Host, v sheet.Service, c sheet.Config) map[string]bool {
	ok := map[string]bool{}
	for _, h := range list {
		if h.Kind != hosts.KindTarget || h.Service != v.Name {
			continue
		}
		ok[h.Addr] = h.State == hosts.StateLive && slices.Contains(v.Zones, h.Zone) &&
			c.IsZoneUsable(h.Zone) && !slices.Contains(v.Leaving, h.Addr)
	}
	return ok
}

// shardItems returns what there is to be held: the targets of each service, racks and buckets.
func (n *Node) shardItems() map[string][]shard.Item {
	out := n.batchHolder.Items()
	services := n.services.snapshot()
	for _, h := range n.hosts.current() {
		if rt := services[h.Service]; rt != nil && !rt.undeclared && h.Kind == hosts.KindTarget {
			out[slotTablePrefix+h.Service] = append(out[slotTablePrefix+h.Service], shard.Item{Name: h.Addr, Zone: h.Zone})
		}
	}
	return out
}

// currentLoad returns what heartbeats tell of the services here.
func (n *Node) currentLoad() map[string]member.ServiceLoad {
	out := map[string]member.ServiceLoad{}
	for name, rt := range n.services.snapshot() {
		out[name] = rt.broker.Load()
	}
	return out
}

func (n *Node) onPeerLoad(id string, load map[string]member.ServiceLoad) {
	for name, l := range load {
		if rt := n.services.get(name); rt != nil {
			rt.broker.HandleHeartbeat(id, l)
		}
	}
}

// awaitHandover waits until peers have claimed what this leaving process owns.
func (r *serviceSet) awaitHandover(ctx context.Context) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for r.ownedCount() > 0 && len(r.node.membership.View().LiveIDs()) > 0 {
		select {
		case <-ctx.Done():
			r.node.log.Info("not everything was handed over; the rest moves when the lease is closed", "left", r.ownedCount())
			return
		case <-t.C:
		}
	}
}

const handoverTimeout = 5 * time.Second

func (r *serviceSet) ownedCount() int {
	sum := r.node.batchHolder.CountHeld()
	for _, rt := range r.snapshot() {
		sum += len(rt.broker.Targets())
	}
	return sum
}

// hostList is the last host list that was read.
type hostList struct {
	mu    sync.Mutex
	hosts []hosts.Host
}

func (h *hostList) current() []hosts.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts
}

// replace takes in a new list. An empty one, after one that wasn't, is taken for a fault
// of the list's source: believing it would stop every service at once.
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

func (n *Node) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, n.settings.Hosts.Interval)
		list, err := hosts.Read(cctx, hostListClient, n.settings.Hosts.URL)
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
