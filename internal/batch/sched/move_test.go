package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Guards against an outage of six seconds for a long-running task whenever a worker is replaced. If the task stays on
// the draining worker to the end, it is restarted only after the worker's lease has expired. It must be moved shortly
// before the worker may leave, whatever images the other workers run. Other tasks mostly end in time and are not moved.
func TestDrainingWorker(t *testing.T) {
	for _, tt := range []struct {
		name        string
		image       string        // image of the tasks on the other worker
		longRunning bool          // the task on the draining worker is long-running
		wait        time.Duration // time since the directory showed the worker as draining
		wantMove    bool
	}{
		{"long-running, drain time left", "a", true, 0, false},
		{"long-running, no drain time left", "a", true, 1600 * time.Millisecond, true},
		{"long-running, other image on the other worker, drain time left", "b", true, 0, false},
		{"long-running, other image on the other worker", "b", true, 1600 * time.Millisecond, true},
		{"not long-running", "a", false, 1600 * time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			// This task takes all memory of the second worker, so that the next one is placed on the first.
			b.core.AddJob(b.now, oneTaskJob("big", func(j *sched.Job) { j.Steps[0].Size, j.Steps[0].RequiredLabel = wire.Size{CPU: 1000, Mem: 64000}, "w1" }))
			big := b.planOrders(sched.VerbStart)[0]
			b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.Steps[0].LongRunning, j.Steps[0].Image = tt.longRunning, "a" }))
			first := b.planOrders(sched.VerbStart)[0]
			status := runStatus(first)
			status.Progress = 100
			b.advance(100 * time.Millisecond)
			b.poll("w0", sched.Report{Running: []sched.RunStatus{status}})
			b.poll("w1", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, big, sched.EndDone)}})
			beside := latencyCriticalJob("beside", tt.image)
			beside.Steps[0].Count, beside.Steps[0].RequiredLabel = 2, "w1"
			b.core.AddJob(b.now, beside)
			b.planOrders(sched.VerbStart)

			directory := members(2)
			directory[0].Draining, directory[0].DrainRemaining = true, 2*time.Second
			b.core.UpdateDirectory(b.now, directory)
			b.advance(tt.wait)
			b.core.UpdateDirectory(b.now, directory)
			stops := b.planOrders(sched.VerbStop)
			if (len(stops) == 1) != tt.wantMove {
				t.Fatalf("stops %v, want one if and only if the task is to be moved", stops)
			}
			if !tt.wantMove {
				return
			}
			b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, first, sched.EndStopped)}})
			starts := b.planOrders(sched.VerbStart)
			if len(starts) != 1 || starts[0].Incarnation.ID != "w1" {
				t.Errorf("starts %v after the stop, want one on w1", starts)
			}
		})
	}
}
