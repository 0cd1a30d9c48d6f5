package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A task starts seconds after its job's cancelling was acknowledged. Its order was planned before the cancel, and
// the holder had so many to send that it left long after it. The same delay lets a holder start
// tasks that may no longer act, and a worker get a lease that is over at once.
func TestStartIsRechecked(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(b *harness, o sched.Order)
		want   sched.UnsentCause
	}{
		{"nothing", func(*harness, sched.Order) {}, sched.CauseNone},
		{"cancelled", func(b *harness, _ sched.Order) { b.core.CancelJob(b.now, "j") }, sched.CauseRunGone},
		{"ended elsewhere", func(b *harness, o sched.Order) {
			b.poll("w1", sched.Report{Finished: []sched.FinishedRun{{Seq: 1, Task: o.Task.String(), Run: 1, End: sched.EndDone}}})
		}, sched.CauseRunGone},
		{"lapsed", func(b *harness, _ sched.Order) {
			b.core.PollFailed(b.now, "w0", 1)
			b.advance(3 * lease)
			b.core.Plan(b.now)
		}, sched.CauseRunGone},
		{"holder cut off", func(b *harness, _ sched.Order) { b.now = b.now.Add(maxUnconfirmed) }, sched.CauseNotHolder},
		{"worker lost", func(b *harness, _ sched.Order) { b.core.PollFailed(b.now, "w0", 1) }, sched.CauseUnreachable},
		{"worker started anew", func(b *harness, _ sched.Order) { b.poll("w0", sched.Report{StartedAt: 2}) }, sched.CauseIncarnation},
		{"worker leaves", func(b *harness, _ sched.Order) {
			all := members(2)
			all[0].Draining = true
			b.core.UpdateDirectory(b.now, all)
		}, sched.CauseUnschedulable},
		{"worker left the directory", func(b *harness, _ sched.Order) { b.core.UpdateDirectory(b.now, members(2)[1:]) }, sched.CauseUnschedulable},
		{"failure domain taken out", func(b *harness, _ sched.Order) { b.core.SetEvacuatedZones(map[string]bool{"z": true}) }, sched.CauseUnschedulable},
		{"lease nearly over", func(b *harness, _ sched.Order) { b.advance(lease - 500*time.Millisecond) }, sched.CauseShortLease},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := &harness{t: t, now: epoch()}
			b.core = sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: maxUnconfirmed, Term: 1}, b.now)
			b.core.UpdateDirectory(b.now, members(2))
			b.openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.Steps[0].RequiredLabel = "w0" }))
			o := b.core.Plan(b.now)[0]
			tt.change(b, o)
			if got := b.core.CheckSend(b.now, o); got != tt.want {
				t.Errorf("the start is barred by %q, want %q", got, tt.want)
			}
		})
	}
}

// A start that never left frees its task and its worker's room at once: nothing can come of it. A task of a
// cancelled job isn't placed again, and no stop is sent for it.
func TestUnsentStartIsReleased(t *testing.T) {
	whole := func(j *sched.Job) { j.Steps[0].Size.CPU = 16000 }
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", whole))
	o := b.core.Plan(b.now)[0]
	b.core.AddJob(b.now, oneTaskJob("k", whole))
	b.advance(time.Second)
	b.core.CancelJob(b.now, "j")
	stops := b.core.Plan(b.now)
	if len(stops) != 1 || stops[0].Verb != sched.VerbStop {
		t.Fatalf("planned %v, want a stop", stops)
	}
	if got := b.core.CheckSend(b.now, o); got != sched.CauseRunGone {
		t.Errorf("the start is barred by %q, want %q", got, sched.CauseRunGone)
	}
	b.core.HandleOutcome(b.now, o, sched.OutcomeUnsent)
	if got := b.core.CheckSend(b.now, stops[0]); got != sched.CauseRunGone {
		t.Errorf("the stop is barred by %q, want %q", got, sched.CauseRunGone)
	}
	b.core.HandleOutcome(b.now, stops[0], sched.OutcomeUnsent)
	orders := b.core.Plan(b.now)
	if len(orders) != 1 || orders[0].Verb != sched.VerbStart || orders[0].Task.Job != "k" {
		t.Errorf("planned %v, want the start of the next job alone", orders)
	}
}

// A check-in runs twice: its start left seconds after it was planned and wasn't answered, its worker started anew and
// was cut off. The time for which the order may still come to life counts from when it left.
func TestWaitCountsFromSending(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.advance(formerLeasesEnd)
	b.poll("w0", sched.Report{})
	b.poll("w1", sched.Report{})
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.core.Plan(b.now)[0]
	other := otherWorker(o)
	b.advance(3 * time.Second)
	if got := b.core.CheckSend(b.now, o); got != sched.CauseNone {
		t.Fatalf("the start is barred by %q", got)
	}
	left := b.now
	b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
	b.poll(o.Incarnation.ID, sched.Report{StartedAt: 2})
	b.core.PollFailed(b.now, o.Incarnation.ID, 2)
	const waited = 20 * time.Second
	for b.now.Sub(left) < waited-time.Second {
		b.advance(500 * time.Millisecond)
		b.poll(other, sched.Report{})
		if got := b.planOrders(sched.VerbStart); len(got) != 0 {
			t.Fatalf("placed %v, %v after the order left", got, b.now.Sub(left))
		}
	}
}
