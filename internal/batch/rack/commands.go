package rack

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Action is a command that the adapter sends to a worker.
type Action interface{ action() }

// Fence asks to fence the worker; its result goes to Fenced.
type Fence struct {
	Addr string
	Msg  wire.FenceRequest
}

// Renew asks to renew the worker's lease; its result goes to Renewed.
type Renew struct {
	Addr string
	Msg  wire.RenewRequest
}

// Start asks to start a task; its result goes to Started.
type Start struct {
	Addr      string
	Placement jobs.Placement
	Msg       wire.StartRequest
}

// TaskCommand asks to do something with a task; its result goes to Acted.
type TaskCommand struct {
	Addr      string
	Placement jobs.Placement
	Msg       wire.TaskCommandRequest
}

func (Fence) action()       {}
func (Renew) action()       {}
func (Start) action()       {}
func (TaskCommand) action() {}

// CommandResult is a worker's answer to a command: a report, a refusal, or neither when no
// answer came.
type CommandResult struct {
	Report   wire.Report
	Refusal  wire.Refusal
	NoAnswer bool
}

func (r CommandResult) ok() bool { return !r.NoAnswer && r.Refusal == "" }

// HandleFenceResult takes in the result of a fence. The inventory in it is what runs there: from
// now on nobody else starts anything.
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
	w.recordReport(now, res.Report)
	w.leaseExpiry = now.Add(c.opts.LeaseTTL + expiryMargin)
	w.lastLeaseCall = time.Time{}
	for _, t := range res.Report.Tasks {
		c.adoptRun(w, t)
	}
}

// adoptRun takes over a task that a former holder, or this one before the worker lapsed,
// started. When it was given back meanwhile, nothing of it counts any more.
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

// HandleRenewResult takes in the result of a renewal.
func (c *Core) HandleRenewResult(now time.Time, addr string, res CommandResult) {
	w := c.workers[addr]
	if w == nil {
		return
	}
	w.leaseCallInFlight = false
	if res.ok() {
		w.recordReport(now, res.Report)
		c.applyReport(w, res.Report)
	}
}

// HandleReport takes in a worker's lagging report. What it shows has happened; what it
// doesn't show may have.
func (c *Core) HandleReport(addr string, rep wire.Report) {
	if w := c.workers[addr]; w != nil && w.fenced {
		w.lastAnswer = c.tickTime
		c.applyReport(w, rep)
	}
}

func (c *Core) applyReport(w *worker, rep wire.Report) {
	for _, t := range rep.Tasks {
		p, ok := jobs.ParsePlacement(t.ID)
		if r := c.runs[p]; ok && r != nil && r.worker == w.addr {
			c.applyTaskReport(w, r, t)
		}
	}
}

// applyTaskReport takes in what a worker says of a task. A task only moves forward: a lagging
// report doesn't make a finished one run again.
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

// HandleStartResult takes in the result of a start.
//
// It guards against a start whose answer was lost: it may have arrived, or arrive yet.
// Until its time has passed the task keeps its place in the ledger and is started
// nowhere else.
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
		delete(c.runs, p) // it certainly isn't there; another worker may take it
	case r.state == stateStarting && now.After(r.startDeadline.Add(expiryMargin)):
		delete(c.runs, p)
		c.returnPlacement(p, r.task.ResumeFrom)
	}
}

// HandleTaskCommandResult takes in the result of an act.
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

// HandleAnswer takes in a bucket's answer to a report.
func (c *Core) HandleAnswer(now time.Time, bucket string, a jobs.RackReply) {
	if !a.OK {
		return
	}
	for _, p := range a.Counts {
		if r := c.runs[p]; r != nil && r.state == stateFinished {
			r.mayAccept = true
		}
	}
	for _, p := range a.Recorded {
		delete(c.returned, p)
		delete(c.released, p)
		if r := c.runs[p]; r != nil && (r.state == stateFinished || r.state == stateFailed) {
			r.mayForget = true
		}
	}
	for _, p := range a.Ended {
		if c.runs[p] == nil {
			c.returned[p] = 0
		}
	}
	old, spoken := c.wanted[bucket]
	next := make(map[jobs.Placement]wantedTask, len(a.Run))
	for _, t := range a.Run {
		c.maxPlacementNo[bucket] = max(c.maxPlacementNo[bucket], t.Place.No)
		if _, back := c.returned[t.Place]; back {
			continue
		}
		w := wantedTask{t, now}
		if o, ok := old[t.Place]; ok {
			w.wantedSince = o.wantedSince
		}
		next[t.Place] = w
		if !spoken && c.runs[t.Place] == nil {
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

// BuildReport returns what the bucket has to hear; with offer it names what is free.
func (c *Core) BuildReport(bucket string, offer bool) jobs.RackReport {
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
	for p, kept := range c.returned {
		if c.bucketOf(p) == bucket {
			rep.Back[p] = kept
		}
	}
	for p := range c.released {
		if c.bucketOf(p) == bucket {
			rep.Released = append(rep.Released, p)
		}
	}
	rep.Offer = c.buildOffer(offer)
	return rep
}

// buildOffer returns what is free less what already waits here.
func (c *Core) buildOffer(free bool) jobs.Offer {
	var o jobs.Offer
	var left []wire.Size
	for _, a := range c.workerInfos() {
		size := a.worker.size
		o.Max = wire.Size{CPU: max(o.Max.CPU, size.CPU), Mem: max(o.Max.Mem, size.Mem), Accel: max(o.Max.Accel, size.Accel)}
		if a.acceptsTasks(c.tickTime) {
			left = append(left, a.free)
		}
	}
	if !free {
		return o
	}
	for _, wt := range c.waitingTasks() {
		for i := range left {
			if left[i].Covers(wt.task.Spec.Size) {
				left[i] = left[i].Minus(wt.task.Spec.Size)
				break
			}
		}
	}
	o.Free = left
	return o
}
