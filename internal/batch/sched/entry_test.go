package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against a long-running task that stands still for want of room: its worker drains, and room for it is reserved on a worker
// that has lost the label it requires, or is back as another kind, while others fill the worker that could take it.
func TestRelocationToOtherKind(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(b *harness, dest *sched.Member)
	}{
		{"label removed", func(b *harness, dest *sched.Member) { b.core.UpdateMembers(b.now, []sched.Member{*dest}, nil) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 3)
			directory := members(3)
			for i := range directory {
				directory[i].Labels = []string{"big"}
			}
			b.core.UpdateDirectory(b.now, directory)
			b.openWorkers()
			b.core.AddJob(b.now, longRunningJob("long", 10000, "big"))
			o := b.planOrders(sched.VerbStart)[0]
			b.poll("w0", sched.Report{Running: []sched.RunStatus{runStatus(o)}})
			directory[0].Draining, directory[0].DrainRemaining = true, 4*time.Second
			b.core.UpdateDirectory(b.now, directory)
			b.planOrders(sched.VerbStart) // reserves the room on w1
			directory[1].Labels = nil
			tt.change(b, &directory[1])
			b.core.AddJob(b.now, longRunningJob("other", 16000, ""))
			for range 80 {
				for i, m := range directory {
					rep := sched.Report{StartedAt: m.StartedAt}
					if i == 0 {
						rep.Running = []sched.RunStatus{runStatus(o)}
					}
					b.poll(m.ID, rep)
				}
				if len(b.planOrders(sched.VerbStop)) > 0 {
					break
				}
				b.advance(50 * time.Millisecond)
			}
			b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, o, sched.EndStopped)}})
			if got := b.planOrders(sched.VerbStart); len(got) != 1 || got[0].Task.Job != "long" || got[0].Incarnation.ID != "w2" {
				t.Errorf("starts %v, want the long-running task on w2", got)
			}
		})
	}
}
