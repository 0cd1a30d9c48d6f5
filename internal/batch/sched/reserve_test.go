package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Guards against a large long-running task that finds no worker, although the other long-running tasks leave enough
// resources: smaller tasks take whatever is freed, bit by bit. Resources have to be reserved for it, on no more workers than
// needed.
func TestReservationForLargeTask(t *testing.T) {
	small := sched.Step{Count: 1, Size: wire.Size{CPU: 4000, Mem: 4000}, Estimate: time.Second}
	bestEffort := sched.Step{Count: 1, Size: wire.Size{CPU: 1000, Mem: 16000}, Estimate: time.Second, BestEffort: true, Image: "f"}
	for _, tt := range []struct {
		name  string
		size  wire.Size  // of a long-running task
		count int        // long-running tasks, one a job
		other sched.Step // of the jobs that keep coming in
	}{
		{"processors", wire.Size{CPU: 10000, Mem: 1000}, 1, small},
		{"processors, two long-running tasks", wire.Size{CPU: 10000, Mem: 1000}, 2, small},
		{"memory of best-effort tasks", wire.Size{CPU: 1000, Mem: 40000}, 1, bestEffort},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const (
				workers = 4
				step    = 10 * time.Millisecond
				every   = 50 * time.Millisecond // between other jobs: more come in than fit
				maxWait = 3 * time.Second
			)
			b := newHarness(t, 1, workers).openWorkers()
			runs := newTimedRuns(b)
			var submitted time.Time
			placed := map[string]string{} // worker of each long-running job
			starts := map[string]int{}    // of other tasks by worker, while long-running ones wait
			for n := 0; len(placed) < tt.count; n++ {
				now := b.now.Sub(epoch())
				if n%int(every/step) == 0 {
					b.core.AddJob(b.now, oneTaskJob(fmt.Sprintf("j%d", n), func(j *sched.Job) {
						j.Steps[0] = tt.other
						j.AcceptedAt = b.now
					}))
				}
				if submitted.IsZero() && now > 2*time.Second {
					submitted = b.now
					for i := range tt.count {
						b.core.AddJob(b.now, oneTaskJob(fmt.Sprintf("long%d", i), func(j *sched.Job) {
							j.Steps[0].LongRunning, j.Steps[0].Size = true, tt.size
							j.AcceptedAt = b.now
						}))
					}
				}
				if !submitted.IsZero() && b.now.Sub(submitted) > maxWait {
					t.Fatalf("%d of %d long-running tasks have started after %v", len(placed), tt.count, maxWait)
				}
				for _, o := range b.planOrders(sched.VerbStart) {
					lasts := time.Second
					switch {
					case strings.HasPrefix(o.Task.Job, "long"):
						placed[o.Task.Job] = o.Incarnation.ID
						lasts = time.Hour
					case !submitted.IsZero():
						starts[o.Incarnation.ID]++
					}
					runs.start(o, lasts)
				}
				runs.poll(func() bool { return now%time.Second < step })
				b.storeChanges()
				b.advance(step)
			}
			for _, id := range placed {
				delete(starts, id)
			}
			if len(starts) != workers-tt.count {
				t.Errorf("other tasks started on %d workers besides those of the long-running tasks, want %d", len(starts), workers-tt.count)
			}
		})
	}
}
