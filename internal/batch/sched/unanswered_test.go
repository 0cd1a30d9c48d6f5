package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A feed that has just started is stopped and starts again elsewhere. The answer to its start came too late for a busy
// holder, which sent a stop before the poll that was under way could show that the feed runs.
func TestUnansweredStartIsKept(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("feed", func(j *sched.Job) { j.Steps[0].LongRunning = true }))
	o := b.core.Plan(b.now)[0]
	sent := b.now // of the poll that is under way; it waits for an end
	b.core.NextPoll(b.now, o.Incarnation.ID)
	b.advance(answerTimeout)
	b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
	for range 8 {
		b.advance(100 * time.Millisecond)
		if got := b.core.Plan(b.now); len(got) != 0 {
			t.Fatalf("ordered %v before a poll could show the run", got)
		}
	}
	b.core.HandleReport(sent, b.now, o.Incarnation.ID, sched.Report{StartedAt: 1, Clock: b.now.Sub(epoch()), Running: []sched.RunStatus{runningRow(o)}})
	for range 30 {
		b.advance(100 * time.Millisecond)
		b.poll(o.Incarnation.ID, sched.Report{Running: []sched.RunStatus{runningRow(o)}})
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
		poll func(b *harness, before time.Time, id string)
		want time.Duration // at most, from the start's end on
	}{
		{"no poll", func(*harness, time.Time, string) {}, 2 * time.Second},
		{"poll from before", func(b *harness, before time.Time, id string) {
			b.core.HandleReport(before, b.now, id, sched.Report{StartedAt: 1, Clock: b.now.Sub(epoch())})
		}, 2 * time.Second},
		{"poll from after", func(b *harness, _ time.Time, id string) { b.poll(id, sched.Report{}) }, 400 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			o := b.core.Plan(b.now)[0]
			before := b.now
			b.advance(answerTimeout)
			b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
			lost := b.now
			b.advance(time.Millisecond)
			tt.poll(b, before, o.Incarnation.ID)
			for b.now.Sub(lost) < 5*time.Second {
				b.advance(20 * time.Millisecond)
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
