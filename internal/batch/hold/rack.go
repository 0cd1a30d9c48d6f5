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

// heldRack is a rack that this process holds. The lock guards the fields below it.
type heldRack struct {
	name  string
	epoch uint64 // of this holding

	mu           sync.Mutex
	core         *rack.Core
	waitingTasks map[string]int  // number of tasks without a rack, by bucket, as last replied
	urgentTasks  map[string]int  // number of those that are long-running or urgent
	lastOffered  int             // number of the bucket that the last offer went to
	polling      map[string]bool // workers with a poll under way, by address
}

// addRack starts to hold a rack, unless it was reassigned meanwhile. Its workers are fenced
// one by one.
func (h *Holder) addRack(name, zone string, assignment shard.Assignment) {
	r := &heldRack{name: name, epoch: assignment.Epoch, waitingTasks: map[string]int{}, urgentTasks: map[string]int{}, polling: map[string]bool{},
		core: rack.New(time.Now(), rack.Options{Rack: name, Zone: zone, Epoch: assignment.Epoch, LeaseTTL: h.opts.LeaseTTL, MaxConfigAge: h.opts.MaxConfigAge, BucketOf: h.BucketOf})}
	h.mu.Lock()
	defer h.mu.Unlock()
	if own, ok := h.opts.Assigner.OwnAssignments(RackTable)[name]; ok && own.Epoch == assignment.Epoch && h.racks[name] == nil {
		h.racks[name] = r
		h.opts.Log.Info("rack held", "rack", name, "zone", zone, "ep", assignment.Epoch)
	}
}

// heldRacks returns the racks that this process holds, sorted by name.
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

// tickRacks sends the commands that are due on each rack, and polls the workers.
func (h *Holder) tickRacks(ctx context.Context) {
	if !h.opts.Assigner.Authorized() {
		return
	}
	now := time.Now()
	config := h.opts.Config()
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
		actions := r.core.Tick(now, rack.ZoneStatus{Usable: config.IsZoneUsable(r.core.Zone()), ConfirmedAt: confirmed})
		r.mu.Unlock()
		for _, a := range actions {
			h.wg.Go(func() { h.execute(ctx, r, a) })
		}
		h.pollWorkers(ctx, r, byRack[r.name])
	}
}

// execute sends one command to a worker and passes the result to the rack's core.
func (h *Holder) execute(ctx context.Context, r *heldRack, a rack.Action) {
	switch a := a.(type) {
	case rack.Fence:
		result := sendCommand(ctx, h.workerClient, a.Addr, "fence", a.Msg)
		r.update(func(now time.Time) { r.core.HandleFenceResult(now, a.Addr, result) })
	case rack.Renew:
		result := sendCommand(ctx, h.workerClient, a.Addr, "renew", a.Msg)
		r.update(func(now time.Time) { r.core.HandleRenewResult(now, a.Addr, result) })
	case rack.Start:
		result := sendCommand(ctx, h.workerClient, a.Addr, "start", a.Msg)
		h.opts.Scope.Tagged(map[string]string{"result": resultLabel(result)}).Counter("starts").Inc(1)
		r.update(func(now time.Time) { r.core.HandleStartResult(now, a.Placement, result) })
	case rack.TaskCommand:
		result := sendCommand(ctx, h.workerClient, a.Addr, "act", a.Msg)
		if a.Msg.Verb == wire.VerbCheckpoint || a.Msg.Verb == wire.VerbStop {
			h.opts.Scope.Tagged(map[string]string{"verb": string(a.Msg.Verb)}).Counter("evictions").Inc(1)
			h.opts.Log.Info("task evicted", "task", a.Msg.TaskID, "verb", string(a.Msg.Verb), "worker", a.Addr)
		}
		r.update(func(now time.Time) { r.core.HandleTaskCommandResult(now, a.Placement, a.Msg.Verb, result) })
	}
}

// resultLabel returns the label of a command's result in the metric of starts.
func resultLabel(result rack.CommandResult) string {
	switch {
	case result.NoAnswer:
		return "lost"
	case result.Refusal != "":
		return string(result.Refusal)
	}
	return "ok"
}

// update calls f with the current time while it holds the lock.
func (r *heldRack) update(f func(time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Now())
}

// pollWorkers reads the reports of the workers that have no poll under way. Such a report may
// be out of date.
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

// SyncArgs contains the reports of all racks that one process holds to the buckets that
// another process holds. With one call for all of them the number of calls grows with the
// number of processes, not of racks.
type SyncArgs struct {
	Reports map[string][]jobs.RackReport // by bucket
}

// SyncReply is the reply to SyncArgs.
type SyncReply struct {
	Answers map[string][]jobs.RackReply // by bucket, in the order of the reports
}

// syncRacks sends the reports of the held racks to the holders of all buckets, one call to
// each process that has none under way.
func (h *Holder) syncRacks(ctx context.Context) {
	if !h.opts.Assigner.Authorized() {
		return
	}
	byHolder := map[string][]string{}
	for i := range h.opts.BucketCount {
		name := BucketName(i)
		if id := h.opts.Assigner.HolderOf(BucketTable, name); id != "" {
			byHolder[id] = append(byHolder[id], name)
		}
	}
	racks := h.heldRacks()
	offeredBuckets := make([]string, len(racks))
	for i, r := range racks {
		offeredBuckets[i] = r.nextBucket(h.opts.BucketCount)
	}
	for id, bucketNames := range byHolder {
		if len(racks) == 0 || !h.beginSync(id) {
			continue
		}
		h.wg.Go(func() {
			defer h.endSync(id)
			h.syncWith(ctx, racks, id, bucketNames, offeredBuckets)
		})
	}
}

// beginSync marks a process as having a call under way. It returns false if it already has one.
func (h *Holder) beginSync(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.syncing[id] {
		return false
	}
	h.syncing[id] = true
	return true
}

// endSync marks a process as having no call under way.
func (h *Holder) endSync(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.syncing, id)
}

// nextBucket returns the bucket that the rack's free resources are offered to with the next reports,
// or "" when no task waits. Buckets with urgent or long-running tasks take turns; without
// any, those with waiting tasks do. If all were offered the same resources at once, each
// would use them.
func (r *heldRack) nextBucket(buckets int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, counts := range []map[string]int{r.urgentTasks, r.waitingTasks} {
		for i := range buckets {
			n := (r.lastOffered + 1 + i) % buckets
			if name := BucketName(n); counts[name] > 0 {
				r.lastOffered = n
				return name
			}
		}
	}
	return ""
}

// syncWith sends the racks' reports to the holder of the named buckets and applies its replies.
// offeredBuckets has for each rack the bucket that gets its offer.
func (h *Holder) syncWith(ctx context.Context, racks []*heldRack, id string, bucketNames, offeredBuckets []string) {
	in := SyncArgs{map[string][]jobs.RackReport{}}
	for i, r := range racks {
		r.mu.Lock()
		for _, name := range bucketNames {
			in.Reports[name] = append(in.Reports[name], r.core.BuildReport(name, name == offeredBuckets[i]))
		}
		r.mu.Unlock()
	}
	reply, ok := h.exchangeReports(ctx, id, in)
	if !ok {
		return
	}
	for i, r := range racks {
		r.update(func(now time.Time) {
			for name, replies := range reply.Answers {
				if i < len(replies) {
					r.core.HandleReply(now, name, replies[i])
					r.waitingTasks[name], r.urgentTasks[name] = replies[i].Waiting, replies[i].Urgent
				}
			}
		})
	}
}

// exchangeReports sends reports to a process that holds buckets and returns its reply. A reply
// that takes longer than CallTimeout isn't used: its sender may have lost the buckets since.
func (h *Holder) exchangeReports(ctx context.Context, id string, in SyncArgs) (SyncReply, bool) {
	if id == h.opts.Group.Self().ID {
		return h.HandleReports(in), true
	}
	m, ok := h.opts.Group.View().Get(id)
	if !ok {
		return SyncReply{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	reply, err := link.Call[SyncArgs, SyncReply](callCtx, h.opts.Links.Get(m.Addr), "Peer.Sync", in)
	return reply, err == nil
}

// HandleReports handles the RPC Peer.Sync: it returns the replies to racks' reports for the buckets that this process
// holds.
func (h *Holder) HandleReports(in SyncArgs) SyncReply {
	reply := SyncReply{map[string][]jobs.RackReply{}}
	for name, reports := range in.Reports {
		b := h.getBucket(name)
		if b == nil {
			continue
		}
		for _, rep := range reports {
			reply.Answers[name] = append(reply.Answers[name], b.handleReport(rep))
		}
	}
	return reply
}
