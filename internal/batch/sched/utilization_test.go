package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Serving tasks declare nearly all processors and use a quarter of them, and books wait for what lies idle. Where they use
// most of it, fewer books may run beside them.
func TestObservedUtilization(t *testing.T) {
	for _, tt := range []struct {
		name  string
		load  float64 // of the serving tasks, of what they declare
		books int     // of three cores each, beside 14 of 16 cores declared
	}{
		{"a quarter", 0.25, 4},
		{"most", 0.65, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 1).openWorkers()
			feed := servingJob("s", "serve")
			feed.Steps[0].Count = 5
			b.core.AddJob(b.now, feed)
			var rows []sched.RunStatus
			for _, o := range b.planOrders(sched.VerbStart) {
				row := runningRow(o)
				row.Progress, row.TailLatency = 100, time.Duration(float64(4*time.Millisecond)/(1-tt.load))
				rows = append(rows, row)
			}
			if len(rows) != 5 {
				t.Fatalf("%d serving tasks placed, want 5", len(rows))
			}
			for range 20 {
				b.advance(600 * time.Millisecond)
				b.poll("w0", sched.Report{Running: rows})
			}
			b.core.AddJob(b.now, bestEffortJob("f", "fill", 3000))
			if got := b.planOrders(sched.VerbStart); len(got) != tt.books {
				t.Errorf("%d books placed, want %d", len(got), tt.books)
			}
		})
	}
}
