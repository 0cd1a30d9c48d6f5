package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Serving tasks declare nearly all processors and use a quarter of them, and books wait for what lies idle. Where they use
// most of it, fewer books may run beside them.
func TestObservedLoad(t *testing.T) {
	for _, tt := range []struct {
		name  string
		load  float64 // of the serving tasks, of what they declare
		books int     // of three cores each, beside 14 of 16 cores declared
	}{
		{"a quarter", 0.25, 4},
		{"most", 0.65, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 1, 1).open()
			feed := serving("s", "serve")
			feed.Steps[0].Count = 5
			b.core.Admit(b.now, feed)
			var rows []sched.Running
			for _, o := range b.plan(sched.VerbStart) {
				row := running(o)
				row.Part, row.Tail = 100, time.Duration(float64(4*time.Millisecond)/(1-tt.load))
				rows = append(rows, row)
			}
			if len(rows) != 5 {
				t.Fatalf("%d serving tasks placed, want 5", len(rows))
			}
			for range 20 {
				b.after(600 * time.Millisecond)
				b.poll("w0", sched.Report{Running: rows})
			}
			b.core.Admit(b.now, filling("f", "fill", 3000))
			if got := b.plan(sched.VerbStart); len(got) != tt.books {
				t.Errorf("%d books placed, want %d", len(got), tt.books)
			}
		})
	}
}
