package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// loseContact plays a holder short of processor time. A poll grants a lease; the worker answers it, and any that
// follow, but the holder gives each up before the answer is read, until the lease has passed. It returns the worker's
// report, which listed the ends at their first answer, well within the lease.
func (b *harness) loseContact(id string, ends ...sched.FinishedRun) sched.Report {
	b.t.Helper()
	b.core.NextPoll(b.now, id)
	for range 9 {
		b.advance(700 * time.Millisecond)
		b.core.PollFailed(b.now, id, 1)
		b.core.NextPoll(b.now, id)
		if id == "w0" {
			b.poll("w1", sched.Report{})
		} else {
			b.poll("w0", sched.Report{})
		}
	}
	return sched.Report{Finished: ends}
}

// Guards against a task that is done twice. The answer that lists its end comes later than the holder waits for it,
// again and again, until the lease has passed. The end arrives before the task is started anew, is passed over as one
// from before a lease expiry, and is acknowledged.
func TestLateReportOfDoneEnd(t *testing.T) {
	for _, tt := range []struct {
		name    string
		expired bool // a plan takes the lease for expired before the report arrives
	}{{"lease not taken for expired yet", false}, {"lease taken for expired", true}} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			o := b.planOrders(sched.VerbStart)[0]
			id := o.Incarnation.ID
			rep := b.loseContact(id, finishedRun(1, o, sched.EndDone))
			if tt.expired {
				b.core.UpdateDirectory(b.now, members(2))
			}
			b.poll(id, rep)
			b.checkDoneOnce(id, "j", 1)
		})
	}
}

// checkDoneOnce checks that a job whose end a worker has listed is completed and never started again, and that the end
// is acknowledged.
func (b *harness) checkDoneOnce(id, job string, seq int64) {
	b.t.Helper()
	for range 3 {
		b.storeChanges()
		if req, _ := b.core.NextPoll(b.now, id); req.AckedSeq != seq {
			b.t.Errorf("ends up to %d are acknowledged, want %d", req.AckedSeq, seq)
		}
		if got := b.planOrders(sched.VerbStart); len(got) != 0 {
			b.t.Errorf("starts %v of a task whose success the worker had listed", got)
		}
	}
	b.checkState(job, sched.StateCompleted)
}

// Guards against a task that is done twice: its end arrives after a plan has placed it anew, and before that start is sent.
func TestLateReportBeforeStartIsSent(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.planOrders(sched.VerbStart)[0]
	rep := b.loseContact(o.Incarnation.ID, finishedRun(1, o, sched.EndDone))
	again := b.core.Plan(b.now)
	if len(again) != 1 || again[0].Verb != sched.VerbStart || again[0].Incarnation.ID == o.Incarnation.ID {
		t.Fatalf("orders %v, want a start on the other worker", again)
	}
	b.poll(o.Incarnation.ID, rep)
	b.core.NoteDirectoryRead(b.now)
	b.core.NoteIntentRead(b.now)
	if cause := b.core.CheckSend(b.now, again[0]); cause != sched.CauseRunGone {
		t.Errorf("cause %q, want %q: the start is sent although the worker has listed the task's success", cause, sched.CauseRunGone)
	}
	b.core.HandleOutcome(b.now, again[0], sched.OutcomeUnsent)
	b.checkDoneOnce(o.Incarnation.ID, "j", 1)
}

// Guards against a gang that is done twice: the end of one task, which counts for all, is passed over in the same way.
func TestLateReportOfGangEnd(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) {
		j.Steps[0].Count, j.Steps[0].Gang, j.Steps[0].RequiredLabel = 2, true, "w0"
	}))
	orders := b.planOrders(sched.VerbStart)
	if len(orders) != 2 {
		t.Fatalf("starts %v, want two", orders)
	}
	rep := b.loseContact("w0", finishedRun(1, orders[0], sched.EndDone), finishedRun(2, orders[1], sched.EndDone))
	b.core.UpdateDirectory(b.now, members(2))
	b.poll("w0", rep)
	b.checkDoneOnce("w0", "j", 2)
}

// Guards against a task that is started beyond its attempts: a failed end is passed over in the same way, and its
// failure isn't counted.
func TestLateReportOfFailedEnd(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.MaxAttempts = 1 }))
	o := b.planOrders(sched.VerbStart)[0]
	rep := b.loseContact(o.Incarnation.ID, finishedRun(1, o, sched.EndFailed))
	b.core.UpdateDirectory(b.now, members(2))
	b.poll(o.Incarnation.ID, rep)
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("starts %v after the task's only attempt has failed", got)
	}
	b.storeChanges()
	b.checkState("j", sched.StateFailed)
}

// Guards against work that is lost: the checkpoint of a run that lapsed is passed over together with its end.
func TestLateReportOfCheckpoint(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.planOrders(sched.VerbStart)[0]
	end := finishedRun(1, o, sched.EndLeaseExpired)
	end.Checkpoint = "half"
	rep := b.loseContact(o.Incarnation.ID, end)
	b.core.UpdateDirectory(b.now, members(2))
	b.poll(o.Incarnation.ID, rep)
	if got := b.planOrders(sched.VerbStart); len(got) != 1 || got[0].Checkpoint != "half" {
		t.Errorf("starts %v, want one that resumes from the checkpoint of the lapsed run", got)
	}
}

// Guards against a task that is done twice: the start gets no answer, the run ends, and the stop that follows is answered
// as one of an ended run. Its end is listed in the next report.
func TestStopOfEndedRun(t *testing.T) {
	for _, late := range []bool{false, true} {
		b := newHarness(t, 1, 2).openWorkers()
		b.core.AddJob(b.now, oneTaskJob("j", nil))
		b.advance(time.Millisecond)
		o := b.core.Plan(b.now)[0]
		b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
		id := o.Incarnation.ID
		rep := sched.Report{Finished: []sched.FinishedRun{finishedRun(1, o, sched.EndDone)}}
		b.advance(2100 * time.Millisecond)
		for _, stop := range b.core.Plan(b.now) {
			b.core.HandleOutcome(b.now, stop, sched.OutcomeRunEnded)
		}
		if late {
			rep = b.loseContact(id, rep.Finished...)
			b.core.UpdateDirectory(b.now, members(2))
		}
		b.poll(id, rep)
		b.checkDoneOnce(id, "j", 1)
	}
}

// Guards against a task that is done twice after a change of holder. The new holder is short of processor time and reads
// the first answer of a worker only when the former holder's leases have passed.
func TestLateFirstReport(t *testing.T) {
	b := &harness{t: t, now: epoch()}
	b.core = sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: maxUnconfirmed, Term: 2}, b.now)
	if err := b.core.RestoreJob(b.now, "j", oneTaskJob("j", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.InheritWorkers(b.now, members(2))
	b.core.UpdateDirectory(b.now, members(2))
	b.poll("w1", sched.Report{})
	b.core.NextPoll(b.now, "w0")
	b.advance(formerLeasesEnd + time.Millisecond)
	b.core.UpdateDirectory(b.now, members(2))
	b.poll("w0", sched.Report{Finished: []sched.FinishedRun{{Seq: 1, Task: "j.0.0.0", Run: 1_000_001, End: sched.EndDone}}})
	b.checkDoneOnce("w0", "j", 1)
}

// Guards against a task that is done twice. A worker's entry leaves the directory while answers come late, so the worker is
// forgotten with its lease, and its ends are passed over when it is listed again.
func TestLateReportOfRelistedWorker(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.Steps[0].RequiredLabel = "w0" }))
	o := b.planOrders(sched.VerbStart)[0]
	rep := b.loseContact("w0", finishedRun(1, o, sched.EndDone))
	b.core.UpdateDirectory(b.now, members(2)[1:])
	b.core.UpdateDirectory(b.now, members(2))
	b.poll("w0", rep)
	b.checkDoneOnce("w0", "j", 1)
}

// Guards against BUDGET: a failed end that arrives after its task was started again isn't counted, though it is
// acknowledged, so the task gets one run more than its attempts.
func TestLateFailedEndAfterNewStart(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil)) // two attempts
	o := b.planOrders(sched.VerbStart)[0]
	rep := b.loseContact(o.Incarnation.ID, finishedRun(1, o, sched.EndFailed))
	again := b.core.Plan(b.now)
	if len(again) != 1 {
		t.Fatalf("orders %v, want a start", again)
	}
	b.core.NoteDirectoryRead(b.now)
	b.core.NoteIntentRead(b.now)
	if cause := b.core.CheckSend(b.now, again[0]); cause != sched.CauseNone {
		t.Fatal(cause)
	}
	b.core.HandleOutcome(b.now, again[0], sched.OutcomeDone)
	b.poll(o.Incarnation.ID, rep)
	b.poll(again[0].Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRun(1, again[0], sched.EndFailed)}})
	b.core.NoteDirectoryRead(b.now)
	b.core.NoteIntentRead(b.now)
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("starts %v after two failed runs, both listed and acknowledged", got)
	}
}

// Guards against TWICE: the end of a run arrives while the task's next start is on its way to an agent, is passed over and
// acknowledged, and then the start turns out not to have been made: the task runs again though a worker listed its success.
func TestLateDoneEndBesideUnsentStart(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.planOrders(sched.VerbStart)[0]
	rep := b.loseContact(o.Incarnation.ID, finishedRun(1, o, sched.EndDone))
	again := b.core.Plan(b.now)
	if len(again) != 1 {
		t.Fatalf("orders %v, want a start", again)
	}
	b.core.NoteDirectoryRead(b.now)
	b.core.NoteIntentRead(b.now)
	if cause := b.core.CheckSend(b.now, again[0]); cause != sched.CauseNone {
		t.Fatal(cause)
	}
	b.poll(o.Incarnation.ID, rep)
	b.core.HandleOutcome(b.now, again[0], sched.OutcomeUnsent) // the agent got it too late
	b.storeChanges()
	req, _ := b.core.NextPoll(b.now, o.Incarnation.ID)
	b.core.NoteDirectoryRead(b.now)
	b.core.NoteIntentRead(b.now)
	if got := b.planOrders(sched.VerbStart); len(got) > 0 {
		t.Errorf("starts %v of a task whose only run has ended done; ends up to %d are acknowledged", got, req.AckedSeq)
	}
}
