package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A check-in runs twice. An order isn't answered, its worker starts anew, gets the check-in and is cut off. The order is
// carried out late, in the new life: its time is of the former life's clock, which is far ahead, so
// that it prolongs the lease of all that runs there beyond what this holder has granted.
func TestOrderOfFormerIncarnationExtendsLease(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.advance(formerLeasesEnd)
	b.poll("w0", sched.Report{})
	b.core.PollFailed(b.now, "w1", 1)
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.core.Plan(b.now)[0]
	ordered := b.now
	b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
	b.poll("w0", sched.Report{StartedAt: 2})
	b.core.MarkTracked(b.core.TrackedWorkers())
	b.core.AddJob(b.now, oneTaskJob("k", nil))
	k := b.planOrders(sched.VerbStart)
	if len(k) != 1 || k[0].Incarnation.ID != "w0" {
		t.Fatalf("placed %v, want one on w0", k)
	}
	b.poll("w0", sched.Report{StartedAt: 2, Running: []sched.RunStatus{runningRow(k[0])}})
	b.core.PollFailed(b.now, "w0", 2)
	for b.now.Sub(ordered) < 12*time.Second+lease {
		b.poll("w1", sched.Report{})
		b.core.MarkTracked(b.core.TrackedWorkers())
		if got := b.planOrders(sched.VerbStart); len(got) != 0 {
			t.Fatalf("placed %v, %v after the order", got, b.now.Sub(ordered))
		}
		b.advance(200 * time.Millisecond)
	}
	b.advance(5 * time.Second)
	b.poll("w1", sched.Report{})
	if got := b.planOrders(sched.VerbStart); len(got) != 2 {
		t.Errorf("placed %v once the order can't be carried out any more, want both tasks", got)
	}
}

// A check-in runs twice. Its worker starts anew, and an order that was on its way to the former life is carried out and
// answered by the new one, with a lease by the former clock. The worker grants more than this holder
// does, and runs on for as long as it grants after contact with it is lost.
func TestAnswerOfFormerIncarnationExtendsLease(t *testing.T) {
	const hold = lease + 2*time.Second
	b := &harness{t: t, now: epoch()}
	b.core = sched.New(sched.Options{WorkerLease: lease, MaxWorkerLease: hold, MaxUnconfirmed: time.Hour, Term: 1}, b.now)
	b.core.UpdateDirectory(b.now, members(2))
	b.openWorkers()
	b.advance(formerLeasesEnd)
	b.poll("w0", sched.Report{})
	b.core.PollFailed(b.now, "w1", 1)
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.core.Plan(b.now)[0]
	b.poll("w0", sched.Report{StartedAt: 2})
	b.core.HandleOutcome(b.now, o, sched.OutcomeDone)
	answered := b.now
	b.core.MarkTracked(b.core.TrackedWorkers())
	b.poll("w0", sched.Report{StartedAt: 2, Finished: []sched.FinishedRun{finishedRow(1, o, sched.EndDone)}})
	b.core.AddJob(b.now, oneTaskJob("k", nil))
	if got := b.planOrders(sched.VerbStart); len(got) != 1 || got[0].Incarnation.ID != "w0" {
		t.Fatalf("placed %v, want one on w0", got)
	}
	b.core.PollFailed(b.now, "w0", 2)
	for b.now.Sub(answered) < hold {
		b.poll("w1", sched.Report{})
		b.core.MarkTracked(b.core.TrackedWorkers())
		if got := b.planOrders(sched.VerbStart); len(got) != 0 {
			t.Fatalf("placed %v, %v after the answer", got, b.now.Sub(answered))
		}
		b.advance(100 * time.Millisecond)
	}
}
