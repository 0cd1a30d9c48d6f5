package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against stopping and restarting a long-running task that has just started. The answer to its start comes too
// late for a busy holder, which sends a stop before the poll in flight can report the run.
func TestUnansweredStartIsKept(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("feed", func(j *sched.Job) { j.Steps[0].LongRunning = true }))
	o := b.core.Plan(b.now)[0]
	sent := b.now // time of the poll in flight, which waits for a run to end
	b.core.NextPoll(b.now, o.Incarnation.ID)
	b.advance(answerTimeout)
	b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
	for range 8 {
		b.advance(100 * time.Millisecond)
		if got := b.core.Plan(b.now); len(got) != 0 {
			t.Fatalf("orders %v before a poll could report the run", got)
		}
	}
	b.core.HandleReport(sent, b.now, o.Incarnation.ID, sched.Report{StartedAt: 1, Clock: b.now.Sub(epoch()), Running: []sched.RunStatus{runStatus(o)}})
	for range 30 {
		b.advance(100 * time.Millisecond)
		b.poll(o.Incarnation.ID, sched.Report{Running: []sched.RunStatus{runStatus(o)}})
		if got := b.core.Plan(b.now); len(got) != 0 {
			t.Fatalf("orders %v although the run was reported", got)
		}
	}
}

// Guards against a long wait of a task whose start was lost. The stop that precedes the next start waits only until a
// poll sent after the timeout of the start shows that the run is absent, or for 2 s if no such poll is answered.
func TestLostStartIsStopped(t *testing.T) {
	for _, tt := range []struct {
		name string
		poll func(b *harness, sent time.Time, id string)
		most time.Duration // maximum delay of the stop after the start timed out
	}{
		{"no poll answered", func(*harness, time.Time, string) {}, 2 * time.Second},
		{"poll sent before the timeout", func(b *harness, sent time.Time, id string) {
			b.core.HandleReport(sent, b.now, id, sched.Report{StartedAt: 1, Clock: b.now.Sub(epoch())})
		}, 2 * time.Second},
		{"poll sent after the timeout", func(b *harness, _ time.Time, id string) { b.poll(id, sched.Report{}) }, 400 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			o := b.core.Plan(b.now)[0]
			sent := b.now
			b.advance(answerTimeout)
			b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
			timedOut := b.now
			b.advance(time.Millisecond)
			tt.poll(b, sent, o.Incarnation.ID)
			for b.now.Sub(timedOut) < 5*time.Second {
				b.advance(20 * time.Millisecond)
				got := b.core.Plan(b.now)
				if len(got) == 0 {
					continue
				}
				if delay := b.now.Sub(timedOut); got[0].Verb != sched.VerbStop || delay > tt.most {
					t.Errorf("%s order after %v, want a stop after at most %v", got[0].Verb, delay, tt.most)
				}
				return
			}
			t.Error("no stop within 5 s")
		})
	}
}
