package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against a job that waits for one task on a worker that has become slow or makes no progress, while its other
// tasks finished long ago.
func TestStraggler(t *testing.T) {
	for _, tt := range []struct {
		name         string
		progress     int // progress of the last task in percent after three times the duration of the others
		checkpointed bool
		want         bool // the task is restarted on the other worker
	}{
		{"no progress", 0, false, true},
		{"a fifth of the usual speed", 60, false, false},
		{"a tenth of the usual speed", 30, false, true},
		{"nearly done", 95, false, false},
		{"checkpointed, a fifth of the usual speed", 60, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) {
				j.Steps[0].Count, j.Steps[0].Checkpointed = 4, tt.checkpointed
			}))
			orders := b.planOrders(sched.VerbStart)
			if len(orders) != 4 {
				t.Fatalf("%d starts, want 4", len(orders))
			}
			slow := orders[0]
			b.advance(time.Second)
			ends := map[string][]sched.FinishedRun{}
			for _, o := range orders[1:] {
				id := o.Incarnation.ID
				ends[id] = append(ends[id], finishedRun(int64(len(ends[id])+1), o, sched.EndDone))
			}
			status := runStatus(slow)
			status.Progress = tt.progress
			for range 4 {
				for _, id := range []string{"w0", "w1"} {
					rep := sched.Report{Finished: ends[id]}
					if id == slow.Incarnation.ID {
						rep.Running = []sched.RunStatus{status}
					}
					b.poll(id, rep)
				}
				b.advance(500 * time.Millisecond)
			}
			stops := b.planOrders(sched.VerbStop)
			if got := len(stops) == 1 && stops[0].Task == slow.Task; got != tt.want {
				t.Fatalf("stops %v, want the slow task stopped: %v", stops, tt.want)
			}
			if !tt.want {
				return
			}
			b.poll(slow.Incarnation.ID, sched.Report{Finished: append(ends[slow.Incarnation.ID], finishedRun(int64(len(ends[slow.Incarnation.ID])+1), slow, sched.EndStopped))})
			starts := b.planOrders(sched.VerbStart)
			if len(starts) != 1 || starts[0].Incarnation.ID != otherWorker(slow) {
				t.Errorf("starts %v, want one on %s", starts, otherWorker(slow))
			}
		})
	}
}
