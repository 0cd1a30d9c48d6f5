package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A shop's feed freezes for six seconds whenever a worker is replaced: the worker says that it
// drains, the feed's task stays there to the end, and is begun anew only when its lease has
// lapsed. What wouldn't end in time is to be moved before: tasks that last, those that save
// their progress shortly before the worker may leave, others at once.
func TestLeavingWorker(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*sched.Job)
		wait   time.Duration // after it was told that the worker drains
		moves  bool
	}{
		{"lasts", func(j *sched.Job) { j.Steps[0].Lasting = true }, 0, true},
		{"saves, time left", func(j *sched.Job) { j.Steps[0].Saves = true }, 0, false},
		{"saves, no time left", func(j *sched.Job) { j.Steps[0].Saves = true }, 1600 * time.Millisecond, true},
		{"ends in time", func(j *sched.Job) { j.Steps[0].Estimate = time.Second }, 0, false},
		{"would be lost", func(*sched.Job) {}, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 1, 2).open()
			b.core.Admit(b.now, one("j", func(j *sched.Job) {
				j.Steps[0].Estimate = 10 * time.Second
				tt.change(j)
			}))
			first := b.plan(sched.VerbStart)[0]
			row := running(first)
			row.Part = 100
			b.after(100 * time.Millisecond)
			b.look(first.Life.ID, sched.Report{Running: []sched.Running{row}})
			all := members(2)
			for i := range all {
				if all[i].ID == first.Life.ID {
					all[i].Draining, all[i].Left = true, 2*time.Second
				}
			}
			b.core.Roster(b.now, all)
			b.after(tt.wait)
			b.core.Roster(b.now, all)
			stops := b.plan(sched.VerbStop)
			if (len(stops) == 1) != tt.moves {
				t.Fatalf("stops: %v", stops)
			}
			if !tt.moves {
				return
			}
			b.look(first.Life.ID, sched.Report{Finished: []sched.Finished{finished(1, first, sched.EndStopped)}})
			again := b.plan(sched.VerbStart)
			if len(again) != 1 || again[0].Life.ID == first.Life.ID {
				t.Errorf("begun anew: %v", again)
			}
		})
	}
}
