package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// A holder has a thousand tasks to start and sends all orders at once: its processor needs longer for them than it waits
// for answers, and runs that began are taken for lost. How many leave has to follow how soon they are answered.
func TestStartsFollowAnswers(t *testing.T) {
	const first = 64 // starts that leave before any answer
	for _, tt := range []struct {
		name  string
		took  time.Duration // until each answer
		out   sched.Outcome
		turns int
		least int // starts in the last turn
		most  int
	}{
		{"before any answer", 0, sched.OutcomeDone, 1, first, first},
		{"answered promptly", 5 * time.Millisecond, sched.OutcomeDone, 4, 4 * first, 1000},
		{"answered late", 250 * time.Millisecond, sched.OutcomeDone, 4, 8, first / 4},
		{"not answered by workers", 250 * time.Millisecond, sched.OutcomeUnknown, 4, 8, first / 4},
		{"neither early nor late", 100 * time.Millisecond, sched.OutcomeDone, 4, first, first},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 100).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) {
				j.Steps[0].Count, j.Steps[0].Size = 1000, wire.Size{CPU: 100, Mem: 10}
			}))
			n := 0
			for range tt.turns {
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
				t.Errorf("%d starts in the last of %d turns, want %d to %d", n, tt.turns, tt.least, tt.most)
			}
		})
	}
}

// Workers that leave orders unanswered hold up the starts on others for a moment only.
func TestUnansweredStartsExpire(t *testing.T) {
	b := newHarness(t, 1, 100).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) {
		j.Steps[0].Count, j.Steps[0].Size = 1000, wire.Size{CPU: 100, Mem: 10}
	}))
	if n := len(b.core.Plan(b.now)); n == 0 {
		t.Fatal("no start")
	}
	if n := len(b.core.Plan(b.now)); n != 0 {
		t.Errorf("%d further starts while those under way may be answered", n)
	}
	b.advance(400 * time.Millisecond)
	if n := len(b.core.Plan(b.now)); n == 0 {
		t.Error("no further start though those under way aren't answered")
	}
}
