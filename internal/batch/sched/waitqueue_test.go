package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against ordering long-running tasks by their jobs' deadlines. A task whose worker is gone waits while all other
// workers are full and new long-running jobs come in. As its own deadline is long over, it would be restarted only after all
// of them.
func TestLongestWaitingRestartFirst(t *testing.T) {
	longRunning := func(id string, at time.Time) *sched.Job {
		return oneTaskJob(id, func(j *sched.Job) {
			j.Steps[0].LongRunning, j.Steps[0].Size.CPU = true, 16000
			j.AcceptedAt, j.DeadlineBase, j.StretchFactor = at, time.Second, 1.5
		})
	}
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, longRunning("old", b.now))
	b.core.AddJob(b.now, longRunning("beside", b.now))
	workers := map[string]sched.Order{}
	for _, o := range b.planOrders(sched.VerbStart) {
		workers[o.Task.Job] = o
	}
	old, beside := workers["old"], workers["beside"]
	for range 20 {
		b.advance(time.Second)
		for _, o := range workers {
			b.poll(o.Incarnation.ID, sched.Report{Running: []sched.RunStatus{runStatus(o)}})
		}
	}
	var all []sched.Member
	for _, m := range members(2) {
		if m.ID != old.Incarnation.ID {
			all = append(all, m)
		}
	}
	b.core.UpdateDirectory(b.now, all)
	b.poll(old.Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRun(1, old, sched.EndStopped)}})
	b.planOrders(sched.VerbStart)
	for _, id := range []string{"new0", "new1"} {
		b.advance(500 * time.Millisecond)
		b.core.AddJob(b.now, longRunning(id, b.now))
		b.planOrders(sched.VerbStart)
	}
	b.core.CancelJob(b.now, "beside")
	b.planOrders(sched.VerbStop)
	b.poll(beside.Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRun(1, beside, sched.EndStopped)}})
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 || got[0].Task.Job != "old" {
		t.Errorf("resources for one task go to %v, want job old, which has waited longest", got)
	}
}

// Guards against a long-running task that is lost with its worker and restarted only after the jobs that came in while the
// worker's lease still ran: the task has stood still for longer than any of them has waited.
func TestInterruptedTaskBeforeNewJobs(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, longRunningJob("lost", 16000, ""))
	b.core.AddJob(b.now, longRunningJob("beside", 16000, ""))
	orders := map[string]sched.Order{}
	for _, o := range b.planOrders(sched.VerbStart) {
		orders[o.Task.Job] = o
		b.poll(o.Incarnation.ID, sched.Report{Running: []sched.RunStatus{runStatus(o)}})
	}
	lost, beside := orders["lost"].Incarnation.ID, orders["beside"].Incarnation.ID
	b.core.PollFailed(b.now, lost, 1)
	for i := range 6 {
		b.advance(time.Second)
		b.poll(beside, sched.Report{Running: []sched.RunStatus{runStatus(orders["beside"])}})
		if i == 0 {
			b.core.AddJob(b.now, longRunningJob("new", 16000, ""))
		}
		if starts := b.planOrders(sched.VerbStart); len(starts) != 0 {
			t.Fatalf("started %v while no worker is free, want none", starts)
		}
	}
	b.core.CancelJob(b.now, "beside")
	b.planOrders(sched.VerbStop)
	b.poll(beside, sched.Report{Finished: []sched.FinishedRun{finishedRun(1, orders["beside"], sched.EndStopped)}})
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 || got[0].Task.Job != "lost" {
		t.Errorf("resources for one task go to %v, want job lost", got)
	}
}
