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
		change func(b *bench, o sched.Order)
		want   sched.Cause
	}{
		{"nothing", func(*bench, sched.Order) {}, sched.CauseNone},
		{"cancelled", func(b *bench, _ sched.Order) { b.core.Cancel(b.now, "j") }, sched.CauseRun},
		{"ended elsewhere", func(b *bench, o sched.Order) {
			b.poll("w1", sched.Report{Finished: []sched.Finished{{Seq: 1, Task: o.Task.String(), Run: 1, How: sched.EndDone}}})
		}, sched.CauseRun},
		{"lapsed", func(b *bench, _ sched.Order) {
			b.core.Missed(b.now, "w0", 1)
			b.after(3 * lease)
			b.core.Plan(b.now)
		}, sched.CauseRun},
		{"holder cut off", func(b *bench, _ sched.Order) { b.now = b.now.Add(unsure) }, sched.CauseTenure},
		{"worker lost", func(b *bench, _ sched.Order) { b.core.Missed(b.now, "w0", 1) }, sched.CauseContact},
		{"worker started anew", func(b *bench, _ sched.Order) { b.poll("w0", sched.Report{Born: 2}) }, sched.CauseLife},
		{"worker leaves", func(b *bench, _ sched.Order) {
			all := members(2)
			all[0].Draining = true
			b.core.Roster(b.now, all)
		}, sched.CauseClosed},
		{"worker left the directory", func(b *bench, _ sched.Order) { b.core.Roster(b.now, members(2)[1:]) }, sched.CauseClosed},
		{"failure domain taken out", func(b *bench, _ sched.Order) { b.core.Out(map[string]bool{"z": true}) }, sched.CauseClosed},
		{"lease nearly over", func(b *bench, _ sched.Order) { b.after(lease - 500*time.Millisecond) }, sched.CauseLease},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := &bench{t: t, now: start()}
			b.core = sched.New(sched.Options{Lease: lease, Sure: unsure, Term: 1}, b.now)
			b.core.Roster(b.now, members(2))
			b.open()
			b.core.Admit(b.now, one("j", func(j *sched.Job) { j.Steps[0].Label = "w0" }))
			o := b.core.Plan(b.now)[0]
			tt.change(b, o)
			if got := b.core.Depart(b.now, o); got != tt.want {
				t.Errorf("the start is barred by %q, want %q", got, tt.want)
			}
		})
	}
}

// A start that never left frees its task and its worker's room at once: nothing can come of it. A task of a
// cancelled job isn't placed again, and no stop is sent for it.
func TestRefusedStartIsFreed(t *testing.T) {
	whole := func(j *sched.Job) { j.Steps[0].Size.CPU = 16000 }
	b := newBench(t, 1, 1).open()
	b.core.Admit(b.now, one("j", whole))
	o := b.core.Plan(b.now)[0]
	b.core.Admit(b.now, one("k", whole))
	b.after(time.Second)
	b.core.Cancel(b.now, "j")
	stops := b.core.Plan(b.now)
	if len(stops) != 1 || stops[0].Verb != sched.VerbStop {
		t.Fatalf("planned %v, want a stop", stops)
	}
	if got := b.core.Depart(b.now, o); got != sched.CauseRun {
		t.Errorf("the start is barred by %q, want %q", got, sched.CauseRun)
	}
	b.core.Answer(b.now, o, sched.OutcomeUnsent)
	if got := b.core.Depart(b.now, stops[0]); got != sched.CauseRun {
		t.Errorf("the stop is barred by %q, want %q", got, sched.CauseRun)
	}
	b.core.Answer(b.now, stops[0], sched.OutcomeUnsent)
	orders := b.core.Plan(b.now)
	if len(orders) != 1 || orders[0].Verb != sched.VerbStart || orders[0].Task.Job != "k" {
		t.Errorf("planned %v, want the start of the next job alone", orders)
	}
}

// A check-in runs twice: its start left seconds after it was planned and wasn't answered, its worker started anew and
// was cut off. The time for which the order may still come to life counts from when it left.
func TestLateDepartureIsWaitedFor(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.after(doubt)
	b.poll("w0", sched.Report{})
	b.poll("w1", sched.Report{})
	b.core.Admit(b.now, one("j", nil))
	o := b.core.Plan(b.now)[0]
	other := other(o)
	b.after(3 * time.Second)
	if got := b.core.Depart(b.now, o); got != sched.CauseNone {
		t.Fatalf("the start is barred by %q", got)
	}
	left := b.now
	b.core.Answer(b.now, o, sched.OutcomeUnknown)
	b.poll(o.Life.ID, sched.Report{Born: 2})
	b.core.Missed(b.now, o.Life.ID, 2)
	const waited = 20 * time.Second
	for b.now.Sub(left) < waited-time.Second {
		b.after(500 * time.Millisecond)
		b.poll(other, sched.Report{})
		if got := b.plan(sched.VerbStart); len(got) != 0 {
			t.Fatalf("placed %v, %v after the order left", got, b.now.Sub(left))
		}
	}
}
