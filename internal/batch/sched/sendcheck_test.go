package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against a task that starts seconds after the cancellation of its job was acknowledged. The order was planned
// before, but the holder had so many orders to send that it was sent long after. By the same delay, a holder that may
// no longer act would start tasks, and a worker would get a lease that expires at once.
func TestStartIsRechecked(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(b *harness, o sched.Order)
		want   sched.UnsentCause
	}{
		{"no change", func(*harness, sched.Order) {}, sched.CauseNone},
		{"cancelled", func(b *harness, _ sched.Order) { b.core.CancelJob(b.now, "j") }, sched.CauseRunGone},
		{"ended elsewhere", func(b *harness, o sched.Order) {
			b.poll("w1", sched.Report{Finished: []sched.FinishedRun{{Seq: 1, Task: o.Task.String(), Run: 1, End: sched.EndDone}}})
		}, sched.CauseRunGone},
		{"lease expired", func(b *harness, _ sched.Order) {
			b.core.PollFailed(b.now, "w0", 1)
			b.advance(3 * lease)
			b.core.Plan(b.now)
		}, sched.CauseRunGone},
		{"holder cut off", func(b *harness, _ sched.Order) { b.now = b.now.Add(maxUnconfirmed) }, sched.CauseNotHolder},
		{"worker lost", func(b *harness, _ sched.Order) { b.core.PollFailed(b.now, "w0", 1) }, sched.CauseUnreachable},
		{"worker restarted", func(b *harness, _ sched.Order) { b.poll("w0", sched.Report{StartedAt: 2}) }, sched.CauseIncarnation},
		{"worker draining", func(b *harness, _ sched.Order) {
			directory := members(2)
			directory[0].Draining = true
			b.core.UpdateDirectory(b.now, directory)
		}, sched.CauseUnschedulable},
		{"label removed", func(b *harness, _ sched.Order) {
			directory := members(2)
			directory[0].Labels = nil
			b.core.UpdateDirectory(b.now, directory)
		}, sched.CauseUnschedulable},
		{"service changed", func(b *harness, _ sched.Order) {
			directory := members(2)
			directory[0].Service = "t"
			b.core.UpdateDirectory(b.now, directory)
		}, sched.CauseUnschedulable},
		{"entry of no incarnation", func(b *harness, _ sched.Order) { b.list("w0", 0) }, sched.CauseUnschedulable},
		{"worker left the directory", func(b *harness, _ sched.Order) { b.core.UpdateDirectory(b.now, members(2)[1:]) }, sched.CauseUnschedulable},
		{"zone evacuated", func(b *harness, _ sched.Order) { b.core.SetEvacuatedZones(map[string]bool{"z": true}) }, sched.CauseUnschedulable},
		{"lease nearly expired", func(b *harness, _ sched.Order) { b.advance(lease - 500*time.Millisecond) }, sched.CauseShortLease},
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
				t.Errorf("the start is blocked by %q, want %q", got, tt.want)
			}
		})
	}
}

// A start that was never sent releases its task and its worker's capacity at once, since it cannot begin a run. A task
// of a cancelled job is not placed again, and no stop is sent for it.
func TestUnsentStartIsReleased(t *testing.T) {
	fullWorker := func(j *sched.Job) { j.Steps[0].Size.CPU = 16000 }
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", fullWorker))
	o := b.core.Plan(b.now)[0]
	b.core.AddJob(b.now, oneTaskJob("k", fullWorker))
	b.advance(time.Second)
	b.core.CancelJob(b.now, "j")
	stops := b.core.Plan(b.now)
	if len(stops) != 1 || stops[0].Verb != sched.VerbStop {
		t.Fatalf("orders %v, want a stop", stops)
	}
	if got := b.core.CheckSend(b.now, o); got != sched.CauseRunGone {
		t.Errorf("the start is blocked by %q, want %q", got, sched.CauseRunGone)
	}
	b.core.HandleOutcome(b.now, o, sched.OutcomeUnsent)
	if got := b.core.CheckSend(b.now, stops[0]); got != sched.CauseRunGone {
		t.Errorf("the stop is blocked by %q, want %q", got, sched.CauseRunGone)
	}
	b.core.HandleOutcome(b.now, stops[0], sched.OutcomeUnsent)
	orders := b.core.Plan(b.now)
	if len(orders) != 1 || orders[0].Verb != sched.VerbStart || orders[0].Task.Job != "k" {
		t.Errorf("orders %v, want only the start of the next job", orders)
	}
}

// Guards against a task that runs twice. Its start is sent seconds after it was planned and gets no answer, and its
// worker restarts and is cut off. The time for which the start may still be carried out counts from when it was sent.
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
		t.Fatalf("the start is blocked by %q, want it sent", got)
	}
	sent := b.now
	b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
	b.poll(o.Incarnation.ID, sched.Report{StartedAt: 2})
	b.core.PollFailed(b.now, o.Incarnation.ID, 2)
	const waited = 20 * time.Second
	for b.now.Sub(sent) < waited-time.Second {
		b.advance(500 * time.Millisecond)
		b.poll(other, sched.Report{})
		if got := b.planOrders(sched.VerbStart); len(got) != 0 {
			t.Fatalf("starts %v, %v after the order was sent", got, b.now.Sub(sent))
		}
	}
}
