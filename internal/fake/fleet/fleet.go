package fleet

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

// Fleet is a set of workers. Its zero value is empty.
type Fleet struct {
	mu      sync.Mutex
	workers map[string]*worker
	// workload returns how long a task runs and how it ends.
	workload     func(task string) (time.Duration, sched.End)
	rng          *rand.Rand
	delayedShare float64 // share of orders that aren't answered and carried out later
	violations   []string
	ackedTasks   map[string]bool // tasks whose success has been acknowledged
	starts       map[string]int
	expiredRuns  int
}

type worker struct {
	sched.Member
	clockZero   time.Time
	fence       int64
	leaseUntil  time.Duration
	runs        map[string]*run
	finished    []sched.FinishedRun
	lastSeq     int64
	staleSeq    int64 // ends up to here are from before a lapse: acknowledging them says nothing
	newestRun   map[string]int64
	unreachable bool // out of reach, and running on
	changed     chan struct{}
}

type run struct {
	task   string
	number int64
	end    sched.End
	timer  *time.Timer
}

// New returns a crew of n workers of a size, whose tasks run as work says.
func New(n int, size wire.Size, rng *rand.Rand, work func(task string) (time.Duration, sched.End)) *Fleet {
	c := &Fleet{workers: map[string]*worker{}, workload: work, rng: rng, ackedTasks: map[string]bool{}, starts: map[string]int{}}
	for i := range n {
		m := sched.Member{
			Incarnation: sched.Incarnation{ID: fmt.Sprintf("w%d", i), StartedAt: 1}, Service: "s", Addr: fmt.Sprintf("w%d", i),
			Zone: fmt.Sprintf("z%d", i%3), Rack: fmt.Sprintf("r%d", i/4), Size: size,
		}
		c.workers[m.ID] = &worker{Member: m, clockZero: time.Now(), runs: map[string]*run{}, newestRun: map[string]int64{}, changed: make(chan struct{})}
	}
	return c
}

// Members returns the workers as the directory shows them.
func (c *Fleet) Members() []sched.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []sched.Member
	for _, w := range c.workers {
		all = append(all, w.Member)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].ID < all[k].ID })
	return all
}

// SetDelayedShare has a share of orders go unanswered and be carried out 2 to 12 s later.
func (c *Fleet) SetDelayedShare(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayedShare = share
}

// SetUnreachable cuts a worker off, or gives it back.
func (c *Fleet) SetUnreachable(id string, dark bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	w.unreachable = dark
	w.notify()
}

// Crash ends a worker's life and begins its next.
func (c *Fleet) Crash(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	for _, r := range w.runs {
		r.timer.Stop()
	}
	w.StartedAt++
	w.clockZero = time.Now()
	w.fence, w.leaseUntil, w.lastSeq, w.staleSeq = 0, 0, 0, 0
	w.runs, w.newestRun, w.finished = map[string]*run{}, map[string]int64{}, nil
	w.notify()
}

// Kill ends a worker for good: nothing runs there any more and nothing is answered.
func (c *Fleet) Kill(id string) {
	c.Crash(id)
	c.SetUnreachable(id, true)
}

// Violations returns what must not have happened.
func (c *Fleet) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Starts returns how often each task was started.
func (c *Fleet) Starts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]int{}
	for t, n := range c.starts {
		all[t] = n
	}
	return all
}

func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// clock is the worker's own, which runs as slow as clocks of workers may.
func (w *worker) clock() time.Duration { return time.Since(w.clockZero) * 98 / 100 }

// expireLease ends everything when the lease has run out.
func (c *Fleet) expireLease(w *worker) {
	if len(w.runs) == 0 || w.clock() <= w.leaseUntil {
		return
	}
	for _, r := range w.runs {
		c.expiredRuns++
		c.endRun(w, r, sched.EndLeaseExpired)
	}
}

func (c *Fleet) endRun(w *worker, r *run, how sched.End) {
	r.timer.Stop()
	delete(w.runs, r.task)
	w.lastSeq++
	w.finished = append(w.finished, sched.FinishedRun{Seq: w.lastSeq, Task: r.task, Run: r.number, End: how})
	w.notify()
}

func (w *worker) renewLease(until time.Duration) {
	if w.clock() > w.leaseUntil {
		w.staleSeq = w.lastSeq
	}
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+MaxLease))
}

const (
	// MaxLease is the longest lease that workers grant.
	MaxLease = 6 * time.Second
	// MaxStopTime is the longest time that a worker may take to stop a run.
	MaxStopTime = 200 * time.Millisecond
	// messageDelay is a message's way.
	messageDelay = time.Millisecond
	// callTimeout is how long a caller waits for an answer that doesn't come.
	callTimeout = 600 * time.Millisecond
)

// Client is the crew as one host reaches it.
type Client struct {
	fleet       *Fleet
	unreachable func(worker sched.Member) bool
}

// Client returns a host's view; cut tells which workers it doesn't reach.
func (c *Fleet) Client(cut func(worker sched.Member) bool) *Client {
	return &Client{c, cut}
}

func (v *Client) cannotReach(id string) bool {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	w := v.fleet.workers[id]
	return w == nil || v.unreachable(w.Member)
}

// Poll implements drive.WorkerClient.
func (v *Client) Poll(ctx context.Context, l sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	if v.cannotReach(l.ID) {
		wait.For(ctx, callTimeout)
		return sched.Report{}, sched.OutcomeUnknown
	}
	rep, out := v.fleet.Poll(ctx, l, fence)
	if v.cannotReach(l.ID) {
		wait.For(ctx, callTimeout)
		return sched.Report{}, sched.OutcomeUnknown
	}
	return rep, out
}

// Order implements drive.WorkerClient.
func (v *Client) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if v.cannotReach(o.Incarnation.ID) {
		wait.For(ctx, callTimeout)
		return sched.OutcomeUnknown
	}
	return v.fleet.SendOrder(ctx, o, fence)
}

// Poll implements drive.WorkerClient.
func (c *Fleet) Poll(ctx context.Context, l sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	if !wait.For(ctx, messageDelay) {
		return sched.Report{}, sched.OutcomeUnknown
	}
	end := time.Now().Add(l.Wait)
	first := true
	for {
		c.mu.Lock()
		w := c.workers[l.ID]
		if w == nil || w.unreachable {
			c.mu.Unlock()
			wait.For(ctx, callTimeout)
			return sched.Report{}, sched.OutcomeUnknown
		}
		c.expireLease(w)
		if fence < w.fence {
			c.mu.Unlock()
			return sched.Report{}, sched.OutcomeFenced
		}
		w.fence = fence
		if first {
			w.renewLease(l.LeaseUntil)
			c.ackFinished(w, l)
			first = false
		}
		if len(w.finished) > 0 || !time.Now().Before(end) {
			rep := w.report()
			c.mu.Unlock()
			wait.For(ctx, messageDelay)
			return rep, sched.OutcomeDone
		}
		woken := w.changed
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

// ackFinished takes note of the ends that a poll acknowledges.
func (c *Fleet) ackFinished(w *worker, l sched.PollRequest) {
	if l.StartedAt != 0 && l.StartedAt != w.StartedAt {
		return
	}
	var rest []sched.FinishedRun
	for _, f := range w.finished {
		if f.Seq > l.AckedSeq {
			rest = append(rest, f)
			continue
		}
		if f.End == sched.EndDone && f.Seq > w.staleSeq {
			c.ackedTasks[f.Task] = true
		}
	}
	w.finished = rest
}

func (w *worker) report() sched.Report {
	rep := sched.Report{StartedAt: w.StartedAt, Clock: w.clock(), Finished: append([]sched.FinishedRun(nil), w.finished...)}
	for _, r := range w.runs {
		rep.Running = append(rep.Running, sched.RunStatus{Task: r.task, Run: r.number, Progress: 50})
	}
	return rep
}

// SendOrder implements drive.WorkerClient.
func (c *Fleet) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if !wait.For(ctx, messageDelay) {
		return sched.OutcomeUnknown
	}
	c.mu.Lock()
	w := c.workers[o.Incarnation.ID]
	if w == nil || w.unreachable {
		c.mu.Unlock()
		wait.For(ctx, callTimeout)
		return sched.OutcomeUnknown
	}
	if c.rng.Float64() < c.delayedShare {
		after := 2*time.Second + time.Duration(c.rng.Int64N(int64(10*time.Second)))
		born := w.StartedAt
		time.AfterFunc(after, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if w.StartedAt == born {
				c.executeOrder(w, o, fence)
			}
		})
		c.mu.Unlock()
		wait.For(ctx, callTimeout)
		return sched.OutcomeUnknown
	}
	out := c.executeOrder(w, o, fence)
	c.mu.Unlock()
	wait.For(ctx, messageDelay)
	return out
}

func (c *Fleet) executeOrder(w *worker, o sched.Order, fence int64) sched.Outcome {
	c.expireLease(w)
	if fence < w.fence {
		return sched.OutcomeFenced
	}
	w.fence = fence
	name := o.Task.String()
	r := w.runs[name]
	switch o.Verb {
	case sched.VerbStop:
		w.newestRun[name] = max(w.newestRun[name], o.Run)
		if r != nil && r.number <= o.Run {
			c.endRun(w, r, sched.EndStopped)
		}
		return sched.OutcomeDone
	case sched.VerbThrottle:
		return sched.OutcomeDone
	}
	if r != nil && r.number == o.Run {
		return sched.OutcomeDone
	}
	if o.Run <= w.newestRun[name] || r != nil {
		return sched.OutcomeRunEnded
	}
	if w.clock() > o.LeaseUntil {
		return sched.OutcomeExpired
	}
	w.renewLease(o.LeaseUntil)
	w.newestRun[name] = o.Run
	c.startRun(w, name, o.Run)
	return sched.OutcomeDone
}

func (c *Fleet) startRun(w *worker, name string, number int64) {
	c.checkStart(w, name, number)
	c.starts[name]++
	d, how := c.workload(name)
	r := &run{task: name, number: number, end: how}
	r.timer = time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if w.runs[name] == r {
			c.expireLease(w)
		}
		if w.runs[name] == r {
			c.endRun(w, r, how)
		}
	})
	w.runs[name] = r
	w.notify()
}

// checkStart notes a start that must not be.
func (c *Fleet) checkStart(w *worker, name string, number int64) {
	if c.ackedTasks[name] {
		c.violations = append(c.violations, fmt.Sprintf("%s run %d on %s: its success was acknowledged before", name, number, w.ID))
	}
	for _, o := range c.workers {
		c.expireLease(o)
		if r := o.runs[name]; r != nil {
			c.violations = append(c.violations, fmt.Sprintf("%s runs twice: %d on %s and %d on %s", name, r.number, o.ID, number, w.ID))
		}
	}
}

// RunningCount returns how many tasks run.
func (c *Fleet) RunningCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.workers {
		n += len(w.runs)
	}
	return n
}

// ExpiredRuns returns how many runs have ended with a worker's lease.
func (c *Fleet) ExpiredRuns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		c.expireLease(w)
	}
	return c.expiredRuns
}

// SetWorkload changes how long tasks run and how they end, from the next start on.
func (c *Fleet) SetWorkload(work func(task string) (time.Duration, sched.End)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workload = work
}
