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
	Addr  string
	Place jobs.Placement
	Msg   wire.StartRequest
}

// Act asks to do something with a task; its result goes to Acted.
type Act struct {
	Addr  string
	Place jobs.Placement
	Msg   wire.TaskCommandRequest
}

func (Fence) action() {}
func (Renew) action() {}
func (Start) action() {}
func (Act) action()   {}

// Result is a worker's answer to a command: a report, a refusal, or neither when no
// answer came.
type Result struct {
	Report  wire.Report
	Refusal wire.Refusal
	Lost    bool
}

func (r Result) ok() bool { return !r.Lost && r.Refusal == "" }

// Fenced takes in the result of a fence. The inventory in it is what runs there: from
// now on nobody else starts anything.
func (c *Core) Fenced(now time.Time, addr string, res Result) {
	w := c.workers[addr]
	if w == nil {
		return
	}
	w.busy = false
	if !res.ok() {
		return
	}
	w.fenced = true
	w.hear(now, res.Report)
	w.over = now.Add(c.o.Lease + margin)
	w.tried = time.Time{}
	for _, t := range res.Report.Tasks {
		c.adopt(w, t)
	}
}

// adopt takes over a task that a former holder, or this one before the worker lapsed,
// started. When it was given back meanwhile, nothing of it counts any more.
func (c *Core) adopt(w *worker, t wire.TaskReport) {
	p, ok := jobs.ParsePlacement(t.ID)
	if !ok {
		return
	}
	r := c.runs[p]
	if r == nil {
		r = &run{place: p, worker: w.addr, size: t.Size, state: stateRunning, task: wire.Task{ID: t.ID, Size: t.Size}}
		c.runs[p] = r
	}
	delete(c.suspect, p)
	c.see(w, r, t)
}

// Renewed takes in the result of a renewal.
func (c *Core) Renewed(now time.Time, addr string, res Result) {
	w := c.workers[addr]
	if w == nil {
		return
	}
	w.busy = false
	if res.ok() {
		w.hear(now, res.Report)
		c.inventory(w, res.Report)
	}
}

// Reported takes in a worker's lagging report. What it shows has happened; what it
// doesn't show may have.
func (c *Core) Reported(addr string, rep wire.Report) {
	if w := c.workers[addr]; w != nil && w.fenced {
		w.seen = c.now
		c.inventory(w, rep)
	}
}

func (c *Core) inventory(w *worker, rep wire.Report) {
	for _, t := range rep.Tasks {
		p, ok := jobs.ParsePlacement(t.ID)
		if r := c.runs[p]; ok && r != nil && r.worker == w.addr {
			c.see(w, r, t)
		}
	}
}

// see takes in what a worker says of a task. A task only moves forward: a lagging
// report doesn't make a finished one run again.
func (c *Core) see(w *worker, r *run, t wire.TaskReport) {
	if !r.holds() {
		return
	}
	r.done = max(r.done, t.Done)
	switch t.State {
	case wire.TaskFinished:
		r.state = stateFinished
		w.well()
	case wire.TaskFailed:
		r.state = stateFailed
		w.failed(w.heard)
	case wire.TaskStopped:
		r.state, r.done = stateStopped, t.Done
	case wire.TaskRunning:
		if r.state == stateStarting {
			r.state = stateRunning
		}
	}
}

// Started takes in the result of a start.
//
// It guards against a start whose answer was lost: it may have arrived, or arrive yet.
// Until its time has passed the task keeps its place in the ledger and is started
// nowhere else.
func (c *Core) Started(now time.Time, p jobs.Placement, res Result) {
	r := c.runs[p]
	if r == nil {
		return
	}
	r.asked = false
	w := c.workers[r.worker]
	switch {
	case res.Lost:
		r.unsure = true
	case res.ok():
		if r.state == stateStarting {
			r.state = stateRunning
		}
		if w != nil {
			w.hear(now, res.Report)
			c.inventory(w, res.Report)
		}
	case r.state == stateStarting && !r.unsure:
		delete(c.runs, p) // it certainly isn't there; another worker may take it
	case r.state == stateStarting && now.After(r.bound.Add(margin)):
		delete(c.runs, p)
		c.giveBack(p, r.task.ResumeFrom)
	}
}

// Acted takes in the result of an act.
func (c *Core) Acted(now time.Time, p jobs.Placement, verb wire.Verb, res Result) {
	r := c.runs[p]
	if r == nil {
		return
	}
	r.asked = false
	if !res.ok() {
		return
	}
	if w := c.workers[r.worker]; w != nil {
		w.hear(now, res.Report)
		c.inventory(w, res.Report)
	}
	switch verb {
	case wire.VerbAcceptResult:
		c.released[p] = true
		delete(c.runs, p)
	case wire.VerbForget:
		delete(c.runs, p)
	}
}

// Take takes in a bucket's answer to a report.
func (c *Core) Take(now time.Time, bucket string, a jobs.RackReply) {
	if !a.OK {
		return
	}
	for _, p := range a.Counts {
		if r := c.runs[p]; r != nil && r.state == stateFinished {
			r.counts = true
		}
	}
	for _, p := range a.Recorded {
		delete(c.backs, p)
		delete(c.released, p)
		if r := c.runs[p]; r != nil && (r.state == stateFinished || r.state == stateFailed) {
			r.forget = true
		}
	}
	for _, p := range a.Ended {
		if c.runs[p] == nil {
			c.backs[p] = 0
		}
	}
	old, spoken := c.wants[bucket]
	next := make(map[jobs.Placement]want, len(a.Run))
	for _, t := range a.Run {
		c.heard[bucket] = max(c.heard[bucket], t.Place.No)
		if _, back := c.backs[t.Place]; back {
			continue
		}
		w := want{t, now}
		if o, ok := old[t.Place]; ok {
			w.since = o.since
		}
		next[t.Place] = w
		if !spoken && c.runs[t.Place] == nil {
			c.suspect[t.Place] = true
		}
	}
	c.wants[bucket] = next
	for p := range c.suspect {
		if c.bucket(p) == bucket && !c.wanted(p) {
			delete(c.suspect, p)
		}
	}
}

// Report returns what the bucket has to hear; with offer it names what is free.
func (c *Core) Report(bucket string, offer bool) jobs.RackReport {
	rep := jobs.RackReport{Rack: c.o.Rack, Zone: c.o.Zone, Ep: c.o.Ep, Usable: c.conf.Usable, Heard: c.heard[bucket], Back: map[jobs.Placement]time.Duration{}}
	for _, r := range c.sorted() {
		if c.bucket(r.place) != bucket {
			continue
		}
		switch r.state {
		case stateFinished:
			rep.Finished = append(rep.Finished, r.place)
		case stateFailed:
			rep.Failed = append(rep.Failed, r.place)
		}
	}
	for p, kept := range c.backs {
		if c.bucket(p) == bucket {
			rep.Back[p] = kept
		}
	}
	for p := range c.released {
		if c.bucket(p) == bucket {
			rep.Released = append(rep.Released, p)
		}
	}
	rep.Offer = c.offer(offer)
	return rep
}

// offer returns what is free less what already waits here.
func (c *Core) offer(free bool) jobs.Offer {
	var o jobs.Offer
	var left []wire.Size
	for _, a := range c.ledger() {
		size := a.worker.size
		o.Max = wire.Size{CPU: max(o.Max.CPU, size.CPU), Mem: max(o.Max.Mem, size.Mem), Accel: max(o.Max.Accel, size.Accel)}
		if a.takes(c.now) {
			left = append(left, a.free)
		}
	}
	if !free {
		return o
	}
	for _, wt := range c.waiting() {
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
