package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A feed that has just started is stopped and starts again elsewhere. The answer to its start came too late for a busy
// holder, which sent a stop before the poll that was under way could show that the feed runs.
func TestUnansweredStartIsKept(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.core.Admit(b.now, one("feed", func(j *sched.Job) { j.Steps[0].Lasting = true }))
	o := b.core.Plan(b.now)[0]
	sent := b.now // of the poll that is under way; it waits for an end
	b.core.Poll(b.now, o.Life.ID)
	b.after(unanswered)
	b.core.Answer(b.now, o, sched.OutcomeUnknown)
	for range 8 {
		b.after(100 * time.Millisecond)
		if got := b.core.Plan(b.now); len(got) != 0 {
			t.Fatalf("ordered %v before a poll could show the run", got)
		}
	}
	b.core.Hear(sent, b.now, o.Life.ID, sched.Report{Born: 1, Clock: b.now.Sub(start()), Running: []sched.Running{running(o)}})
	for range 30 {
		b.after(100 * time.Millisecond)
		b.poll(o.Life.ID, sched.Report{Running: []sched.Running{running(o)}})
		if got := b.core.Plan(b.now); len(got) != 0 {
			t.Fatalf("ordered %v though the run was shown", got)
		}
	}
}

// A task whose start was lost waits for long: no poll tells of it, or the one that was under way before it, or one
// that shows that it isn't there. The stop that has to come before the next start doesn't wait for more than these.
func TestLostStartIsStopped(t *testing.T) {
	for _, tt := range []struct {
		name string
		poll func(b *bench, before time.Time, id string)
		want time.Duration // at most, from the start's end on
	}{
		{"no poll", func(*bench, time.Time, string) {}, 2 * time.Second},
		{"poll from before", func(b *bench, before time.Time, id string) {
			b.core.Hear(before, b.now, id, sched.Report{Born: 1, Clock: b.now.Sub(start())})
		}, 2 * time.Second},
		{"poll from after", func(b *bench, _ time.Time, id string) { b.poll(id, sched.Report{}) }, 400 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 1, 2).open()
			b.core.Admit(b.now, one("j", nil))
			o := b.core.Plan(b.now)[0]
			before := b.now
			b.after(unanswered)
			b.core.Answer(b.now, o, sched.OutcomeUnknown)
			lost := b.now
			b.after(time.Millisecond)
			tt.poll(b, before, o.Life.ID)
			for b.now.Sub(lost) < 5*time.Second {
				b.after(20 * time.Millisecond)
				got := b.core.Plan(b.now)
				if len(got) == 0 {
					continue
				}
				if took := b.now.Sub(lost); got[0].Verb != sched.VerbStop || took > tt.want {
					t.Errorf("%s after %v, want a stop after at most %v", got[0].Verb, took, tt.want)
				}
				return
			}
			t.Error("never stopped")
		})
	}
}
