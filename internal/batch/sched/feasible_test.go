package sched_test

import (
	"testing"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against counting a worker without a rack as two feasible workers: it would get more tasks of a step than
// MaxPerWorker.
func TestMaxPerWorkerWithoutRack(t *testing.T) {
	b := newHarness(t, 1, 1)
	all := members(1)
	all[0].Rack = ""
	b.core.UpdateDirectory(b.now, all)
	b.openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.Steps[0].Count, j.Steps[0].MaxPerWorker = 3, 1 }))
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("%d starts, want 1", len(got))
	}
}
