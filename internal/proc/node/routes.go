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

const slotTable = "slots." // before the name of a service

// routes holds the services that the process routes to.
type routes struct {
	n   *Node
	ctx context.Context
	wg  sync.WaitGroup

	mu   sync.Mutex
	list map[string]*route
	view member.View
}

// route is a service that is or was declared. One that isn't any more keeps its broker:
// its slots are lent and in use, and it may be declared again.
type route struct {
	conf   sheet.Service
	gone   bool
	broker *broker.Broker
	budget *entry.RetryBudget
}

func (r *routes) init(n *Node, ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n, r.ctx, r.list = n, ctx, map[string]*route{}
}

func (r *routes) wait() { r.wg.Wait() }

// all returns a copy of every route as it is now.
func (r *routes) all() map[string]*route {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]*route, len(r.list))
	for k, v := range r.list {
		now := *v
		out[k] = &now
	}
	return out
}

func (r *routes) get(service string) *route {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list[service]
}

// apply brings the services in line with a configuration.
func (r *routes) apply(c sheet.Config) {
	s := c.Sheet()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range s.Service {
		rt := r.list[v.Name]
		if rt == nil {
			rt = r.add(v.Name)
		}
		rt.conf = v
		rt.broker.SetLimits(v.Timeout, v.Wait, share(v, len(r.view.Members())))
	}
	for name, rt := range r.list {
		_, ok := s.FindService(name)
		rt.gone = !ok
	}
}

// add starts a service's broker; the lock is held.
func (r *routes) add(name string) *route {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.n.id + name))
	b := broker.New(broker.Options{
		Service:        name,
		Group:          r.n.group,
		Links:          r.n.links,
		RPCTimeout:     r.n.s.Peer.Timeout,
		OwnershipValid: r.n.keeper.Authorized,
		Authorized:     r.n.group.Authorized,
		Owner:          func(target string) string { return r.n.keeper.HolderOf(slotTable+name, target) },
		Probe:          r.n.probe,
		Log:            r.n.log,
		Seed:           h.Sum64(),
	})
	b.SetView(member.View{}, r.view)
	rt := &route{broker: b, budget: &entry.RetryBudget{}}
	r.list[name] = rt
	r.wg.Go(func() { b.Run(r.ctx) })
	return rt
}

// share returns how many connections, and so permits, one borrower may have at one
// target. Half of what the owner leaves stays free, for the connections of processes
// that died or are paused and aren't closed yet.
func share(v sheet.Service, members int) int {
	return max(1, (v.Conns-v.Slots)/(2*max(1, members-1)))
}

// find returns what a request to the service needs.
func (n *Node) find(service string) (entry.Service, bool) {
	n.routes.mu.Lock()
	defer n.routes.mu.Unlock()
	rt := n.routes.list[service]
	if rt == nil || rt.gone {
		return entry.Service{}, false
	}
	return entry.Service{
		Name: service, Broker: rt.broker, RetryBudget: rt.budget,
		Timeout: rt.conf.Timeout, Slots: rt.conf.Slots, BorrowerConns: share(rt.conf, len(n.routes.view.Members())),
	}, true
}

func (n *Node) probe(target string) (bool, int, bool) {
	ctx, cancel := context.WithTimeout(n.routes.ctx, n.s.Peer.Timeout)
	defer cancel()
	return n.relay.Probe(ctx, target)
}

func (n *Node) configChanged(c sheet.Config) {
	n.routes.apply(c)
	n.follow()
	n.keeper.WakePlanner()
}

func (n *Node) viewChanged(v member.View) {
	n.routes.mu.Lock()
	old := n.routes.view
	n.routes.view = v
	for _, rt := range n.routes.list {
		rt.broker.SetView(old, v)
		rt.broker.SetLimits(rt.conf.Timeout, rt.conf.Wait, share(rt.conf, len(v.Members())))
	}
	ctx := n.routes.ctx
	n.routes.wg.Go(func() { n.homes.SyncView(ctx, v) })
	n.routes.mu.Unlock()
	n.keeper.WakePlanner()
}

// joined reads the tables anew, as others may have taken over what this process held.
func (n *Node) joined() {
	for _, rt := range n.routes.all() {
		rt.broker.DropTargets()
	}
	ctx, cancel := context.WithTimeout(n.routes.ctx, n.s.Store.Timeout)
	defer cancel()
	if err := n.keeper.ReadTables(ctx); err != nil {
		n.log.Info("tables not read", "err", err.Error())
	}
}

func (n *Node) tableChanged(string, shard.Table) {
	n.follow()
}

// follow brings what the brokers hold in line with tables, host list and configuration.
func (n *Node) follow() {
	c := n.feed.Current()
	list := n.hosts.now()
	for name, rt := range n.routes.all() {
		mine := n.keeper.OwnAssignments(slotTable + name)
		if mine == nil {
			continue
		}
		rt.broker.TakeOverAssigned(n.routes.ctx, mine, rt.conf.Slots)
		usable := usableTargets(list, rt.conf, c)
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

// items returns what there is to be held: the targets of each service, racks and buckets.
func (n *Node) items() map[string][]shard.Item {
	out := n.holder.Items()
	services := n.routes.all()
	for _, h := range n.hosts.now() {
		if rt := services[h.Service]; rt != nil && !rt.gone && h.Kind == hosts.KindTarget {
			out[slotTable+h.Service] = append(out[slotTable+h.Service], shard.Item{Name: h.Addr, Zone: h.Zone})
		}
	}
	return out
}

// loads returns what heartbeats tell of the services here.
func (n *Node) loads() map[string]member.ServiceLoad {
	out := map[string]member.ServiceLoad{}
	for name, rt := range n.routes.all() {
		out[name] = rt.broker.Load()
	}
	return out
}

func (n *Node) heard(id string, load map[string]member.ServiceLoad) {
	for name, l := range load {
		if rt := n.routes.get(name); rt != nil {
			rt.broker.HandleHeartbeat(id, l)
		}
	}
}

// handOver waits until peers have claimed what this leaving process owns.
func (r *routes) handOver(ctx context.Context) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	ctx, cancel := context.WithTimeout(ctx, handOverFor)
	defer cancel()
	for r.owned() > 0 && len(r.n.group.View().LiveIDs()) > 0 {
		select {
		case <-ctx.Done():
			r.n.log.Info("not everything was handed over; the rest moves when the lease is closed", "left", r.owned())
			return
		case <-t.C:
		}
	}
}

const handOverFor = 5 * time.Second

func (r *routes) owned() int {
	sum := r.n.holder.CountHeld()
	for _, rt := range r.all() {
		sum += len(rt.broker.Targets())
	}
	return sum
}

// hostList is the last host list that was read.
type hostList struct {
	mu   sync.Mutex
	list []hosts.Host
}

func (h *hostList) now() []hosts.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list
}

// set takes in a new list. An empty one, after one that wasn't, is taken for a fault
// of the list's source: believing it would stop every service at once.
func (h *hostList) set(list []hosts.Host) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(list) == 0 && len(h.list) > 0 {
		return false
	}
	slices.SortFunc(list, func(a, b hosts.Host) int { return strings.Compare(a.Addr, b.Addr) })
	h.list = list
	return true
}

func (n *Node) followHosts(ctx context.Context) {
	for ctx.Err() == nil {
		cctx, cancel := context.WithTimeout(ctx, n.s.Hosts.Interval)
		list, err := hosts.Read(cctx, httpClient, n.s.Hosts.URL)
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			n.log.Info("host list not read; the last one stays in use", "err", err.Error())
		case err == nil && !n.hosts.set(list):
			n.log.Info("host list is empty; the last one stays in use")
		}
		n.follow()
		wait.For(ctx, n.s.Hosts.Interval)
	}
}
