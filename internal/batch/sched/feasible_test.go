package sched_test

import (
	"testing"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A worker that names no rack is taken for two, and gets more tasks of a step than may run on one.
func TestApartWithoutRack(t *testing.T) {
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
