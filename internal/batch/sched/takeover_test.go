package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A worker that is cut off keeps running its tasks. They must be placed again only after its lease has certainly
// expired, even on a clock that is 2 % slow, and ends that the worker reports afterwards must not count.
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
			t.Fatalf("placed again %s after a lease of %s was granted", b.now.Sub(granted), lease)
		}
		b.advance(100 * time.Millisecond)
	}
	b.advance(formerLeasesEnd - lease) // leases of a former holder must have expired too
	restarts := b.planOrders(sched.VerbStart)
	if len(restarts) != 1 || restarts[0].Incarnation.ID != other {
		t.Fatalf("starts after the lease expiry: %v, want one on the other worker", restarts)
	}
	b.poll(o.Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRun(1, o, sched.EndDone)}})
	b.storeChanges()
	b.checkState("j", sched.StateRunning)
}

// A worker that loses power still gets starts until a poll of it fails. If each start renewed the lease, its
// long-running tasks would be down until the last of these leases had expired, longer than operators allow. Only leases
// granted by polls may bound the wait, even when the store confirms the holder late.
func TestStartsDontExtendExpiry(t *testing.T) {
	for _, age := range []time.Duration{0, 240 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run(age.String(), func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("feed", func(j *sched.Job) { j.Steps[0].LongRunning = true }))
			o := b.planOrders(sched.VerbStart)[0]
			b.poll(o.Incarnation.ID, sched.Report{Running: []sched.RunStatus{runStatus(o)}})
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
			t.Error("the long-running task is not started after the lease granted before the power loss has expired")
		})
	}
}

// Guards against a task that runs twice. A holder loses its claim in the store, and its successor renews a worker's
// lease. The former holder does not reach that worker, was confirmed a moment ago, and considers the runs there
// expired. A lease counts as expired only after the store has confirmed the holder later than the expiry, as no one
// else can have renewed it then.
func TestExpiryNeedsConfirmation(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.planOrders(sched.VerbStart)[0]
	b.core.PollFailed(b.now, o.Incarnation.ID, 1)
	b.advance(formerLeasesEnd - 500*time.Millisecond)
	b.poll(otherWorker(o), sched.Report{})
	b.now = b.now.Add(time.Second)
	if got := b.core.Plan(b.now); len(got) != 0 {
		t.Errorf("orders %v with a confirmation from before the lease expiry", got)
	}
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("starts %v once confirmed, want the task", got)
	}
}

// A holder takes over while a worker is out of reach. A task of the former holder may run there, so it is withheld
// until the worker is reached or every lease of the former holder has expired. New jobs are not withheld.
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
		t.Fatalf("starts %v, want the new job only", got)
	}
	b.poll("w1", sched.Report{Running: []sched.RunStatus{{Task: "old.0.0.0", Run: 1_000_001}}})
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Fatalf("starts %v although the task runs", got)
	}
	b.poll("w1", sched.Report{Finished: []sched.FinishedRun{{Seq: 1, Task: "old.0.0.0", Run: 1_000_001, End: sched.EndDone}}})
	b.storeChanges()
	b.checkState("old", sched.StateCompleted)
}

// A holder takes over and polls a worker that runs a task and has as many unacknowledged ends as a report holds. If the
// runs in a full report were ignored while the worker counted as reached, the task would be started on another worker
// too.
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
		t.Errorf("starts %v although the task runs", got)
	}
}

// As TestFullReportShowsRuns, but the task has ended on the worker and its end comes in a later report. A start before
// that report would run the task again after its success.
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
		t.Errorf("starts %v while ends are still to be reported", got)
	}
	b.poll("w1", sched.Report{Finished: []sched.FinishedRun{{Seq: 501, Task: "old.0.0.0", Run: 1_000_001, End: sched.EndDone}}})
	b.storeChanges()
	b.checkState("old", sched.StateCompleted)
}

// A long-running task fails on a worker that the new holder reaches, while another worker has been out of reach since
// before the takeover. The new holder has seen the run, so no other worker can run this task. It must be restarted at
// once instead of being withheld with the other inherited tasks.
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
		t.Errorf("starts %v after the run has ended, want the task once", got)
	}
}

// Guards against a long-running task that runs twice. A holder loses the store and still acts for some seconds after
// its successor has taken over. Both see the run on a worker, the worker restarts, and each holder starts the task on a
// worker that the other does not reach. A run that a new holder sees is the only one only after the former holder has
// stopped acting.
func TestSeenRunWithTwoHolders(t *testing.T) {
	const task, run = "old.0.0.0", 1_000_001
	takeOver := func(term int64, at time.Time) *harness {
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
	former, next := takeOver(1, epoch()), takeOver(2, epoch().Add(1300*time.Millisecond))
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
		t.Errorf("%d holders start the task, want at most one", started)
	}
}

// A worker that has just entered the directory is out of reach when the holder changes. It is not tracked, so no former
// holder can have started a run on it, and no task must be withheld for it.
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
		t.Errorf("starts %v, want the inherited task", got)
	}
}

// A worker has been out of reach for so long that its lease has expired before the holder changes. All of its runs have
// ended, so it must not be tracked: the successor would withhold tasks for it without need.
func TestExpiredWorkerIsNotTracked(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.PollFailed(b.now, "w1", 1)
	b.advance(formerLeasesEnd + lease)
	b.planOrders(sched.VerbStart)
	if got := b.core.TrackedWorkers(); len(got) != 1 || got[0].ID != "w0" {
		t.Errorf("tracked workers %v, want w0 only", got)
	}
	b.poll("w1", sched.Report{})
	if got := b.core.TrackedWorkers(); len(got) != 2 {
		t.Errorf("tracked workers %v once w1 is back, want both", got)
	}
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.Steps[0].RequiredLabel = "w1" }))
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("starts %v on a worker that is not tracked", got)
	}
	b.core.MarkTracked(b.core.TrackedWorkers())
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("starts %v once the worker is tracked, want the task", got)
	}
}
