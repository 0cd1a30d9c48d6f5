package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// A job is late because the only worker with free resources is draining. That is reported each time its wait has doubled,
// not with each plan.
func TestUnplacedSteps(t *testing.T) {
	b := newHarness(t, 1, 3).openWorkers()
	all := members(3)
	all[0].Draining = true
	b.core.UpdateDirectory(b.now, all)
	for _, id := range []string{"w1", "w2"} {
		b.core.AddJob(b.now, oneTaskJob("big-"+id, func(j *sched.Job) { j.Steps[0].Size, j.Steps[0].RequiredLabel = wire.Size{CPU: 15500, Mem: 1000}, id }))
	}
	reports := map[string]sched.Report{"w0": {}}
	for _, o := range b.planOrders(sched.VerbStart) {
		reports[o.Incarnation.ID] = sched.Report{Running: []sched.RunStatus{runStatus(o)}}
	}
	b.core.AddJob(b.now, oneTaskJob("late", nil))
	var reported []sched.UnplacedStep
	for range 75 {
		b.advance(100 * time.Millisecond)
		for _, m := range all {
			b.poll(m.ID, reports[m.ID])
		}
		b.planOrders(sched.VerbStart)
		reported = append(reported, b.core.TakeUnplacedSteps()...)
	}
	if len(reported) != 3 {
		t.Fatalf("reported %d times, want 3: %+v", len(reported), reported)
	}
	for i, w := range reported {
		if least := time.Second << i; w.Waited < least || w.Waited >= least+time.Second {
			t.Errorf("reported after %s, want from %s", w.Waited, least)
		}
		w.Waited = 0
		if want := (sched.UnplacedStep{Job: "late", Tasks: 1, Workers: 3, Unavailable: 1, NoResources: 2}); w != want {
			t.Errorf("reported %+v, want %+v", w, want)
		}
	}
}

// Guards against a report that doesn't tell a long-running task which only waits for other tasks to end from one for which
// the long-running tasks leave no place anywhere.
func TestUnplacedFitsBeside(t *testing.T) {
	b := newHarness(t, 1, 3).openWorkers()
	b.core.AddJob(b.now, longRunningJob("long-w0", 10000, "w0"))
	for _, id := range []string{"w1", "w2"} {
		b.core.AddJob(b.now, oneTaskJob("big-"+id, func(j *sched.Job) { j.Steps[0].Size, j.Steps[0].RequiredLabel = wire.Size{CPU: 15500, Mem: 1000}, id }))
	}
	reports := map[string]sched.Report{}
	for _, o := range b.planOrders(sched.VerbStart) {
		reports[o.Incarnation.ID] = sched.Report{Running: []sched.RunStatus{runStatus(o)}}
	}
	b.core.AddJob(b.now, longRunningJob("late", 10000, ""))
	for range 12 {
		b.advance(100 * time.Millisecond)
		for _, m := range members(3) {
			b.poll(m.ID, reports[m.ID])
		}
		b.planOrders(sched.VerbStart)
	}
	reported := b.core.TakeUnplacedSteps()
	if len(reported) != 1 || reported[0].NoResources != 3 || reported[0].FitsBeside != 2 {
		t.Errorf("reported %+v, want one step that 3 workers lack the resources for and that fits beside the long-running tasks on 2", reported)
	}
}
