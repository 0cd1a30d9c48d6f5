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

// Guards against a task that stands still for good: it uses no CPU and makes no progress, and no order follows.
func TestPausedRunOfFormerHolder(t *testing.T) {
	b := newHarness(t, 2, 2)
	if err := b.core.RestoreJob(b.now, "old", oneTaskJob("old", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.InheritWorkers(b.now, members(2))
	orders := 0
	for range 60 {
		b.poll("w0", sched.Report{Running: []sched.RunStatus{{Task: "old.0.0.0", Run: 1_000_001, CPUUsage: 0, Progress: 10}}})
		b.poll("w1", sched.Report{})
		orders += len(b.planOrders(sched.VerbThrottle)) + len(b.planOrders(sched.VerbStop))
		b.advance(time.Second)
	}
	if orders == 0 {
		t.Error("no order in 60 s for a run that stands still")
	}
}

// Guards against a job that waits for good for its only task, on a worker on which it stands still.
func TestStalledRun(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*sched.Job)
		use    float64 // millicores
		step   int     // progress from report to report, percent
		want   int     // stops within 6 s
	}{
		{"stands still", nil, 0, 0, 1},
		{"takes long", nil, 1000, 0, 0},
		{"makes progress", nil, 0, 1, 0},
		{"long-running", func(j *sched.Job) { j.Steps[0].LongRunning = true }, 0, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", tt.change))
			o := b.planOrders(sched.VerbStart)[0]
			stops := 0
			status := runStatus(o)
			for range 12 {
				status.CPUUsage = tt.use
				status.Progress += tt.step
				b.poll(o.Incarnation.ID, sched.Report{Running: []sched.RunStatus{status}})
				stops += len(b.planOrders(sched.VerbStop))
				b.advance(500 * time.Millisecond)
			}
			if stops != tt.want {
				t.Errorf("%d stops, want %d", stops, tt.want)
			}
		})
	}
}

// Guards against a task that is moved again and again: it waits for longer than a run may be idle.
func TestWaitingTaskIsNotMovedForGood(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.planOrders(sched.VerbStart)[0]
	const wait = 10 * time.Second
	startedAt, starts, ends := b.now, 1, map[string]int64{}
	for startedAt.Add(wait).After(b.now) {
		if starts > 5 {
			t.Fatalf("%d starts, want at most 5", starts)
		}
		for _, w := range []string{"w0", "w1"} {
			rep := sched.Report{}
			if w == o.Incarnation.ID {
				rep.Running = []sched.RunStatus{runStatus(o)}
			}
			b.poll(w, rep)
		}
		if stops := b.planOrders(sched.VerbStop); len(stops) > 0 {
			id := o.Incarnation.ID
			ends[id]++
			b.poll(id, sched.Report{Finished: []sched.FinishedRun{finishedRun(ends[id], o, sched.EndStopped)}})
			next := b.planOrders(sched.VerbStart)
			if len(next) != 1 {
				t.Fatalf("starts %v after the stop, want one", next)
			}
			o, startedAt, starts = next[0], b.now, starts+1
		}
		b.advance(500 * time.Millisecond)
	}
}
