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

// heldRack is a rack that is held here.
type heldRack struct {
	name  string
	epoch uint64

	mu           sync.Mutex
	core         *rack.Core
	waitingTasks map[string]int // tasks without a rack, by bucket, as last heard
	urgentTasks  map[string]int // those of them that are urgent
	lastOffered  int
	polling      map[string]bool // workers with a report under way
}

// addRack holds a rack from now on; its workers are fenced one by one.
func (h *Holder) addRack(name, zone string, row shard.Assignment) {
	r := &heldRack{name: name, epoch: row.Epoch, waitingTasks: map[string]int{}, urgentTasks: map[string]int{}, polling: map[string]bool{},
		core: rack.New(time.Now(), rack.Options{Rack: name, Zone: zone, Epoch: row.Epoch, LeaseTTL: h.opts.LeaseTTL, MaxConfigAge: h.opts.MaxConfigAge, BucketOf: h.BucketOf})}
	h.mu.Lock()
	defer h.mu.Unlock()
	if mine, ok := h.opts.Keeper.OwnAssignments(RackTable)[name]; ok && mine.Epoch == row.Epoch && h.racks[name] == nil {
		h.racks[name] = r
		h.opts.Log.Info("rack held", "rack", name, "zone", zone, "ep", row.Epoch)
	}
}

func (h *Holder) heldRacks() []*heldRack {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*heldRack, 0, len(h.racks))
	for _, r := range h.racks {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *heldRack) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

// tickRacks lets each rack's core do what is due and carries it out.
func (h *Holder) tickRacks(ctx context.Context) {
	if !h.opts.Keeper.Authorized() {
		return
	}
	now := time.Now()
	conf := h.opts.Config()
	confirmed := now.Add(-min(h.opts.ConfigAge(), time.Hour))
	byRack := map[string][]string{}
	for _, w := range h.opts.Hosts() {
		if w.Kind == hosts.KindWorker {
			byRack[w.Rack] = append(byRack[w.Rack], w.Addr)
		}
	}
	for _, r := range h.heldRacks() {
		r.mu.Lock()
		r.core.SetWorkers(byRack[r.name])
		actions := r.core.Tick(now, rack.ZoneStatus{Usable: conf.IsZoneUsable(r.core.Zone()), ConfirmedAt: confirmed})
		r.mu.Unlock()
		for _, a := range actions {
			h.wg.Go(func() { h.execute(ctx, r, a) })
		}
		h.pollWorkers(ctx, r, byRack[r.name])
	}
}

// execute carries out one command and hands its result to the core.
func (h *Holder) execute(ctx context.Context, r *heldRack, a rack.Action) {
	switch a := a.(type) {
	case rack.Fence:
		res := sendCommand(ctx, h.workerClient, a.Addr, "fence", a.Msg)
		r.update(func(now time.Time) { r.core.HandleFenceResult(now, a.Addr, res) })
	case rack.Renew:
		res := sendCommand(ctx, h.workerClient, a.Addr, "renew", a.Msg)
		r.update(func(now time.Time) { r.core.HandleRenewResult(now, a.Addr, res) })
	case rack.Start:
		res := sendCommand(ctx, h.workerClient, a.Addr, "start", a.Msg)
		h.opts.Scope.Tagged(map[string]string{"result": resultLabel(res)}).Counter("starts").Inc(1)
		r.update(func(now time.Time) { r.core.HandleStartResult(now, a.Placement, res) })
	case rack.TaskCommand:
		res := sendCommand(ctx, h.workerClient, a.Addr, "act", a.Msg)
		if a.Msg.Verb == wire.VerbCheckpoint || a.Msg.Verb == wire.VerbStop {
			h.opts.Scope.Tagged(map[string]string{"verb": string(a.Msg.Verb)}).Counter("evictions").Inc(1)
			h.opts.Log.Info("task evicted", "task", a.Msg.TaskID, "verb", string(a.Msg.Verb), "worker", a.Addr)
		}
		r.update(func(now time.Time) { r.core.HandleTaskCommandResult(now, a.Placement, a.Msg.Verb, res) })
	}
}

func resultLabel(res rack.CommandResult) string {
	switch {
	case res.NoAnswer:
		return "lost"
	case res.Refusal != "":
		return string(res.Refusal)
	}
	return "ok"
}

func (r *heldRack) update(f func(time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Now())
}

// pollWorkers reads the workers' lagging reports.
func (h *Holder) pollWorkers(ctx context.Context, r *heldRack, addrs []string) {
	for _, addr := range addrs {
		r.mu.Lock()
		busy := r.polling[addr]
		r.polling[addr] = true
		r.mu.Unlock()
		if busy {
			continue
		}
		h.wg.Go(func() {
			rep, err := h.workerClient.readReport(ctx, addr)
			r.update(func(time.Time) {
				r.polling[addr] = false
				if err == nil {
					r.core.HandleReport(addr, rep)
				}
			})
		})
	}
}

// SyncArgs carries the reports of all racks that a process holds to another, by bucket.
// One call for all keeps the number of calls with the processes, not with the racks.
type SyncArgs struct {
	Reports map[string][]jobs.RackReport
}

// SyncReply carries the answers, in the order of the reports.
type SyncReply struct {
	Answers map[string][]jobs.RackReply
}

// syncRacks lets the racks report to the holders of all buckets.
func (h *Holder) syncRacks(ctx context.Context) {
	if !h.opts.Keeper.Authorized() {
		return
	}
	byHolder := map[string][]string{}
	for i := range h.opts.BucketCount {
		name := BucketName(i)
		if id := h.opts.Keeper.HolderOf(BucketTable, name); id != "" {
			byHolder[id] = append(byHolder[id], name)
		}
	}
	racks := h.heldRacks()
	offered := make([]string, len(racks))
	for i, r := range racks {
		offered[i] = r.nextBucket(h.opts.BucketCount)
	}
	for id, names := range byHolder {
		if len(racks) == 0 || !h.beginSync(id) {
			continue
		}
		h.wg.Go(func() {
			defer h.endSync(id)
			h.syncWith(ctx, racks, id, names, offered)
		})
	}
}

// beginSync notes a call to a process and reports whether none is under way.
func (h *Holder) beginSync(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.syncing[id] {
		return false
	}
	h.syncing[id] = true
	return true
}

func (h *Holder) endSync(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.syncing, id)
}

// nextBucket names the bucket that is offered what is free in this round: in turn those with
// urgent tasks, or else those with any. Offered to all at once, the same room would be
// filled by each.
func (r *heldRack) nextBucket(buckets int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, wants := range []map[string]int{r.urgentTasks, r.waitingTasks} {
		for i := range buckets {
			turn := (r.lastOffered + 1 + i) % buckets
			if name := BucketName(turn); wants[name] > 0 {
				r.lastOffered = turn
				return name
			}
		}
	}
	return ""
}

func (h *Holder) syncWith(ctx context.Context, racks []*heldRack, id string, names, offered []string) {
	in := SyncArgs{map[string][]jobs.RackReport{}}
	for i, r := range racks {
		r.mu.Lock()
		for _, name := range names {
			in.Reports[name] = append(in.Reports[name], r.core.BuildReport(name, name == offered[i]))
		}
		r.mu.Unlock()
	}
	rep, ok := h.exchangeReports(ctx, id, in)
	if !ok {
		return
	}
	for i, r := range racks {
		r.update(func(now time.Time) {
			for name, answers := range rep.Answers {
				if i < len(answers) {
					r.core.HandleAnswer(now, name, answers[i])
					r.waitingTasks[name], r.urgentTasks[name] = answers[i].Waiting, answers[i].Urgent
				}
			}
		})
	}
}

// exchangeReports sends reports to a bucket holder. An answer that takes longer than the
// timeout isn't used: its giver may have lost the bucket since.
func (h *Holder) exchangeReports(ctx context.Context, id string, in SyncArgs) (SyncReply, bool) {
	if id == h.opts.Group.Self().ID {
		return h.HandleReports(in), true
	}
	m, ok := h.opts.Group.View().Get(id)
	if !ok {
		return SyncReply{}, false
	}
	cctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	rep, err := link.Call[SyncArgs, SyncReply](cctx, h.opts.Links.Get(m.Addr), "Peer.Sync", in)
	return rep, err == nil
}

// HandleReports answers a rack's reports for the buckets that are held here.
func (h *Holder) HandleReports(in SyncArgs) SyncReply {
	out := SyncReply{map[string][]jobs.RackReply{}}
	for name, reports := range in.Reports {
		b := h.getBucket(name)
		if b == nil {
			continue
		}
		for _, rep := range reports {
			out.Answers[name] = append(out.Answers[name], b.handleReport(rep))
		}
	}
	return out
}
