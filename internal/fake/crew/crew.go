package crew

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Crew is a set of workers. Its zero value is empty.
type Crew struct {
	mu      sync.Mutex
	workers map[string]*worker
	// work returns how long a task runs and how it ends.
	work   func(task string) (time.Duration, sched.End)
	rng    *rand.Rand
	late   float64 // share of orders that aren't answered and carried out later
	faults []string
	noted  map[string]bool // tasks whose success has been acknowledged
	starts map[string]int
	lapsed int
}

type worker struct {
	sched.Member
	began  time.Time
	fence  int64
	until  time.Duration
	runs   map[string]*run
	ends   []sched.FinishedRun
	seq    int64
	stale  int64 // ends up to here are from before a lapse: acknowledging them says nothing
	newest map[string]int64
	dark   bool // out of reach, and running on
	woken  chan struct{}
}

type run struct {
	task  string
	run   int64
	how   sched.End
	timer *time.Timer
}

// New returns a crew of n workers of a size, whose tasks run as work says.
func New(n int, size wire.Size, rng *rand.Rand, work func(task string) (time.Duration, sched.End)) *Crew {
	c := &Crew{workers: map[string]*worker{}, work: work, rng: rng, noted: map[string]bool{}, starts: map[string]int{}}
	for i := range n {
		m := sched.Member{
			Incarnation: sched.Incarnation{ID: fmt.Sprintf("w%d", i), StartedAt: 1}, Service: "s", Addr: fmt.Sprintf("w%d", i),
			Zone: fmt.Sprintf("z%d", i%3), Rack: fmt.Sprintf("r%d", i/4), Size: size,
		}
		c.workers[m.ID] = &worker{Member: m, began: time.Now(), runs: map[string]*run{}, newest: map[string]int64{}, woken: make(chan struct{})}
	}
	return c
}

// Members returns the workers as the directory shows them.
func (c *Crew) Members() []sched.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []sched.Member
	for _, w := range c.workers {
		all = append(all, w.Member)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].ID < all[k].ID })
	return all
}

// SetLate has a share of orders go unanswered and be carried out 2 to 12 s later.
func (c *Crew) SetLate(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = share
}

// SetDark cuts a worker off, or gives it back.
func (c *Crew) SetDark(id string, dark bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	w.dark = dark
	w.wake()
}

// Crash ends a worker's life and begins its next.
func (c *Crew) Crash(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	for _, r := range w.runs {
		r.timer.Stop()
	}
	w.StartedAt++
	w.began = time.Now()
	w.fence, w.until, w.seq, w.stale = 0, 0, 0, 0
	w.runs, w.newest, w.ends = map[string]*run{}, map[string]int64{}, nil
	w.wake()
}

// Lose ends a worker for good: nothing runs there any more and nothing is answered.
func (c *Crew) Lose(id string) {
	c.Crash(id)
	c.SetDark(id, true)
}

// Faults returns what must not have happened.
func (c *Crew) Faults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.faults...)
}

// Starts returns how often each task was started.
func (c *Crew) Starts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]int{}
	for t, n := range c.starts {
		all[t] = n
	}
	return all
}

func (w *worker) wake() {
	close(w.woken)
	w.woken = make(chan struct{})
}

// clock is the worker's own, which runs as slow as clocks of workers may.
func (w *worker) clock() time.Duration { return time.Since(w.began) * 98 / 100 }

// lapse ends everything when the lease has run out.
func (c *Crew) lapse(w *worker) {
	if len(w.runs) == 0 || w.clock() <= w.until {
		return
	}
	for _, r := range w.runs {
		c.lapsed++
		c.end(w, r, sched.EndLeaseExpired)
	}
}

func (c *Crew) end(w *worker, r *run, how sched.End) {
	r.timer.Stop()
	delete(w.runs, r.task)
	w.seq++
	w.ends = append(w.ends, sched.FinishedRun{Seq: w.seq, Task: r.task, Run: r.run, End: how})
	w.wake()
}

func (w *worker) renew(until time.Duration) {
	if w.clock() > w.until {
		w.stale = w.seq
	}
	w.until = max(w.until, min(until, w.clock()+MaxHold))
}

const (
	// MaxHold is the longest lease that workers grant.
	MaxHold = 6 * time.Second
	// MaxStop is the longest time that a worker may take to stop a run.
	MaxStop = 200 * time.Millisecond
	// travel is a message's way.
	travel = time.Millisecond
	// unanswered is how long a caller waits for an answer that doesn't come.
	unanswered = 600 * time.Millisecond
)

// View is the crew as one host reaches it.
type View struct {
	c   *Crew
	cut func(worker sched.Member) bool
}

// From returns a host's view; cut tells which workers it doesn't reach.
func (c *Crew) From(cut func(worker sched.Member) bool) *View {
	return &View{c, cut}
}

func (v *View) lost(id string) bool {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	w := v.c.workers[id]
	return w == nil || v.cut(w.Member)
}

// Poll implements drive.WorkerClient.
func (v *View) Poll(ctx context.Context, l sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	if v.lost(l.ID) {
		wait.For(ctx, unanswered)
		return sched.Report{}, sched.OutcomeUnknown
	}
	rep, out := v.c.Poll(ctx, l, fence)
	if v.lost(l.ID) {
		wait.For(ctx, unanswered)
		return sched.Report{}, sched.OutcomeUnknown
	}
	return rep, out
}

// Order implements drive.WorkerClient.
func (v *View) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if v.lost(o.Incarnation.ID) {
		wait.For(ctx, unanswered)
		return sched.OutcomeUnknown
	}
	return v.c.Order(ctx, o, fence)
}

// Poll implements drive.WorkerClient.
func (c *Crew) Poll(ctx context.Context, l sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	if !wait.For(ctx, travel) {
		return sched.Report{}, sched.OutcomeUnknown
	}
	end := time.Now().Add(l.Wait)
	first := true
	for {
		c.mu.Lock()
		w := c.workers[l.ID]
		if w == nil || w.dark {
			c.mu.Unlock()
			wait.For(ctx, unanswered)
			return sched.Report{}, sched.OutcomeUnknown
		}
		c.lapse(w)
		if fence < w.fence {
			c.mu.Unlock()
			return sched.Report{}, sched.OutcomeFenced
		}
		w.fence = fence
		if first {
			w.renew(l.LeaseUntil)
			c.forget(w, l)
			first = false
		}
		if len(w.ends) > 0 || !time.Now().Before(end) {
			rep := w.report()
			c.mu.Unlock()
			wait.For(ctx, travel)
			return rep, sched.OutcomeDone
		}
		woken := w.woken
		c.mu.Unlock()
		t := time.NewTimer(time.Until(end))
		select {
		case <-ctx.Done():
			t.Stop()
			return sched.Report{}, sched.OutcomeUnknown
		case <-woken:
		case <-t.C:
		}
		t.Stop()
	}
}

// forget takes note of the ends that a poll acknowledges.
func (c *Crew) forget(w *worker, l sched.PollRequest) {
	if l.StartedAt != 0 && l.StartedAt != w.StartedAt {
		return
	}
	var rest []sched.FinishedRun
	for _, f := range w.ends {
		if f.Seq > l.AckedSeq {
			rest = append(rest, f)
			continue
		}
		if f.End == sched.EndDone && f.Seq > w.stale {
			c.noted[f.Task] = true
		}
	}
	w.ends = rest
}

func (w *worker) report() sched.Report {
	rep := sched.Report{StartedAt: w.StartedAt, Clock: w.clock(), Finished: append([]sched.FinishedRun(nil), w.ends...)}
	for _, r := range w.runs {
		rep.Running = append(rep.Running, sched.RunStatus{Task: r.task, Run: r.run, Progress: 50})
	}
	return rep
}

// Order implements drive.WorkerClient.
func (c *Crew) Order(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if !wait.For(ctx, travel) {
		return sched.OutcomeUnknown
	}
	c.mu.Lock()
	w := c.workers[o.Incarnation.ID]
	if w == nil || w.dark {
		c.mu.Unlock()
		wait.For(ctx, unanswered)
		return sched.OutcomeUnknown
	}
	if c.rng.Float64() < c.late {
		after := 2*time.Second + time.Duration(c.rng.Int64N(int64(10*time.Second)))
		born := w.StartedAt
		time.AfterFunc(after, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if w.StartedAt == born {
				c.carry(w, o, fence)
			}
		})
		c.mu.Unlock()
		wait.For(ctx, unanswered)
		return sched.OutcomeUnknown
	}
	out := c.carry(w, o, fence)
	c.mu.Unlock()
	wait.For(ctx, travel)
	return out
}

func (c *Crew) carry(w *worker, o sched.Order, fence int64) sched.Outcome {
	c.lapse(w)
	if fence < w.fence {
		return sched.OutcomeFenced
	}
	w.fence = fence
	name := o.Task.String()
	r := w.runs[name]
	switch o.Verb {
	case sched.VerbStop:
		w.newest[name] = max(w.newest[name], o.Run)
		if r != nil && r.run <= o.Run {
			c.end(w, r, sched.EndStopped)
		}
		return sched.OutcomeDone
	case sched.VerbThrottle:
		return sched.OutcomeDone
	}
	if r != nil && r.run == o.Run {
		return sched.OutcomeDone
	}
	if o.Run <= w.newest[name] || r != nil {
		return sched.OutcomeRunEnded
	}
	if w.clock() > o.LeaseUntil {
		return sched.OutcomeExpired
	}
	w.renew(o.LeaseUntil)
	w.newest[name] = o.Run
	c.start(w, name, o.Run)
	return sched.OutcomeDone
}

func (c *Crew) start(w *worker, name string, number int64) {
	c.check(w, name, number)
	c.starts[name]++
	d, how := c.work(name)
	r := &run{task: name, run: number, how: how}
	r.timer = time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if w.runs[name] == r {
			c.lapse(w)
		}
		if w.runs[name] == r {
			c.end(w, r, how)
		}
	})
	w.runs[name] = r
	w.wake()
}

// check notes a start that must not be.
func (c *Crew) check(w *worker, name string, number int64) {
	if c.noted[name] {
		c.faults = append(c.faults, fmt.Sprintf("%s run %d on %s: its success was acknowledged before", name, number, w.ID))
	}
	for _, o := range c.workers {
		c.lapse(o)
		if r := o.runs[name]; r != nil {
			c.faults = append(c.faults, fmt.Sprintf("%s runs twice: %d on %s and %d on %s", name, r.run, o.ID, number, w.ID))
		}
	}
}

// Running returns how many tasks run.
func (c *Crew) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.workers {
		n += len(w.runs)
	}
	return n
}

// Lapsed returns how many runs have ended with a worker's lease.
func (c *Crew) Lapsed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		c.lapse(w)
	}
	return c.lapsed
}

// SetWork changes how long tasks run and how they end, from the next start on.
func (c *Crew) SetWork(work func(task string) (time.Duration, sched.End)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work = work
}
