package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against a task that runs twice. Another task's start gets no answer, and the worker restarts, gets the task
// and is cut off. The new incarnation carries out the first start late. Its lease is on the former incarnation's clock,
// which is far ahead, so it extends the lease of all runs on the worker beyond the one that this holder granted.
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
	b.list("w0", 2)
	b.core.MarkTracked(b.core.TrackedWorkers())
	b.core.AddJob(b.now, oneTaskJob("k", nil))
	k := b.planOrders(sched.VerbStart)
	if len(k) != 1 || k[0].Incarnation.ID != "w0" {
		t.Fatalf("starts %v, want one on w0", k)
	}
	b.poll("w0", sched.Report{StartedAt: 2, Running: []sched.RunStatus{runStatus(k[0])}})
	b.core.PollFailed(b.now, "w0", 2)
	for b.now.Sub(ordered) < 12*time.Second+lease {
		b.poll("w1", sched.Report{})
		b.core.MarkTracked(b.core.TrackedWorkers())
		if got := b.planOrders(sched.VerbStart); len(got) != 0 {
			t.Fatalf("starts %v, %v after the first order, want none", got, b.now.Sub(ordered))
		}
		b.advance(200 * time.Millisecond)
	}
	b.advance(5 * time.Second)
	b.poll("w1", sched.Report{})
	if got := b.planOrders(sched.VerbStart); len(got) != 2 {
		t.Errorf("starts %v once the first order can no longer be carried out, want both tasks", got)
	}
}

// Guards against a task that runs twice. Its worker restarts, and the new incarnation carries out and answers a start
// that was in flight to the former incarnation, with a lease on the former clock. The worker accepts longer leases than
// this holder grants, so after the loss of contact its runs continue for the longest lease that it accepts.
func TestAnswerOfFormerIncarnationExtendsLease(t *testing.T) {
	const maxLease = lease + 2*time.Second
	b := &harness{t: t, now: epoch()}
	b.core = sched.New(sched.Options{WorkerLease: lease, MaxWorkerLease: maxLease, MaxUnconfirmed: time.Hour, Term: 1}, b.now)
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
	b.list("w0", 2)
	b.core.MarkTracked(b.core.TrackedWorkers())
	b.poll("w0", sched.Report{StartedAt: 2, Finished: []sched.FinishedRun{finishedRun(1, o, sched.EndDone)}})
	b.core.AddJob(b.now, oneTaskJob("k", nil))
	if got := b.planOrders(sched.VerbStart); len(got) != 1 || got[0].Incarnation.ID != "w0" {
		t.Fatalf("starts %v, want one on w0", got)
	}
	b.core.PollFailed(b.now, "w0", 2)
	for b.now.Sub(answered) < maxLease {
		b.poll("w1", sched.Report{})
		b.core.MarkTracked(b.core.TrackedWorkers())
		if got := b.planOrders(sched.VerbStart); len(got) != 0 {
			t.Fatalf("starts %v, %v after the answer, want none", got, b.now.Sub(answered))
		}
		b.advance(100 * time.Millisecond)
	}
}
