package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// A feed whose worker is gone finds no place though its like leave room for it: smaller tasks take all that is freed
// there, bit by bit. Tasks that end have to make way, and on no more workers than are needed.
func TestReservationForLargeTask(t *testing.T) {
	small := sched.Step{Count: 1, Size: wire.Size{CPU: 4000, Mem: 4000}, Estimate: time.Second}
	filling := sched.Step{Count: 1, Size: wire.Size{CPU: 1000, Mem: 16000}, Estimate: time.Second, BestEffort: true, Image: "f"}
	for _, tt := range []struct {
		name  string
		size  wire.Size // of a feed's task
		feeds int
		other sched.Step // what keeps coming
	}{
		{"processors", wire.Size{CPU: 10000, Mem: 1000}, 1, small},
		{"processors, two feeds", wire.Size{CPU: 10000, Mem: 1000}, 2, small},
		{"memory of filling tasks", wire.Size{CPU: 1000, Mem: 40000}, 1, filling},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const (
				workers = 4
				step    = 10 * time.Millisecond
				every   = 50 * time.Millisecond // more than fit
				most    = 3 * time.Second
			)
			b := newHarness(t, 1, workers).openWorkers()
			runs := newTimedRuns(b)
			var began time.Time
			feeds := map[string]string{} // the worker of each
			starts := map[string]int{}   // of other tasks, while feeds wait
			for n := 0; len(feeds) < tt.feeds; n++ {
				now := b.now.Sub(epoch())
				if n%int(every/step) == 0 {
					b.core.AddJob(b.now, oneTaskJob(fmt.Sprintf("j%d", n), func(j *sched.Job) {
						j.Steps[0] = tt.other
						j.AcceptedAt = b.now
					}))
				}
				if began.IsZero() && now > 2*time.Second {
					began = b.now
					for i := range tt.feeds {
						b.core.AddJob(b.now, oneTaskJob(fmt.Sprintf("feed%d", i), func(j *sched.Job) {
							j.Steps[0].LongRunning, j.Steps[0].Size = true, tt.size
							j.AcceptedAt = b.now
						}))
					}
				}
				if !began.IsZero() && b.now.Sub(began) > most {
					t.Fatalf("%d of %d feeds have begun after %v", len(feeds), tt.feeds, most)
				}
				for _, o := range b.planOrders(sched.VerbStart) {
					lasts := time.Second
					switch {
					case strings.HasPrefix(o.Task.Job, "feed"):
						feeds[o.Task.Job] = o.Incarnation.ID
						lasts = time.Hour
					case !began.IsZero():
						starts[o.Incarnation.ID]++
					}
					runs.start(o, lasts)
				}
				runs.poll(func() bool { return now%time.Second < step })
				b.storeChanges()
				b.advance(step)
			}
			for _, id := range feeds {
				delete(starts, id)
			}
			if len(starts) != workers-tt.feeds {
				t.Errorf("other tasks began on %d workers beside the feeds', want %d", len(starts), workers-tt.feeds)
			}
		})
	}
}
