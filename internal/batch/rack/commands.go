package rack

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Action is a command that the Core's caller must send to a worker. The caller passes the result to the Core.
type Action interface{ action() }

// Fence fences a worker with the holder's epoch. The result goes to HandleFenceResult.
type Fence struct {
	Addr string // of the worker
	Msg  wire.FenceRequest
}

// Renew renews a worker's lease. The result goes to HandleRenewResult.
type Renew struct {
	Addr string // of the worker
	Msg  wire.RenewRequest
}

// Start starts a task on a worker. The result goes to HandleStartResult.
type Start struct {
	Addr      string         // of the worker
	Placement jobs.Placement // of the task
	Msg       wire.StartRequest
}

// TaskCommand stops, checkpoints or forgets a task on its worker, or accepts its result. The result of the command
// goes to HandleTaskCommandResult.
type TaskCommand struct {
	Addr      string         // of the worker
	Placement jobs.Placement // of the task
	Msg       wire.TaskCommandRequest
}

func (Fence) action()       {}
func (Renew) action()       {}
func (Start) action()       {}
func (TaskCommand) action() {}

// CommandResult is a worker's answer to a command: a report, a refusal, or neither if no answer came.
type CommandResult struct {
	Report   wire.Report  // the worker's tasks after the command; valid if there is an answer and no refusal
	Refusal  wire.Refusal // why the worker did not execute the command; empty: it did
	NoAnswer bool         // no answer came: the worker may have executed the command, or may still do so
}

// ok reports whether the worker executed the command.
func (r CommandResult) ok() bool { return !r.NoAnswer && r.Refusal == "" }

// HandleFenceResult handles the result of a fence. The report in it lists all tasks on the worker, as from then on
// no other holder can start any there.
func (c *Core) HandleFenceResult(now time.Time, addr string, res CommandResult) {
	w := c.workers[addr]
	if w == nil {
		return
	}
	w.leaseCallInFlight = false
	if !res.ok() {
		return
	}
	w.fenced = true
	w.answeredCallAt = w.lastLeaseCall
	w.recordReport(now, res.Report)
	w.leaseExpiry = now.Add(c.opts.LeaseTTL + expiryMargin)
	w.lastLeaseCall = time.Time{}
	for _, t := range res.Report.Tasks {
		c.adoptRun(w, t)
	}
}

// adoptRun adds the run of a task that was found on a worker. A former holder started it, or this holder did
// before the worker's lease expired. If the placement was returned meanwhile, nothing about the run counts any more.
func (c *Core) adoptRun(w *worker, t wire.TaskReport) {
	p, ok := jobs.ParsePlacement(t.ID)
	if !ok {
		return
	}
	r := c.runs[p]
	if r == nil {
		r = &run{placement: p, worker: w.addr, size: t.Size, state: stateRunning, task: wire.Task{ID: t.ID, Size: t.Size}}
		c.runs[p] = r
	}
	delete(c.possiblyStarted, p)
	c.applyTaskReport(w, r, t)
}

// HandleRenewResult handles the result of a renewal.
func (c *Core) HandleRenewResult(now time.Time, addr string, res CommandResult) {
	w := c.workers[addr]
	if w == nil {
		return
	}
	w.leaseCallInFlight = false
	if res.ok() {
		w.answeredCallAt = w.lastLeaseCall
		w.recordReport(now, res.Report)
		c.applyReport(w, res.Report)
	}
}

// HandleReport handles a report that a worker gave without a command and that may be out of date. What it shows
// has happened; what it doesn't show may have happened too.
func (c *Core) HandleReport(addr string, rep wire.Report) {
	if w := c.workers[addr]; w != nil && w.fenced {
		w.lastAnswer = c.tickTime
		c.applyReport(w, rep)
	}
}

// applyReport updates the worker's runs from its report.
func (c *Core) applyReport(w *worker, rep wire.Report) {
	for _, t := range rep.Tasks {
		p, ok := jobs.ParsePlacement(t.ID)
		if r := c.runs[p]; ok && r != nil && r.worker == w.addr {
			c.applyTaskReport(w, r, t)
		}
	}
}

// applyTaskReport updates a run from its worker's report. The state only moves forward: a report that is out of
// date doesn't turn a finished run into a running one.
func (c *Core) applyTaskReport(w *worker, r *run, t wire.TaskReport) {
	if !r.occupiesResources() {
		return
	}
	r.progress = max(r.progress, t.Done)
	switch t.State {
	case wire.TaskFinished:
		r.state = stateFinished
		w.resetFailures()
	case wire.TaskFailed:
		r.state = stateFailed
		w.recordFailure(w.clockReadAt)
	case wire.TaskStopped:
		r.state, r.progress = stateStopped, t.Done
	case wire.TaskRunning:
		if r.state == stateStarting {
			r.state = stateRunning
		}
	}
}

// HandleStartResult handles the result of a start.
//
// A start without an answer may have been executed or may still arrive. Until its deadline has passed, the run
// keeps its resources and the task is started nowhere else. A refusal of a repeated start doesn't show that the first
// one won't arrive any more, however late it is read.
func (c *Core) HandleStartResult(now time.Time, p jobs.Placement, res CommandResult) {
	r := c.runs[p]
	if r == nil {
		return
	}
	r.commandInFlight = false
	w := c.workers[r.worker]
	switch {
	case res.NoAnswer:
		r.startUnknown = true
	case res.ok():
		if r.state == stateStarting {
			r.state = stateRunning
		}
		if w != nil {
			w.recordReport(now, res.Report)
			c.applyReport(w, res.Report)
		}
	case r.state == stateStarting && !r.startUnknown:
		delete(c.runs, p) // the task is certainly not on the worker; another worker may get it
	}
}

// HandleTaskCommandResult handles the result of a task command.
func (c *Core) HandleTaskCommandResult(now time.Time, p jobs.Placement, verb wire.Verb, res CommandResult) {
	r := c.runs[p]
	if r == nil {
		return
	}
	r.commandInFlight = false
	if !res.ok() {
		return
	}
	if w := c.workers[r.worker]; w != nil {
		w.recordReport(now, res.Report)
		c.applyReport(w, res.Report)
	}
	switch verb {
	case wire.VerbAcceptResult:
		c.released[p] = true
		delete(c.runs, p)
	case wire.VerbForget:
		delete(c.runs, p)
	}
}

// HandleReply handles a bucket's reply to a report. The tasks in it replace those that the bucket wanted before.
// A task in the bucket's first reply that has no run may have been started by a former holder.
//
// A reply of a former holder of the bucket that arrives after one of its successor is ignored: it may want a task that
// has ended since.
func (c *Core) HandleReply(now time.Time, bucket string, reply jobs.RackReply) {
	if !reply.OK || reply.Ep != 0 && reply.Ep < c.bucketEpochs[bucket] {
		return
	}
	c.bucketEpochs[bucket] = max(c.bucketEpochs[bucket], reply.Ep)
	for _, p := range reply.Counts {
		if r := c.runs[p]; r != nil && r.state == stateFinished {
			r.mayAccept = true
		}
	}
	for _, p := range reply.Recorded {
		delete(c.returned, p)
		delete(c.released, p)
		if r := c.runs[p]; r != nil && (r.state == stateFinished || r.state == stateFailed) {
			r.mayForget = true
		}
	}
	for _, p := range reply.Ended {
		if c.runs[p] == nil {
			c.returned[p] = 0
		}
	}
	old, answered := c.wanted[bucket]
	next := make(map[jobs.Placement]wantedTask, len(reply.Run))
	for _, t := range reply.Run {
		c.maxPlacementNo[bucket] = max(c.maxPlacementNo[bucket], t.Place.No)
		if _, isReturned := c.returned[t.Place]; isReturned {
			continue
		}
		w := wantedTask{t, now}
		if o, ok := old[t.Place]; ok {
			w.wantedSince = o.wantedSince
		}
		next[t.Place] = w
		if !answered && c.runs[t.Place] == nil {
			c.possiblyStarted[t.Place] = true
		}
	}
	c.wanted[bucket] = next
	for p := range c.possiblyStarted {
		if c.bucketOf(p) == bucket && !c.isWanted(p) {
			delete(c.possiblyStarted, p)
		}
	}
}

// BuildReport returns the report to a bucket: the ends of its placements that it hasn't recorded yet and, with
// offerFree, the rack's free resources.
func (c *Core) BuildReport(bucket string, offerFree bool) jobs.RackReport {
	rep := jobs.RackReport{Rack: c.opts.Rack, Zone: c.opts.Zone, Ep: c.opts.Epoch, Usable: c.zoneStatus.Usable, Heard: c.maxPlacementNo[bucket], Back: map[jobs.Placement]time.Duration{}}
	for _, r := range c.sortedRuns() {
		if c.bucketOf(r.placement) != bucket {
			continue
		}
		switch r.state {
		case stateFinished:
			rep.Finished = append(rep.Finished, r.placement)
		case stateFailed:
			rep.Failed = append(rep.Failed, r.placement)
		}
	}
	for p, savedWork := range c.returned {
		if c.bucketOf(p) == bucket {
			rep.Back[p] = savedWork
		}
	}
	for p := range c.released {
		if c.bucketOf(p) == bucket {
			rep.Released = append(rep.Released, p)
		}
	}
	rep.Offer = c.buildOffer(offerFree)
	return rep
}

// buildOffer returns the largest size of a worker in each dimension and, with offerFree, the free resources of each
// worker that accepts tasks, less those that the waiting tasks will occupy.
func (c *Core) buildOffer(offerFree bool) jobs.Offer {
	var offer jobs.Offer
	var free []wire.Size
	for _, info := range c.workerInfos() {
		size := info.worker.size
		offer.Max = wire.Size{CPU: max(offer.Max.CPU, size.CPU), Mem: max(offer.Max.Mem, size.Mem), Accel: max(offer.Max.Accel, size.Accel)}
		if info.acceptsTasks(c.tickTime) {
			free = append(free, info.free)
		}
	}
	if !offerFree {
		return offer
	}
	for _, w := range c.waitingTasks() {
		for i := range free {
			if free[i].Covers(w.task.Spec.Size) {
				free[i] = free[i].Minus(w.task.Spec.Size)
				break
			}
		}
	}
	offer.Free = free
	return offer
}
