package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A worker is cut off and runs on. Its tasks are placed anew only when its lease has surely
// run out, also by a clock that is 2 % slow, and what it tells of them afterwards counts no more.
func TestLeaseExpiry(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	b.poll("w0", sched.Report{})
	b.poll("w1", sched.Report{})
	o := b.planOrders(sched.VerbStart)[0]
	granted := b.now
	other := otherWorker(o)
	b.core.PollFailed(b.now, o.Incarnation.ID, 1)
	b.poll(other, sched.Report{})
	for b.now.Sub(granted) < lease*100/98 {
		b.poll(other, sched.Report{})
		if got := b.planOrders(sched.VerbStart); len(got) != 0 {
			t.Fatalf("placed again %s after the lease was granted for %s", b.now.Sub(granted), lease)
		}
		b.advance(100 * time.Millisecond)
	}
	b.advance(formerLeasesEnd - lease) // what a former holder may have granted has to end too
	again := b.planOrders(sched.VerbStart)
	if len(again) != 1 || again[0].Incarnation.ID != other {
		t.Fatalf("after the lapse: %v", again)
	}
	b.poll(o.Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRow(1, o, sched.EndDone)}})
	b.storeChanges()
	b.checkState("j", sched.StateRunning)
}

// A worker loses power. Until a poll of it fails, it still gets starts, each with a new lease: its feeds
// waited until the last of these leases must have run out, and stood still for longer than operators
// allow. What the polls have granted bounds the wait, also when the store confirms the holder late.
func TestStartsDontExtendExpiry(t *testing.T) {
	for _, age := range []time.Duration{0, 240 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run(age.String(), func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("feed", func(j *sched.Job) { j.Steps[0].LongRunning = true }))
			o := b.planOrders(sched.VerbStart)[0]
			b.poll(o.Incarnation.ID, sched.Report{Running: []sched.RunStatus{runningRow(o)}})
			b.now = b.now.Add(age)
			b.core.NextPoll(b.now, o.Incarnation.ID)
			lost := b.now
			b.advance(2050 * time.Millisecond)
			b.now = b.now.Add(age)
			b.core.AddJob(b.now, oneTaskJob("book", func(j *sched.Job) { j.Steps[0].RequiredLabel = o.Incarnation.ID }))
			for _, s := range b.core.Plan(b.now) {
				b.core.HandleOutcome(b.now, s, sched.OutcomeUnknown)
			}
			b.core.PollFailed(b.now, o.Incarnation.ID, 1)
			b.advance(formerLeasesEnd + 100*time.Millisecond - b.now.Sub(lost))
			b.poll(otherWorker(o), sched.Report{})
			for _, got := range b.planOrders(sched.VerbStart) {
				if got.Task.Job == "feed" {
					return
				}
			}
			t.Error("the feed isn't started once the lease of before the loss has run out")
		})
	}
}

// The store takes the holder's key away, another holder takes over and renews a worker's lease; the former one
// doesn't reach that worker and, confirmed a moment ago, takes its runs for lapsed. A book is printed twice. A lease
// has lapsed only once the store has confirmed the holder after it ran out: nobody else can have renewed it then.
func TestExpiryNeedsConfirmation(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.planOrders(sched.VerbStart)[0]
	b.core.PollFailed(b.now, o.Incarnation.ID, 1)
	b.advance(formerLeasesEnd - 500*time.Millisecond)
	b.poll(otherWorker(o), sched.Report{})
	b.now = b.now.Add(time.Second)
	if got := b.core.Plan(b.now); len(got) != 0 {
		t.Errorf("ordered %v by a confirmation of before the lapse", got)
	}
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("started %v once confirmed, want the task", got)
	}
}

// A holder takes over while a worker is out of reach. A task of before may run there, so it
// waits until the worker is reached or every lease of then has ended; new jobs don't wait.
func TestTakeoverWaitsForUnreachedWorker(t *testing.T) {
	b := newHarness(t, 2, 2)
	if err := b.core.RestoreJob(b.now, "old", oneTaskJob("old", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.InheritWorkers(b.now, members(2))
	b.poll("w0", sched.Report{})
	b.core.AddJob(b.now, oneTaskJob("new", nil))
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 || got[0].Task.Job != "new" {
		t.Fatalf("started %v, want the new job only", got)
	}
	b.poll("w1", sched.Report{Running: []sched.RunStatus{{Task: "old.0.0.0", Run: 1_000_001}}})
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Fatalf("started %v, though the task runs", got)
	}
	b.poll("w1", sched.Report{Finished: []sched.FinishedRun{{Seq: 1, Task: "old.0.0.0", Run: 1_000_001, End: sched.EndDone}}})
	b.storeChanges()
	b.checkState("old", sched.StateCompleted)
}

// A holder takes over and polls a worker that runs a task and has as many ends to tell as a report takes. Its
// running tasks were passed over, and as it had been reached, the task was started on another worker too.
func TestFullReportShowsRuns(t *testing.T) {
	b := newHarness(t, 2, 2)
	if err := b.core.RestoreJob(b.now, "old", oneTaskJob("old", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.InheritWorkers(b.now, members(2))
	b.poll("w0", sched.Report{})
	rep := sched.Report{Running: []sched.RunStatus{{Task: "old.0.0.0", Run: 1_000_001}}}
	for i := range int64(500) {
		rep.Finished = append(rep.Finished, sched.FinishedRun{Seq: i + 1, Task: "gone.0.0.0", Run: 1, End: sched.EndFailed})
	}
	b.poll("w1", rep)
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v, though the task runs", got)
	}
}

// The same, but the task has ended there: its end comes with a later report. Started meanwhile, it would run again
// after its success.
func TestFullReportDelaysStart(t *testing.T) {
	b := newHarness(t, 2, 2)
	if err := b.core.RestoreJob(b.now, "old", oneTaskJob("old", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.InheritWorkers(b.now, members(2))
	b.poll("w0", sched.Report{})
	rep := sched.Report{}
	for i := range int64(500) {
		rep.Finished = append(rep.Finished, sched.FinishedRun{Seq: i + 1, Task: "gone.0.0.0", Run: 1, End: sched.EndFailed})
	}
	b.poll("w1", rep)
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v with ends still to come", got)
	}
	b.poll("w1", sched.Report{Finished: []sched.FinishedRun{{Seq: 501, Task: "old.0.0.0", Run: 1_000_001, End: sched.EndDone}}})
	b.storeChanges()
	b.checkState("old", sched.StateCompleted)
}

// A feed's run fails on a worker that the new holder reaches, while another worker is out of reach
// since before the change of holder. The holder has seen the run, so nothing else can run this
// task: it is started again at once. It used to wait with all that was taken over.
func TestSeenRunIsRestartedAtOnce(t *testing.T) {
	b := newHarness(t, 2, 2)
	if err := b.core.RestoreJob(b.now, "old", oneTaskJob("old", func(j *sched.Job) { j.Steps[0].LongRunning = true }), nil); err != nil {
		t.Fatal(err)
	}
	b.core.InheritWorkers(b.now, members(2))
	b.advance(maxUnconfirmed)
	b.poll("w0", sched.Report{Running: []sched.RunStatus{{Task: "old.0.0.0", Run: 1_000_001}}})
	b.poll("w0", sched.Report{Finished: []sched.FinishedRun{{Seq: 1, Task: "old.0.0.0", Run: 1_000_001, End: sched.EndFailed}}})
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("started %v after its run had ended, want the task once", got)
	}
}

// The store is lost to a holder, and another takes over; for some seconds the former one still acts. Both see a feed run
// on a worker, which starts anew, and each starts the feed on a worker that the other doesn't
// reach: it runs twice. What a new holder sees is the whole truth only once the former one has ceased to act.
func TestSeenRunWithTwoHolders(t *testing.T) {
	const task, run = "old.0.0.0", 1_000_001
	take := func(term int64, at time.Time) *harness {
		b := &harness{t: t, now: at}
		b.core = sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: maxUnconfirmed, Term: term}, at)
		b.core.ConfirmHolder(at)
		if err := b.core.RestoreJob(at, "old", oneTaskJob("old", func(j *sched.Job) { j.Steps[0].LongRunning = true }), nil); err != nil {
			t.Fatal(err)
		}
		b.core.InheritWorkers(at, members(3))
		b.core.UpdateDirectory(at, members(3))
		return b
	}
	former, next := take(1, epoch()), take(2, epoch().Add(1300*time.Millisecond))
	former.poll("w1", sched.Report{})
	next.poll("w2", sched.Report{})
	for _, b := range []*harness{former, next} {
		b.poll("w0", sched.Report{Running: []sched.RunStatus{{Task: task, Run: run}}})
	}
	started := 0
	for _, b := range []*harness{former, next} {
		b.poll("w0", sched.Report{StartedAt: 2})
		started += len(b.planOrders(sched.VerbStart))
	}
	if started > 1 {
		t.Errorf("%d holders start the task", started)
	}
}

// A worker has entered the directory and can't be reached yet as the holder changes. No former
// holder can have given it anything, as its record doesn't name it: nothing waits for it.
func TestNewWorkerDelaysNothing(t *testing.T) {
	b := &harness{t: t, now: epoch()}
	b.core = sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: maxUnconfirmed, Term: 2}, b.now)
	if err := b.core.RestoreJob(b.now, "old", oneTaskJob("old", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.InheritWorkers(b.now, members(1))
	b.core.UpdateDirectory(b.now, members(2))
	b.poll("w0", sched.Report{})
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("started %v, want the task taken over", got)
	}
}

// A worker has been out of reach for so long that its lease has lapsed, and then the holder changes. What
// ran there has ended, so the successor has nothing to wait for there. It isn't told of that worker.
func TestExpiredWorkerIsNotTracked(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.PollFailed(b.now, "w1", 1)
	b.advance(formerLeasesEnd + lease)
	b.planOrders(sched.VerbStart)
	if got := b.core.TrackedWorkers(); len(got) != 1 || got[0].ID != "w0" {
		t.Errorf("handed on as workers that may hold runs: %v, want w0 only", got)
	}
	b.poll("w1", sched.Report{})
	if got := b.core.TrackedWorkers(); len(got) != 2 {
		t.Errorf("handed on once it is back: %v, want both", got)
	}
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.Steps[0].RequiredLabel = "w1" }))
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v on a worker that the record doesn't name", got)
	}
	b.core.MarkTracked(b.core.TrackedWorkers())
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("started %v once the record names it, want the task", got)
	}
}
