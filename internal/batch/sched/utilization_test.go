package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Latency-critical tasks declare nearly all CPU. If they use a quarter of it, best-effort tasks are placed on the unused
// CPU; if they use most of it, fewer of them are.
func TestObservedUtilization(t *testing.T) {
	for _, tt := range []struct {
		name string
		load float64 // share of their declared CPU that the latency-critical tasks use
		want int     // best-effort tasks of three cores each, beside 14 of 16 cores declared
	}{
		{"a quarter", 0.25, 4},
		{"most", 0.65, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 1).openWorkers()
			critical := latencyCriticalJob("s", "serve")
			critical.Steps[0].Count = 5
			b.core.AddJob(b.now, critical)
			var rows []sched.RunStatus
			for _, o := range b.planOrders(sched.VerbStart) {
				status := runStatus(o)
				status.Progress, status.TailLatency = 100, time.Duration(float64(4*time.Millisecond)/(1-tt.load))
				rows = append(rows, status)
			}
			if len(rows) != 5 {
				t.Fatalf("%d latency-critical tasks placed, want 5", len(rows))
			}
			for range 20 {
				b.advance(600 * time.Millisecond)
				b.poll("w0", sched.Report{Running: rows})
			}
			b.core.AddJob(b.now, bestEffortJob("f", "fill", 3000))
			if got := b.planOrders(sched.VerbStart); len(got) != tt.want {
				t.Errorf("%d best-effort tasks placed, want %d", len(got), tt.want)
			}
		})
	}
}
