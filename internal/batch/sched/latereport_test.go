package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against leases that expire on healthy workers because a holder that reads each report seconds late grants them by
// the clock that the report shows.
func TestLateReportKeepsLease(t *testing.T) {
	for _, tt := range []struct {
		name  string
		rate  float64       // of the worker's clock
		took  time.Duration // from each poll to the handling of its report
		delay time.Duration // from the worker's answer to the handling
		reset bool          // the clock starts anew at the first of the polls
		least time.Duration // of the lease that the next poll grants
	}{
		{"in time", 1, 1400 * time.Millisecond, 0, false, lease},
		{"late", 1, 3400 * time.Millisecond, 2 * time.Second, false, lease * 94 / 100},
		{"late, slow clock", 0.98, 3400 * time.Millisecond, 2 * time.Second, false, lease * 99 / 100},
		{"late, clock starts anew", 1, 3400 * time.Millisecond, 2 * time.Second, true, lease - 2*time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 1)
			b.advance(20 * time.Second)
			start := epoch()
			clock := func() time.Duration { return time.Duration(float64(b.now.Sub(start)) * tt.rate) }
			b.core.HandleReport(b.now, b.now, "w0", sched.Report{StartedAt: 1, Clock: clock()})
			if tt.reset {
				start = b.now
			}
			for range 4 {
				sent := b.now
				b.core.NextPoll(sent, "w0")
				b.advance(tt.took - tt.delay)
				rep := sched.Report{StartedAt: 1, Clock: clock()}
				b.advance(tt.delay)
				b.core.HandleReport(sent, b.now, "w0", rep)
				req, _ := b.core.NextPoll(b.now, "w0")
				if got := req.LeaseUntil - clock(); got < tt.least-time.Millisecond || got > lease {
					t.Errorf("a lease of %v, want %v to %v", got, tt.least, lease)
				}
			}
		})
	}
}
