package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against GANG (ends `alone`) and resources that are held in vain: one start of a gang isn't sent, as it came too
// late to its agent or to be sent at all, and the others run on and wait for it.
func TestGangWithUnsentStart(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.Steps[0].Count, j.Steps[0].Gang = 2, true; j.Steps[0].Size.CPU = 10000 }))
	b.advance(time.Millisecond)
	orders := b.core.Plan(b.now)
	if len(orders) != 2 {
		t.Fatalf("orders %v, want two starts", orders)
	}
	b.core.HandleOutcome(b.now, orders[0], sched.OutcomeDone)
	b.core.HandleOutcome(b.now, orders[1], sched.OutcomeUnsent)
	for range 30 {
		b.advance(100 * time.Millisecond)
		b.poll(orders[0].Incarnation.ID, sched.Report{Running: []sched.RunStatus{runStatus(orders[0])}})
		b.poll(orders[1].Incarnation.ID, sched.Report{})
		if len(b.core.Plan(b.now)) > 0 {
			return
		}
	}
	t.Error("for 3 s neither the missing task is started nor the other one stopped")
}
