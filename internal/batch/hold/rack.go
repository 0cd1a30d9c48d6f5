package hold

import (
	"context"
	"slices"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/rack"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/ctrl/shard"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/plat/hosts"
)

// rackHolding is a rack that is held here.
type rackHolding struct {
	name string
	ep   uint64

	mu      sync.Mutex
	core    *rack.Core
	waiting map[string]int // tasks without a rack, by bucket, as last heard
	urgent  map[string]int // those of them that are urgent
	turn    int
	polled  map[string]bool // workers with a report under way
}

// takeRack holds a rack from now on; its workers are fenced one by one.
func (h *Holder) takeRack(name, zone string, row shard.Row) {
	r := &rackHolding{name: name, ep: row.Ep, waiting: map[string]int{}, urgent: map[string]int{}, polled: map[string]bool{},
		core: rack.New(time.Now(), rack.Options{Rack: name, Zone: zone, Ep: row.Ep, Lease: h.o.Lease, Fresh: h.o.Fresh, Bucket: h.Bucket})}
	h.mu.Lock()
	defer h.mu.Unlock()
	if mine, ok := h.o.Keeper.Mine(RackTable)[name]; ok && mine.Ep == row.Ep && h.racks[name] == nil {
		h.racks[name] = r
		h.o.Log.Info("rack held", "rack", name, "zone", zone, "ep", row.Ep)
	}
}

func (h *Holder) heldRacks() []*rackHolding {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*rackHolding, 0, len(h.racks))
	for _, r := range h.racks {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *rackHolding) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

// tend lets each rack's core do what is due and carries it out.
func (h *Holder) tend(ctx context.Context) {
	if !h.o.Keeper.Sure() {
		return
	}
	now := time.Now()
	conf := h.o.Config()
	confirmed := now.Add(-min(h.o.Age(), time.Hour))
	byRack := map[string][]string{}
	for _, w := range h.o.Hosts() {
		if w.Kind == hosts.KindWorker {
			byRack[w.Rack] = append(byRack[w.Rack], w.Addr)
		}
	}
	for _, r := range h.heldRacks() {
		r.mu.Lock()
		r.core.SetWorkers(byRack[r.name])
		actions := r.core.Tick(now, rack.Config{Usable: conf.Usable(r.core.Zone()), Confirmed: confirmed})
		r.mu.Unlock()
		for _, a := range actions {
			h.wg.Go(func() { h.do(ctx, r, a) })
		}
		h.poll(ctx, r, byRack[r.name])
	}
}

// do carries out one command and hands its result to the core.
func (h *Holder) do(ctx context.Context, r *rackHolding, a rack.Action) {
	switch a := a.(type) {
	case rack.Fence:
		res := command(ctx, h.workers, a.Addr, "fence", a.Msg)
		r.tell(func(now time.Time) { r.core.Fenced(now, a.Addr, res) })
	case rack.Renew:
		res := command(ctx, h.workers, a.Addr, "renew", a.Msg)
		r.tell(func(now time.Time) { r.core.Renewed(now, a.Addr, res) })
	case rack.Start:
		res := command(ctx, h.workers, a.Addr, "start", a.Msg)
		h.o.Scope.Tagged(map[string]string{"result": resultName(res)}).Counter("starts").Inc(1)
		r.tell(func(now time.Time) { r.core.Started(now, a.Place, res) })
	case rack.Act:
		res := command(ctx, h.workers, a.Addr, "act", a.Msg)
		if a.Msg.Verb == wire.VerbCheckpoint || a.Msg.Verb == wire.VerbStop {
			h.o.Scope.Tagged(map[string]string{"verb": string(a.Msg.Verb)}).Counter("evictions").Inc(1)
			h.o.Log.Info("task evicted", "task", a.Msg.ID, "verb", string(a.Msg.Verb), "worker", a.Addr)
		}
		r.tell(func(now time.Time) { r.core.Acted(now, a.Place, a.Msg.Verb, res) })
	}
}

func resultName(res rack.Result) string {
	switch {
	case res.Lost:
		return "lost"
	case res.Refusal != "":
		return string(res.Refusal)
	}
	return "ok"
}

func (r *rackHolding) tell(f func(time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Now())
}

// poll reads the workers' lagging reports.
func (h *Holder) poll(ctx context.Context, r *rackHolding, addrs []string) {
	for _, addr := range addrs {
		r.mu.Lock()
		busy := r.polled[addr]
		r.polled[addr] = true
		r.mu.Unlock()
		if busy {
			continue
		}
		h.wg.Go(func() {
			rep, err := h.workers.report(ctx, addr)
			r.tell(func(time.Time) {
				r.polled[addr] = false
				if err == nil {
					r.core.Reported(addr, rep)
				}
			})
		})
	}
}

// SyncArgs carries the reports of all racks that a process holds to another, by bucket.
// One call for all keeps the number of calls with the processes, not with the racks.
type SyncArgs struct {
	Reports map[string][]jobs.Report
}

// SyncReply carries the answers, in the order of the reports.
type SyncReply struct {
	Answers map[string][]jobs.Answer
}

// round lets the racks report to the holders of all buckets.
func (h *Holder) round(ctx context.Context) {
	if !h.o.Keeper.Sure() {
		return
	}
	byHolder := map[string][]string{}
	for i := range h.o.Buckets {
		name := BucketName(i)
		if id := h.o.Keeper.Holder(BucketTable, name); id != "" {
			byHolder[id] = append(byHolder[id], name)
		}
	}
	racks := h.heldRacks()
	offered := make([]string, len(racks))
	for i, r := range racks {
		offered[i] = r.next(h.o.Buckets)
	}
	for id, names := range byHolder {
		if len(racks) == 0 || !h.begun(id) {
			continue
		}
		h.wg.Go(func() {
			defer h.finished(id)
			h.sync(ctx, racks, id, names, offered)
		})
	}
}

// begun notes a call to a process and reports whether none is under way.
func (h *Holder) begun(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.calls[id] {
		return false
	}
	h.calls[id] = true
	return true
}

func (h *Holder) finished(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.calls, id)
}

// next names the bucket that is offered what is free in this round: in turn those with
// urgent tasks, or else those with any. Offered to all at once, the same room would be
// filled by each.
func (r *rackHolding) next(buckets int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, wants := range []map[string]int{r.urgent, r.waiting} {
		for i := range buckets {
			turn := (r.turn + 1 + i) % buckets
			if name := BucketName(turn); wants[name] > 0 {
				r.turn = turn
				return name
			}
		}
	}
	return ""
}

func (h *Holder) sync(ctx context.Context, racks []*rackHolding, id string, names, offered []string) {
	in := SyncArgs{map[string][]jobs.Report{}}
	for i, r := range racks {
		r.mu.Lock()
		for _, name := range names {
			in.Reports[name] = append(in.Reports[name], r.core.Report(name, name == offered[i]))
		}
		r.mu.Unlock()
	}
	rep, ok := h.exchange(ctx, id, in)
	if !ok {
		return
	}
	for i, r := range racks {
		r.tell(func(now time.Time) {
			for name, answers := range rep.Answers {
				if i < len(answers) {
					r.core.Take(now, name, answers[i])
					r.waiting[name], r.urgent[name] = answers[i].Waiting, answers[i].Urgent
				}
			}
		})
	}
}

// exchange sends reports to a bucket holder. An answer that takes longer than the
// timeout isn't used: its giver may have lost the bucket since.
func (h *Holder) exchange(ctx context.Context, id string, in SyncArgs) (SyncReply, bool) {
	if id == h.o.Group.Self().ID {
		return h.Sync(in), true
	}
	m, ok := h.o.Group.View().Get(id)
	if !ok {
		return SyncReply{}, false
	}
	cctx, cancel := context.WithTimeout(ctx, h.o.Timeout)
	defer cancel()
	rep, err := link.Call[SyncArgs, SyncReply](cctx, h.o.Links.Get(m.Addr), "Peer.Sync", in)
	return rep, err == nil
}

// Sync answers a rack's reports for the buckets that are held here.
func (h *Holder) Sync(in SyncArgs) SyncReply {
	out := SyncReply{map[string][]jobs.Answer{}}
	for name, reports := range in.Reports {
		b := h.getBucket(name)
		if b == nil {
			continue
		}
		for _, rep := range reports {
			out.Answers[name] = append(out.Answers[name], b.hear(rep))
		}
	}
	return out
}
