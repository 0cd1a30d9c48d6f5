package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// harness drives a core and plays its workers.
type harness struct {
	t    *testing.T
	core *sched.Core
	now  time.Time
}

const (
	// lease is the lease of workers.
	lease = 5 * time.Second
	// maxUnconfirmed is how long a holder acts without a confirmation.
	maxUnconfirmed = 3 * time.Second
	// formerLeasesEnd is how long after a change of holder all leases of the former holder have expired: a lease by
	// a clock that is 2 % slow, and the time that a worker takes to notice the expiry.
	formerLeasesEnd = lease*100/98 + 100*time.Millisecond
)

// epoch returns the time at which the tests begin.
func epoch() time.Time { return time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC) }

// newHarness returns the harness of a holder's term with n workers of 16 cores that haven't been polled yet.
func newHarness(t *testing.T, term int64, n int) *harness {
	t.Helper()
	b := &harness{t: t, now: epoch()}
	b.core = sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: maxUnconfirmed, Term: term}, b.now)
	b.core.UpdateDirectory(b.now, members(n))
	return b
}

// members returns n workers, each with its id as its only label.
func members(n int) []sched.Member {
	var all []sched.Member
	for i := range n {
		all = append(all, sched.Member{
			Incarnation: sched.Incarnation{ID: fmt.Sprintf("w%d", i), StartedAt: 1}, Service: "s", Addr: fmt.Sprintf("h%d:1", i),
			Zone: "z", Rack: "r", Labels: []string{fmt.Sprintf("w%d", i)}, Size: wire.Size{CPU: 16000, Mem: 64000},
		})
	}
	return all
}

// openWorkers marks all workers as tracked and polls them, so that tasks may be placed on them.
func (b *harness) openWorkers() *harness {
	b.core.MarkTracked(b.core.TrackedWorkers())
	for _, m := range b.core.TrackedWorkers() {
		b.poll(m.ID, sched.Report{})
	}
	return b
}

// advance lets time pass, after which the store confirms the holder again.
func (b *harness) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.core.ConfirmHolder(b.now)
}

// poll lets a worker answer a poll with a report, and sends the next poll. A report that shows a restart is repeated for a poll
// with the raised fencing token.
func (b *harness) poll(id string, rep sched.Report) {
	b.t.Helper()
	if rep.StartedAt == 0 {
		rep.StartedAt = 1
	}
	req, _ := b.core.NextPoll(b.now, id)
	for {
		rep.Clock = b.now.Sub(epoch())
		sent := b.now
		b.advance(time.Millisecond)
		b.core.HandleReport(sent, b.now, id, rep)
		next, _ := b.core.NextPoll(b.now, id)
		if next.Fence == req.Fence {
			return
		}
		req = next
	}
}

// list applies the directory entry of an incarnation of a worker, which says the same as that of the first one.
func (b *harness) list(id string, startedAt int64) {
	for _, m := range members(10) {
		if m.ID == id {
			m.StartedAt = startedAt
			b.core.UpdateMembers(b.now, []sched.Member{m}, nil)
		}
	}
}

// planOrders plans, lets the workers carry out all orders, and returns those of one verb.
func (b *harness) planOrders(v sched.Verb) []sched.Order {
	b.t.Helper()
	b.advance(time.Millisecond)
	var got []sched.Order
	for _, o := range b.core.Plan(b.now) {
		if o.Verb == v {
			got = append(got, o)
		}
		b.core.HandleOutcome(b.now, o, sched.OutcomeDone)
	}
	b.advance(time.Millisecond)
	return got
}

// storeChanges stores all changes and returns the records by job.
func (b *harness) storeChanges() map[string][]byte {
	b.t.Helper()
	batch, err := b.core.CollectChanges(1000)
	if err != nil {
		b.t.Fatal(err)
	}
	b.core.MarkCommitted(batch)
	all := map[string][]byte{}
	for _, r := range batch.Records {
		all[r.ID] = r.Data
	}
	return all
}

// oneTaskJob returns a job with one step of one task, altered by change if that isn't nil.
func oneTaskJob(id string, change func(*sched.Job)) *sched.Job {
	j := &sched.Job{ID: id, Queue: "q", Service: "s", MaxAttempts: 2, AcceptedAt: epoch(),
		Steps: []sched.Step{{Count: 1, Size: wire.Size{CPU: 1000, Mem: 1000}, Estimate: time.Second}}}
	if change != nil {
		change(j)
	}
	return j
}

// checkState checks the state of a job as callers see it.
func (b *harness) checkState(id string, want sched.State) {
	b.t.Helper()
	if got, _ := b.core.JobState(id); got != want {
		b.t.Errorf("job %s is %q, want %q", id, got, want)
	}
}

// otherWorker returns the id of w0 or w1, whichever an order isn't for.
func otherWorker(o sched.Order) string {
	return map[string]string{"w0": "w1", "w1": "w0"}[o.Incarnation.ID]
}

// finishedRun returns the end of an order's run as its worker reports it.
func finishedRun(seq int64, o sched.Order, end sched.End) sched.FinishedRun {
	return sched.FinishedRun{Seq: seq, Task: o.Task.String(), Run: o.Run, End: end}
}

// runStatus returns an order's run as its worker reports it while it runs.
func runStatus(o sched.Order) sched.RunStatus {
	return sched.RunStatus{Task: o.Task.String(), Run: o.Run}
}

// Steps that depend on each other run one after the other, and a job is shown as completed only once that is stored.
func TestSteps(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) {
		j.Steps = append(j.Steps, sched.Step{Count: 2, Size: wire.Size{CPU: 1000}, DependsOn: []int{0}})
	}))
	b.checkState("j", sched.StateQueued)
	first := b.planOrders(sched.VerbStart)
	if len(first) != 1 {
		t.Fatalf("%d starts, want 1", len(first))
	}
	b.checkState("j", sched.StateRunning)
	b.poll(first[0].Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRun(1, first[0], sched.EndDone)}})
	second := b.planOrders(sched.VerbStart)
	if len(second) != 2 {
		t.Fatalf("%d starts of the second step, want 2", len(second))
	}
	for i, o := range second {
		b.poll(o.Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRun(int64(i+2), o, sched.EndDone)}})
	}
	b.checkState("j", sched.StateRunning)
	b.storeChanges()
	b.checkState("j", sched.StateCompleted)
}

// A task must not run twice at the same time. A poll that is sent before a start is answered may overtake the start on
// another connection. Its report then doesn't show the run although the start was answered. If the
// run is taken for ended, the task is placed a second time.
func TestPollOvertakesStart(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	orders := b.core.Plan(b.now)
	if len(orders) != 1 {
		t.Fatalf("%d orders, want 1", len(orders))
	}
	b.advance(time.Millisecond)
	sent := b.now
	b.core.NextPoll(sent, "w0")
	b.advance(time.Millisecond)
	b.core.HandleOutcome(b.now, orders[0], sched.OutcomeDone)
	b.advance(time.Millisecond)
	b.core.HandleReport(sent, b.now, "w0", sched.Report{StartedAt: 1, Clock: b.now.Sub(epoch())})
	if again := b.planOrders(sched.VerbStart); len(again) != 0 {
		t.Errorf("started the task again: %v", again)
	}
}

// A failed run must be counted once. If the holder stores the failure and ends before it acknowledges it
// to the worker, the worker reports the same end to the next holder. Counted a second time, it makes a job fail
// whose task failed only once.
func TestFailureCountedOnce(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	job := oneTaskJob("j", nil)
	b.core.AddJob(b.now, job)
	o := b.planOrders(sched.VerbStart)[0]
	end := finishedRun(1, o, sched.EndFailed)
	b.poll("w0", sched.Report{Finished: []sched.FinishedRun{end}})
	data := b.storeChanges()["j"]

	next := newHarness(t, 2, 1)
	if err := next.core.RestoreJob(next.now, "j", job, data); err != nil {
		t.Fatal(err)
	}
	next.openWorkers()
	next.poll("w0", sched.Report{Finished: []sched.FinishedRun{end}})
	next.storeChanges()
	if s, _ := next.core.JobState("j"); s.Final() {
		t.Errorf("job is %s after 1 failed run, want it to fail after 2", s)
	}
	retry := next.planOrders(sched.VerbStart)
	if len(retry) != 1 || retry[0].Run <= o.Run {
		t.Fatalf("retry %v after run %d, want one start with a higher run number", retry, o.Run)
	}
	next.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRun(2, retry[0], sched.EndFailed)}})
	next.storeChanges()
	next.checkState("j", sched.StateFailed)
}

// A job must not run more often than its queue allows. A task fails on two workers while the holder can't store anything.
// If the next holder hears of the newer failure first and takes the older one for counted, the task is started
// once more.
func TestFailuresInAnyOrder(t *testing.T) {
	b := newHarness(t, 2, 2)
	if err := b.core.RestoreJob(b.now, "j", oneTaskJob("j", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.MarkTracked(b.core.TrackedWorkers())
	b.poll("w0", sched.Report{Finished: []sched.FinishedRun{{Seq: 1, Task: "j.0.0.0", Run: 1_000_002, End: sched.EndFailed}}})
	b.poll("w1", sched.Report{Finished: []sched.FinishedRun{{Seq: 1, Task: "j.0.0.0", Run: 1_000_001, End: sched.EndFailed}}})
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v after two failed runs, want none", got)
	}
	b.storeChanges()
	b.checkState("j", sched.StateFailed)
}

// The run of a start that got no answer may begin seconds later. Until a stop for it is
// acknowledged and a later poll doesn't show it, the task must not be placed again.
func TestUnansweredStart(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.core.Plan(b.now)[0]
	b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
	b.advance(time.Millisecond)
	b.poll(o.Incarnation.ID, sched.Report{})
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Fatalf("started %v before the stop, want none", got)
	}
	b.advance(time.Second)
	if got := b.planOrders(sched.VerbStop); len(got) != 1 {
		t.Fatalf("%d stops, want 1", len(got))
	}
	b.poll(o.Incarnation.ID, sched.Report{})
	if got := b.planOrders(sched.VerbStart); len(got) != 1 || got[0].Run <= o.Run {
		t.Fatalf("started %v after the stop, want one start with a higher run number", got)
	}
}

// After a cancel, no task of the job is started and all its runs are stopped, also those whose start is still in
// flight.
func TestCancel(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.Steps[0].Count = 3 }))
	starts := b.planOrders(sched.VerbStart)
	b.advance(time.Second)
	b.core.CancelJob(b.now, "j")
	if got := b.planOrders(sched.VerbStop); len(got) != len(starts) {
		t.Errorf("%d stops, want %d", len(got), len(starts))
	}
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v after the cancel, want none", got)
	}
	b.storeChanges()
	b.checkState("j", sched.StateCancelled)
}

// No task is started on a worker that operators or the worker itself have closed for new tasks.
func TestNoStartOnClosedWorker(t *testing.T) {
	for _, tt := range []struct {
		name  string
		close func(b *harness, all []sched.Member)
	}{
		{"zone evacuated", func(b *harness, _ []sched.Member) { b.core.SetEvacuatedZones(map[string]bool{"z": true}) }},
		{"draining", func(b *harness, all []sched.Member) {
			all[0].Draining = true
			b.core.UpdateDirectory(b.now, all)
		}},
		{"not in the directory", func(b *harness, _ []sched.Member) { b.core.UpdateDirectory(b.now, nil) }},
		{"other service", func(b *harness, all []sched.Member) {
			all[0].Service = "other"
			b.core.UpdateDirectory(b.now, all)
		}},
		{"out of contact", func(b *harness, _ []sched.Member) { b.core.PollFailed(b.now, "w0", 1) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 1).openWorkers()
			tt.close(b, members(1))
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			if got := b.planOrders(sched.VerbStart); len(got) != 0 {
				t.Errorf("started %v, want none", got)
			}
		})
	}
}

// A job that can't be on time any more must not make another one late. Two jobs wait for the only place. The one with the
// earlier deadline still needs two steps of 2 s and has 3 s left. Placed first, it would be late anyway, and the other
// would be late too.
func TestLateJobWaits(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	steps := func(n int) func(*sched.Job) {
		return func(j *sched.Job) {
			j.DeadlineBase = 3 * time.Second
			for i := range n {
				s := sched.Step{Count: 1, Size: wire.Size{CPU: 16000}, Estimate: 2 * time.Second}
				if i > 0 {
					s.DependsOn = []int{i - 1}
				}
				j.Steps = append(j.Steps[:i], s)
			}
		}
	}
	b.core.AddJob(b.now, oneTaskJob("late", steps(2)))
	b.advance(500 * time.Millisecond)
	b.core.AddJob(b.now, oneTaskJob("on-time", func(j *sched.Job) { steps(1)(j); j.AcceptedAt = b.now }))
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 || got[0].Task.Job != "on-time" {
		t.Errorf("started %v, want the job that can be on time", got)
	}
}
