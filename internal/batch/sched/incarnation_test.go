package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A worker starts anew while ends of its former life wait to be stored. Those numbers mean nothing to the new life: acknowledged
// by them, it would forget ends that nobody has heard of.
func TestPendingAckOfFormerIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("a", nil))
	b.core.AddJob(b.now, oneTaskJob("b", nil))
	var ends []sched.FinishedRun
	for i, o := range b.planOrders(sched.VerbStart) {
		ends = append(ends, finishedRow(int64(40+i), o, sched.EndDone))
	}
	b.poll("w0", sched.Report{Finished: ends})
	b.poll("w0", sched.Report{StartedAt: 2})
	batch, err := b.core.CollectChanges(1)
	if err != nil {
		t.Fatal(err)
	}
	b.core.MarkCommitted(batch)
	if l, _ := b.core.NextPoll(b.now, "w0"); l.AckedSeq != 0 {
		t.Errorf("ends up to %d of the new life are acknowledged, and it has told none", l.AckedSeq)
	}
}

// A worker starts anew, and its clock with it. A start that carries the lease of the former life's clock would
// let it run for as long as workers allow, past what this holder counts with.
func TestLeaseOfFormerIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.advance(time.Minute)
	b.poll("w0", sched.Report{})
	b.core.HandleReport(b.now, b.now, "w0", sched.Report{StartedAt: 2, Clock: time.Second})
	b.core.NextPoll(b.now, "w0")
	b.core.MarkTracked(b.core.TrackedWorkers())
	b.core.AddJob(b.now, oneTaskJob("a", nil))
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 || got[0].LeaseUntil > time.Second+lease {
		t.Errorf("started %v, want one with a lease until %v at most", got, time.Second+lease)
	}
}

// A start isn't answered, and the stop that follows is, by the worker's first life; then it starts anew. The
// start may still come, to a life that knows of no stop: the task isn't started elsewhere before that is
// impossible, or the new life has taken the stop too.
func TestStopByFormerIncarnation(t *testing.T) {
	for _, tt := range []struct {
		name  string
		again bool // the new life takes the stop
	}{{"new life out of reach", false}, {"new life takes the stop", true}} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			o := b.core.Plan(b.now)[0]
			b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
			ordered := b.now
			other := otherWorker(o)
			b.advance(time.Millisecond)
			b.poll(o.Incarnation.ID, sched.Report{})
			b.advance(400 * time.Millisecond)
			if got := b.planOrders(sched.VerbStop); len(got) != 1 {
				t.Fatalf("stops: %v", got)
			}
			all := members(2)
			for i := range all {
				if all[i].ID == o.Incarnation.ID {
					all[i].StartedAt = 2
				}
			}
			b.core.UpdateDirectory(b.now, all)
			if tt.again {
				b.poll(o.Incarnation.ID, sched.Report{StartedAt: 2})
				if got := b.planOrders(sched.VerbStart); len(got) != 0 {
					t.Fatalf("started %v before the new life has taken the stop", got)
				}
				b.advance(400 * time.Millisecond)
				if got := b.planOrders(sched.VerbStop); len(got) != 1 || got[0].Incarnation.StartedAt != 2 {
					t.Fatalf("stops for the new life: %v", got)
				}
				b.poll(o.Incarnation.ID, sched.Report{StartedAt: 2})
				if got := b.planOrders(sched.VerbStart); len(got) != 1 {
					t.Errorf("started %v after the stop, want the task", got)
				}
				return
			}
			for b.now.Sub(ordered) < 12*time.Second+lease {
				b.poll(other, sched.Report{})
				if got := b.planOrders(sched.VerbStart); len(got) != 0 {
					t.Fatalf("placed again %s after the order", b.now.Sub(ordered))
				}
				b.advance(100 * time.Millisecond)
			}
		})
	}
}

// A worker starts anew under its id, and its feeds stand still for 20 s: once because the new life can't be reached,
// once because it is lost soon after it was given feeds of its own. What an unanswered order may
// still bring to life there was waited for, though every order had been answered.
func TestRestartedWorkerIsNotWaitedFor(t *testing.T) {
	feed := func(j *sched.Job) { j.Steps[0].LongRunning = true }
	for _, tt := range []struct {
		name string
		lose func(b *harness, id string) // has the worker start anew, and be lost
	}{
		{"new life out of reach", func(b *harness, id string) {}},
		{"new life reached and lost", func(b *harness, id string) {
			b.poll(id, sched.Report{StartedAt: 2})
			b.core.MarkTracked(b.core.TrackedWorkers())
			if got := b.planOrders(sched.VerbStart); len(got) != 1 || got[0].Incarnation.ID != id {
				b.t.Fatalf("started %v, want the feed again in the new life", got)
			}
			b.core.PollFailed(b.now, id, 2)
			b.advance(formerLeasesEnd + 100*time.Millisecond)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("feed", feed))
			o := b.planOrders(sched.VerbStart)[0]
			b.poll(o.Incarnation.ID, sched.Report{Running: []sched.RunStatus{runningRow(o)}})
			all := members(2)
			for i := range all {
				if all[i].ID == o.Incarnation.ID {
					all[i].StartedAt = 2
				}
			}
			b.core.UpdateDirectory(b.now, all)
			tt.lose(b, o.Incarnation.ID)
			b.poll(otherWorker(o), sched.Report{})
			for _, got := range b.planOrders(sched.VerbStart) {
				if got.Task.Job == "feed" {
					return
				}
			}
			t.Error("the feed isn't started on the other worker")
		})
	}
}

// A check-in runs twice. Its worker starts anew while the ends of its former life are being
// stored; the acknowledgement of these makes it forget the new life's ends unheard.
func TestAckOfFormerIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.poll("w0", sched.Report{Finished: []sched.FinishedRun{{Seq: 40, Task: "x.0.0.0", Run: 1, End: sched.EndDone}}})
	batch, err := b.core.CollectChanges(10)
	if err != nil {
		t.Fatal(err)
	}
	b.poll("w0", sched.Report{StartedAt: 2})
	b.core.MarkCommitted(batch)
	if l, _ := b.core.NextPoll(b.now, "w0"); l.AckedSeq != 0 {
		t.Errorf("ends up to %d of the new life acknowledged unheard", l.AckedSeq)
	}
}

// A worker that has crashed and started again under its id runs nothing of before: its tasks
// are placed anew at once, but for one whose order was never answered, which may come to
// life in the new life.
func TestWorkerRestart(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	b.core.AddJob(b.now, oneTaskJob("k", nil))
	orders := b.core.Plan(b.now)
	b.core.HandleOutcome(b.now, orders[0], sched.OutcomeDone)
	b.core.HandleOutcome(b.now, orders[1], sched.OutcomeUnknown)
	b.advance(time.Second)
	all := members(1)
	all[0].StartedAt = 2
	b.core.UpdateDirectory(b.now, all)
	b.core.MarkTracked(b.core.TrackedWorkers())
	b.poll("w0", sched.Report{StartedAt: 2})
	again := b.planOrders(sched.VerbStart)
	if len(again) != 1 || again[0].Task != orders[0].Task {
		t.Fatalf("placed %v, want %v", again, orders[0].Task)
	}
}

// A check-in runs twice. Its order isn't answered, the worker starts anew and is cut off; the
// order's time is of the former life's clock, so the new life carries it out seconds after
// every lease has lapsed by our count.
func TestOrderOfFormerIncarnation(t *testing.T) {
	for _, hold := range []time.Duration{lease, 2 * lease} {
		t.Run(fmt.Sprint(hold), func(t *testing.T) {
			b := &harness{t: t, now: epoch()}
			b.core = sched.New(sched.Options{WorkerLease: lease, MaxWorkerLease: hold, MaxUnconfirmed: maxUnconfirmed, Term: 1}, b.now)
			b.core.UpdateDirectory(b.now, members(2))
			b.openWorkers()
			b.advance(formerLeasesEnd)
			b.poll("w0", sched.Report{})
			b.poll("w1", sched.Report{})
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			o := b.core.Plan(b.now)[0]
			b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
			ordered := b.now
			other := otherWorker(o)
			b.poll(o.Incarnation.ID, sched.Report{StartedAt: 2})
			b.core.PollFailed(b.now, o.Incarnation.ID, 2)
			for b.now.Sub(ordered) < 12*time.Second+hold*100/98 {
				b.poll(other, sched.Report{})
				if got := b.planOrders(sched.VerbStart); len(got) != 0 {
					t.Fatalf("placed again %s after the order", b.now.Sub(ordered))
				}
				b.advance(100 * time.Millisecond)
			}
		})
	}
}

// A check-in runs twice. Its worker starts anew, carries out an order in its new life and ends
// it before it is polled; the former life's lease has lapsed by then, so the end is passed
// over as of before a lapse, and acknowledged.
func TestExpiryOfFormerIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.planOrders(sched.VerbStart)[0]
	b.core.PollFailed(b.now, "w0", 1)
	b.advance(formerLeasesEnd + lease)
	all := members(1)
	all[0].StartedAt = 2
	b.core.UpdateDirectory(b.now, all)
	b.planOrders(sched.VerbStart)
	b.poll("w0", sched.Report{StartedAt: 2, Finished: []sched.FinishedRun{finishedRow(1, o, sched.EndDone)}})
	b.storeChanges()
	b.checkState("j", sched.StateCompleted)
}

// A book is finished twice. Its worker is cut off, starts anew behind the cut under the same id, and
// carries out an order that was meant for its former life; the book is done there before the cut
// heals. The first poll after it must not acknowledge ends by the former life's numbers: the
// worker would forget the success before anybody heard of it.
func TestAckAfterLostContact(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.planOrders(sched.VerbStart)[0]
	b.poll(o.Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRow(1, o, sched.EndFailed)}})
	b.storeChanges()
	l, _ := b.core.NextPoll(b.now, o.Incarnation.ID)
	if l.AckedSeq != 1 {
		t.Fatalf("acknowledged up to %d, want 1", l.AckedSeq)
	}
	b.core.PollFailed(b.now, o.Incarnation.ID, 1)
	if l, _ = b.core.NextPoll(b.now, o.Incarnation.ID); l.AckedSeq != 0 {
		t.Errorf("after a poll without an answer, ends up to %d are acknowledged to whoever answers next", l.AckedSeq)
	}
	b.poll(o.Incarnation.ID, sched.Report{})
	if l, _ = b.core.NextPoll(b.now, o.Incarnation.ID); l.AckedSeq != 1 {
		t.Errorf("with the same life again, ends up to %d are acknowledged, want 1", l.AckedSeq)
	}
}
