package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// A shop's feed freezes for six seconds whenever a worker is replaced: the worker says that it
// drains, the feed's task stays there to the end, and is begun anew only when its lease has
// lapsed. Shortly before the worker may leave it's to be moved to one where its like serve;
// certificates in print, which mostly end in time, aren't.
func TestDrainingWorker(t *testing.T) {
	for _, tt := range []struct {
		name  string
		image string // of the feeds on the other worker
		lasts bool
		wait  time.Duration // after it was told that the worker drains
		moves bool
	}{
		{"feed, time left", "a", true, 0, false},
		{"feed, no time left", "a", true, 1600 * time.Millisecond, true},
		{"feed, only beside others", "b", true, 1600 * time.Millisecond, false},
		{"certificate", "a", false, 1600 * time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			// The only task on the second worker leaves no room there at first.
			b.core.AddJob(b.now, oneTaskJob("big", func(j *sched.Job) { j.Steps[0].Size, j.Steps[0].RequiredLabel = wire.Size{CPU: 1000, Mem: 64000}, "w1" }))
			big := b.planOrders(sched.VerbStart)[0]
			b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.Steps[0].LongRunning, j.Steps[0].Image = tt.lasts, "a" }))
			first := b.planOrders(sched.VerbStart)[0]
			row := runningRow(first)
			row.Progress = 100
			b.advance(100 * time.Millisecond)
			b.poll("w0", sched.Report{Running: []sched.RunStatus{row}})
			b.poll("w1", sched.Report{Finished: []sched.FinishedRun{finishedRow(1, big, sched.EndDone)}})
			beside := servingJob("beside", tt.image)
			beside.Steps[0].Count, beside.Steps[0].RequiredLabel = 2, "w1"
			b.core.AddJob(b.now, beside)
			b.planOrders(sched.VerbStart)

			all := members(2)
			all[0].Draining, all[0].DrainRemaining = true, 2*time.Second
			b.core.UpdateDirectory(b.now, all)
			b.advance(tt.wait)
			b.core.UpdateDirectory(b.now, all)
			stops := b.planOrders(sched.VerbStop)
			if (len(stops) == 1) != tt.moves {
				t.Fatalf("stops: %v", stops)
			}
			if !tt.moves {
				return
			}
			b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRow(1, first, sched.EndStopped)}})
			again := b.planOrders(sched.VerbStart)
			if len(again) != 1 || again[0].Incarnation.ID != "w1" {
				t.Errorf("begun anew: %v", again)
			}
		})
	}
}
