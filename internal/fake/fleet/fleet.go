package fleet

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Fleet is a set of workers. Its zero value is empty.
type Fleet struct {
	mu      sync.Mutex         // guards the fields below and the workers' state
	workers map[string]*worker // by ID
	// workload returns how long a task runs and how it ends.
	workload func(task string) (time.Duration, sched.End)
	// mayRun returns whether a worker may run a task; nil: each may.
	mayRun       func(task string, w sched.Member) bool
	rng          *rand.Rand
	delayedShare float64          // share of orders that get no answer and are executed later
	delayedPolls float64          // share of polls that get no answer and are executed later
	violations   []string         // broken invariants, as text
	ackedTasks   map[string]bool  // tasks whose success has been acknowledged or counts as such, see noteListed
	starts       map[string]int   // number of starts by task
	newestRuns   map[string]int64 // number of the run that was started last, by task
	expiredRuns  int              // runs ended by lease expiry
	calm         bool             // no disruption is near, so that a success counts as acknowledged listedGrace after it was listed
	lateAcross   bool             // late orders are executed by later incarnations, too
	maxLease     time.Duration    // longest lease that workers grant
}

// worker is one worker in its present incarnation.
type worker struct {
	sched.Member
	clockZero   time.Time           // when the worker's clock showed 0
	fence       int64               // highest fencing token received
	leaseUntil  time.Duration       // lease expiry on the worker's clock
	runs        map[string]*run     // present runs by task
	finished    []sched.FinishedRun // not yet acknowledged
	lastSeq     int64               // sequence number of the last finished run
	staleSeq    int64               // runs finished up to this number precede a lease expiry: acknowledging them proves no success
	newestRun   map[string]int64    // highest run number started or stopped, by task
	starts      int                 // by the present incarnation
	unreachable bool                // no call reaches the worker, but its runs continue
	down        bool                // killed and not back yet
	changed     chan struct{}       // closed at the next change of the worker's state
}

// run is one run of a task.
type run struct {
	task   string
	number int64       // number of the run among the task's runs
	end    sched.End   // how it ends unless it is ended earlier
	timer  *time.Timer // ends the run

	startedAt time.Time
	duration  time.Duration // time that its work takes
}

// New returns a fleet of n workers of the given size. workload returns how long a task runs and how it ends.
func New(n int, size wire.Size, rng *rand.Rand, workload func(task string) (time.Duration, sched.End)) *Fleet {
	f := &Fleet{maxLease: MaxLease, workers: map[string]*worker{}, workload: workload, rng: rng, ackedTasks: map[string]bool{}, starts: map[string]int{}, newestRuns: map[string]int64{}}
	for i := range n {
		m := sched.Member{
			Incarnation: sched.Incarnation{ID: fmt.Sprintf("w%d", i), StartedAt: 1}, Service: "s", Addr: fmt.Sprintf("w%d", i),
			Zone: fmt.Sprintf("z%d", i%3), Rack: fmt.Sprintf("r%d", i/4), Size: size,
		}
		f.workers[m.ID] = &worker{Member: m, clockZero: time.Now(), runs: map[string]*run{}, newestRun: map[string]int64{}, changed: make(chan struct{})}
	}
	return f
}

// Members returns the directory entries of the workers, ordered by ID.
func (f *Fleet) Members() []sched.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []sched.Member
	for _, w := range f.workers {
		all = append(all, w.Member)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].ID < all[k].ID })
	return all
}

// SetDelayedShare sets the share of orders that get no answer and are executed 2 to 12 s later.
func (f *Fleet) SetDelayedShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayedShare = share
}

// SetDelayedPolls sets the share of polls that get no answer and are executed 1.5 to 4 s later.
func (f *Fleet) SetDelayedPolls(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayedPolls = share
}

// SetMaxLease sets the longest lease that workers grant.
func (f *Fleet) SetMaxLease(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxLease = d
}

// MaxLease returns it.
func (f *Fleet) MaxLease() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxLease
}

// SetLateAcrossRestarts sets whether orders that are executed late are executed by the incarnation that is present then, as
// polls are. Otherwise they are dropped once the worker has restarted.
func (f *Fleet) SetLateAcrossRestarts(across bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateAcross = across
}

// SetCalm says whether no disruption is near. While calm, a success that a worker has listed counts as acknowledged
// listedGrace later, also if the caller gave up the answer.
func (f *Fleet) SetCalm(calm bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calm = calm
}

// SetUnreachable makes a worker unreachable for all calls, or reachable again. Its runs continue.
func (f *Fleet) SetUnreachable(id string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.unreachable = unreachable
	w.down = w.down && unreachable
	w.notify()
}

// Crash ends a worker's incarnation and its runs, and starts the next incarnation at once.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	for _, r := range w.runs {
		r.timer.Stop()
	}
	w.StartedAt++
	w.clockZero = time.Now()
	w.fence, w.leaseUntil, w.lastSeq, w.staleSeq, w.starts = 0, 0, 0, 0, 0
	w.runs, w.newestRun, w.finished = map[string]*run{}, map[string]int64{}, nil
	w.notify()
}

// Kill crashes a worker, which has no runs and answers no call until SetUnreachable makes it reachable.
func (f *Fleet) Kill(id string) {
	f.Crash(id)
	f.SetUnreachable(id, true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].down = true
}

// SetKind sets the labels and the size of a worker's next incarnation. It is called while the worker is down.
func (f *Fleet) SetKind(id string, size wire.Size, labels ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].Size, f.workers[id].Labels = size, labels
}

// StartsOn returns the number of starts that the present incarnations of workers have executed.
func (f *Fleet) StartsOn(ids ...string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, id := range ids {
		n += f.workers[id].starts
	}
	return n
}

// SetMayRun sets which workers may run a task. A start on another one that is meant for its present incarnation is a violation.
func (f *Fleet) SetMayRun(mayRun func(task string, w sched.Member) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mayRun = mayRun
}

// Clock returns the time on a worker's clock.
func (f *Fleet) Clock(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].clock()
}

// Violations returns the broken invariants: a task with two runs at a time, or one started again after its success
// was acknowledged or, while calm, had been listed for listedGrace, or one started on a worker that may not run it.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Starts returns how often each task was started.
func (f *Fleet) Starts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]int{}
	for t, n := range f.starts {
		all[t] = n
	}
	return all
}

// notify wakes the polls that wait for a change of the worker's state.
func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// clock returns the time on the worker's own clock, which runs as slowly as workers' clocks may.
func (w *worker) clock() time.Duration { return time.Since(w.clockZero) * 98 / 100 }

// expireLease ends all runs of a worker whose lease has expired.
func (f *Fleet) expireLease(w *worker) {
	if len(w.runs) == 0 || w.clock() <= w.leaseUntil {
		return
	}
	for _, r := range w.runs {
		f.expiredRuns++
		f.endRun(w, r, sched.EndLeaseExpired)
	}
}

// endRun ends a run and reports it as finished.
func (f *Fleet) endRun(w *worker, r *run, end sched.End) {
	r.timer.Stop()
	delete(w.runs, r.task)
	w.lastSeq++
	w.finished = append(w.finished, sched.FinishedRun{Seq: w.lastSeq, Task: r.task, Run: r.number, End: end})
	w.notify()
}

// renewLease extends a worker's lease, by the longest lease at most. If it had expired, the runs finished so far become stale.
func (f *Fleet) renewLease(w *worker, until time.Duration) {
	if w.clock() > w.leaseUntil {
		w.staleSeq = w.lastSeq
	}
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+f.maxLease))
}

const (
	// MaxLease is the longest lease that workers grant unless SetMaxLease says otherwise.
	MaxLease = 6 * time.Second
	// MaxStopTime is the longest time that a worker may take to stop a run.
	MaxStopTime = 200 * time.Millisecond
	// messageDelay is the one-way delay of a message.
	messageDelay = time.Millisecond
	// listedGrace is how long after a worker has listed a success it counts as acknowledged.
	listedGrace = 100 * time.Millisecond
	// callTimeout is how long a caller waits for an answer that doesn't come.
	callTimeout = 600 * time.Millisecond
)

// Client is one host's client of the workers. It implements drive.WorkerClient.
type Client struct {
	fleet *Fleet
	// unreachable reports whether the host cannot reach a worker.
	unreachable func(worker sched.Member) bool
}

// Client returns a host's client; unreachable reports whether the host cannot reach a worker.
func (f *Fleet) Client(unreachable func(worker sched.Member) bool) *Client {
	return &Client{f, unreachable}
}

// cannotReach reports whether a worker does not exist or cannot be reached by the host.
func (c *Client) cannotReach(id string) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	w := c.fleet.workers[id]
	return w == nil || c.unreachable(w.Member)
}

// Poll implements drive.WorkerClient. A worker that becomes unreachable during the poll gives no answer either.
func (c *Client) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	if c.cannotReach(req.ID) {
		wait.For(ctx, callTimeout)
		return sched.Report{}, sched.OutcomeUnknown
	}
	rep, out := c.fleet.Poll(ctx, req, fence)
	if c.cannotReach(req.ID) {
		wait.For(ctx, callTimeout)
		return sched.Report{}, sched.OutcomeUnknown
	}
	return rep, out
}

// SendOrder implements drive.WorkerClient.
func (c *Client) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if c.cannotReach(o.Incarnation.ID) {
		wait.For(ctx, callTimeout)
		return sched.OutcomeUnknown
	}
	return c.fleet.SendOrder(ctx, o, fence)
}

// Poll implements drive.WorkerClient for a host that reaches all workers. It renews the lease, drops the finished
// runs that the poll acknowledges, and waits until there are others or the poll's wait has passed.
func (f *Fleet) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	if !wait.For(ctx, messageDelay) {
		return sched.Report{}, sched.OutcomeUnknown
	}
	deadline := time.Now().Add(req.Wait)
	first := true
	var startedAt int64 // of the incarnation that carries out the poll
	for {
		f.mu.Lock()
		w := f.workers[req.ID]
		if w == nil || w.unreachable {
			f.mu.Unlock()
			wait.For(ctx, callTimeout)
			return sched.Report{}, sched.OutcomeUnknown
		}
		if !first && w.StartedAt != startedAt {
			f.mu.Unlock()
			return sched.Report{}, sched.OutcomeUnknown
		}
		startedAt = w.StartedAt
		if first && f.rng.Float64() < f.delayedPolls {
			f.delayPoll(req, fence)
			f.mu.Unlock()
			wait.For(ctx, req.Wait+req.ContactSlack)
			return sched.Report{}, sched.OutcomeUnknown
		}
		f.expireLease(w)
		if first && fence < w.fence {
			f.mu.Unlock()
			return sched.Report{}, sched.OutcomeFenced
		}
		if first {
			w.fence = fence
			f.renewLease(w, req.LeaseUntil)
			f.ackFinished(w, req)
			first = false
		}
		if len(w.finished) > 0 || !time.Now().Before(deadline) {
			rep := w.report()
			f.noteListed(ctx, w)
			f.mu.Unlock()
			wait.For(ctx, messageDelay)
			return rep, sched.OutcomeDone
		}
		changed := w.changed
		f.mu.Unlock()
		t := time.NewTimer(time.Until(deadline))
		select {
		case <-ctx.Done():
			t.Stop()
			return sched.Report{}, sched.OutcomeUnknown
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// delayPoll lets a poll be executed later, by the incarnation that is present then.
func (f *Fleet) delayPoll(req sched.PollRequest, fence int64) {
	delay := 1500*time.Millisecond + time.Duration(f.rng.Int64N(int64(2500*time.Millisecond)))
	time.AfterFunc(delay, func() { f.ExecutePoll(req, fence) })
}

// ExecutePoll executes a poll that has reached its worker before. The incarnation that is present executes it, also while the
// worker is unreachable.
func (f *Fleet) ExecutePoll(req sched.PollRequest, fence int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[req.ID]
	f.expireLease(w)
	if fence >= w.fence {
		w.fence = fence
		f.renewLease(w, req.LeaseUntil)
		f.ackFinished(w, req)
	}
}

// ExecuteOrder does the same for an order.
func (f *Fleet) ExecuteOrder(o sched.Order, fence int64) sched.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executeOrder(f.workers[o.Incarnation.ID], o, fence)
}

// ackFinished drops the finished runs that a poll acknowledges and records which tasks have succeeded.
// Like the rest of the poll, this applies to the present incarnation: a call names the worker by its id only.
func (f *Fleet) ackFinished(w *worker, req sched.PollRequest) {
	var unacked []sched.FinishedRun
	for _, fin := range w.finished {
		if fin.Seq > req.AckedSeq {
			unacked = append(unacked, fin)
			continue
		}
		if fin.End == sched.EndDone && fin.Seq > w.staleSeq {
			f.ackSuccess(w, fin)
		}
	}
	w.finished = unacked
}

// ackSuccess records that a task has succeeded. It mustn't have been started again since.
func (f *Fleet) ackSuccess(w *worker, fin sched.FinishedRun) {
	f.ackedTasks[fin.Task] = true
	if newest := f.newestRuns[fin.Task]; newest != fin.Run {
		f.violations = append(f.violations, fmt.Sprintf("%s run %d on %s: its success was acknowledged after the start of run %d", fin.Task, fin.Run, w.ID, newest))
	}
}

// noteListed lets the successes that a worker's answer lists count as acknowledged after listedGrace while calm. They
// don't if the lease expires, the worker is lost or the caller ends before.
func (f *Fleet) noteListed(ctx context.Context, w *worker) {
	startedAt, listed := w.StartedAt, append([]sched.FinishedRun(nil), w.finished...)
	if len(listed) == 0 || !f.calm {
		return
	}
	time.AfterFunc(listedGrace, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.calm || ctx.Err() != nil || w.unreachable || w.StartedAt != startedAt || w.clock() > w.leaseUntil {
			return
		}
		for _, fin := range listed {
			if fin.End == sched.EndDone && fin.Seq > w.staleSeq {
				f.ackedTasks[fin.Task] = true
			}
		}
	})
}

// runCPU is the CPU that each run uses, in millicores.
const runCPU = 1000

// progress returns how much of the run's work is done, in whole percents.
func (r *run) progress() int {
	return int(100 * time.Since(r.startedAt) / max(r.duration, 1))
}

// report returns the worker's runs and its unacknowledged finished runs.
func (w *worker) report() sched.Report {
	rep := sched.Report{StartedAt: w.StartedAt, Clock: w.clock(), Finished: append([]sched.FinishedRun(nil), w.finished...)}
	for _, r := range w.runs {
		rep.Running = append(rep.Running, sched.RunStatus{Task: r.task, Run: r.number, Progress: r.progress(), CPUUsage: runCPU})
	}
	return rep
}

// SendOrder implements drive.WorkerClient for a host that reaches all workers. See also
// SetLateAcrossRestarts.
func (f *Fleet) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if !wait.For(ctx, messageDelay) {
		return sched.OutcomeUnknown
	}
	f.mu.Lock()
	w := f.workers[o.Incarnation.ID]
	if w == nil || w.unreachable {
		f.mu.Unlock()
		wait.For(ctx, callTimeout)
		return sched.OutcomeUnknown
	}
	if f.rng.Float64() < f.delayedShare {
		delay := 2*time.Second + time.Duration(f.rng.Int64N(int64(10*time.Second)))
		startedAt := w.StartedAt
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.StartedAt == startedAt || f.lateAcross && !w.down {
				f.executeOrder(w, o, fence)
			}
		})
		f.mu.Unlock()
		wait.For(ctx, callTimeout)
		return sched.OutcomeUnknown
	}
	out := f.executeOrder(w, o, fence)
	if out == sched.OutcomeDone && w.clock() < o.ClockFloor {
		out = sched.OutcomeDoneByLater
	}
	f.mu.Unlock()
	wait.For(ctx, messageDelay)
	return out
}

// executeOrder executes an order unless a higher fencing token is known. A start is executed only if its run is
// newer than all known ones, the task has no run here and the order's lease has not expired.
func (f *Fleet) executeOrder(w *worker, o sched.Order, fence int64) sched.Outcome {
	f.expireLease(w)
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
			f.endRun(w, r, sched.EndStopped)
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
	if f.mayRun != nil && o.Incarnation == w.Incarnation && !f.mayRun(name, w.Member) {
		f.violations = append(f.violations, fmt.Sprintf("%s run %d on %s, which may not run it: labels %v, %+v", name, o.Run, w.ID, w.Labels, w.Size))
	}
	f.renewLease(w, o.LeaseUntil)
	w.newestRun[name] = o.Run
	f.startRun(w, name, o.Run)
	return sched.OutcomeDone
}

// startRun starts a run that ends as the workload says, or with the lease if that expires first.
func (f *Fleet) startRun(w *worker, name string, number int64) {
	f.checkStart(w, name, number)
	f.starts[name]++
	w.starts++
	f.newestRuns[name] = number
	d, end := f.workload(name)
	r := &run{task: name, number: number, end: end, startedAt: time.Now(), duration: d}
	r.timer = time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.runs[name] == r {
			f.expireLease(w)
		}
		if w.runs[name] == r {
			f.endRun(w, r, end)
		}
	})
	w.runs[name] = r
	w.notify()
}

// checkStart records a violation if the task's success has been acknowledged or the task runs on any worker.
func (f *Fleet) checkStart(w *worker, name string, number int64) {
	if f.ackedTasks[name] {
		f.violations = append(f.violations, fmt.Sprintf("%s run %d on %s: its success was acknowledged or listed before", name, number, w.ID))
	}
	for _, o := range f.workers {
		f.expireLease(o)
		if r := o.runs[name]; r != nil {
			f.violations = append(f.violations, fmt.Sprintf("%s runs twice: %d on %s and %d on %s", name, r.number, o.ID, number, w.ID))
		}
	}
}

// RunningCount returns the number of runs on all workers.
func (f *Fleet) RunningCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.runs)
	}
	return n
}

// RunningTasks returns the tasks that run, once for each run.
func (f *Fleet) RunningTasks() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tasks []string
	for _, w := range f.workers {
		f.expireLease(w)
		for name := range w.runs {
			tasks = append(tasks, name)
		}
	}
	return tasks
}

// TasksOn returns the tasks that run on a worker.
func (f *Fleet) TasksOn(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	f.expireLease(w)
	return slices.Sorted(maps.Keys(w.runs))
}

// ExpiredRuns returns the number of runs ended by lease expiry.
func (f *Fleet) ExpiredRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		f.expireLease(w)
	}
	return f.expiredRuns
}

// SetWorkload changes how long tasks run and how they end, from the next start on.
func (f *Fleet) SetWorkload(workload func(task string) (time.Duration, sched.End)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workload = workload
}
