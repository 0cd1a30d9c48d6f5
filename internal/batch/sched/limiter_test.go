package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// The number of starts in flight must follow how soon starts are answered. If a holder sends the starts of a thousand
// tasks at once, its CPU needs longer for them than it waits for answers, and runs that have started are taken for lost.
func TestStartsFollowAnswers(t *testing.T) {
	const first = 64 // starts that are sent before any answer
	for _, tt := range []struct {
		name  string
		took  time.Duration // until each answer
		out   sched.Outcome
		plans int
		least int // starts of the last plan, at least
		most  int // and at most
	}{
		{"before any answer", 0, sched.OutcomeDone, 1, first, first},
		{"answered promptly", 5 * time.Millisecond, sched.OutcomeDone, 4, 4 * first, 1000},
		{"answered late", 250 * time.Millisecond, sched.OutcomeDone, 4, 8, first / 4},
		{"not answered", 250 * time.Millisecond, sched.OutcomeUnknown, 4, 8, first / 4},
		{"neither promptly nor late", 100 * time.Millisecond, sched.OutcomeDone, 4, first, first},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 100).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) {
				j.Steps[0].Count, j.Steps[0].Size = 1000, wire.Size{CPU: 100, Mem: 10}
			}))
			n := 0
			for range tt.plans {
				orders := b.core.Plan(b.now)
				n = len(orders)
				for _, o := range orders {
					b.core.CheckSend(b.now, o)
				}
				b.advance(tt.took)
				for _, o := range orders {
					b.core.HandleOutcome(b.now, o, tt.out)
				}
			}
			if n < tt.least || n > tt.most {
				t.Errorf("%d starts in the last of %d plans, want %d to %d", n, tt.plans, tt.least, tt.most)
			}
		})
	}
}

// Workers that don't answer delay the starts on other workers for a moment only.
func TestUnansweredStartsExpire(t *testing.T) {
	b := newHarness(t, 1, 100).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) {
		j.Steps[0].Count, j.Steps[0].Size = 1000, wire.Size{CPU: 100, Mem: 10}
	}))
	if n := len(b.core.Plan(b.now)); n == 0 {
		t.Fatal("no start in the first plan")
	}
	if n := len(b.core.Plan(b.now)); n != 0 {
		t.Errorf("%d more starts while those in flight may still be answered, want none", n)
	}
	b.advance(400 * time.Millisecond)
	if n := len(b.core.Plan(b.now)); n == 0 {
		t.Error("no more starts although those in flight have timed out")
	}
}
