package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// A check-in is late because the only worker with room drains. Whoever looks for the reason finds a
// line that says so each time its wait has doubled, not one for each plan.
func TestWaits(t *testing.T) {
	b := newBench(t, 1, 3).open()
	all := members(3)
	all[0].Draining = true
	b.core.Roster(b.now, all)
	for _, id := range []string{"w1", "w2"} {
		b.core.Admit(b.now, one("big-"+id, func(j *sched.Job) { j.Steps[0].Size, j.Steps[0].Label = wire.Size{CPU: 15500, Mem: 1000}, id }))
	}
	reports := map[string]sched.Report{"w0": {}}
	for _, o := range b.plan(sched.VerbStart) {
		reports[o.Life.ID] = sched.Report{Running: []sched.Running{running(o)}}
	}
	b.core.Admit(b.now, one("late", nil))
	var told []sched.Wait
	for range 75 {
		b.after(100 * time.Millisecond)
		for _, m := range all {
			b.poll(m.ID, reports[m.ID])
		}
		b.plan(sched.VerbStart)
		told = append(told, b.core.Waits()...)
	}
	if len(told) != 3 {
		t.Fatalf("told %d times: %+v", len(told), told)
	}
	for i, w := range told {
		if least := time.Second << i; w.Since < least || w.Since >= least+time.Second {
			t.Errorf("told after %s, want %s", w.Since, least)
		}
		w.Since = 0
		if want := (sched.Wait{Job: "late", Tasks: 1, Workers: 3, Closed: 1, Full: 2}); w != want {
			t.Errorf("told %+v, want %+v", w, want)
		}
	}
}
