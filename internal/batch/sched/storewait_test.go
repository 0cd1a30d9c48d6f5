package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against a lease that expires on a healthy worker while the holder waits for the worker's ends to be stored, after
// it has read the report late.
func TestStoreWaitLeavesLease(t *testing.T) {
	for _, tt := range []struct {
		name string
		took time.Duration // from a poll to the handling of its report
		want time.Duration // of the wait
	}{
		{"in time", time.Millisecond, 1400 * time.Millisecond},
		{"late", 3 * time.Second, lease - 3*time.Second - time.Second},
		{"very late", 4 * time.Second, 200 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 1)
			b.core.ConfirmHolder(b.now)
			b.core.HandleReport(b.now, b.now, "w0", sched.Report{StartedAt: 1})
			sent := b.now
			b.core.NextPoll(sent, "w0")
			b.advance(tt.took)
			b.core.HandleReport(sent, b.now, "w0", sched.Report{StartedAt: 1, Clock: tt.took})
			if got := b.core.MaxStoreWait(b.now, "w0"); got != tt.want {
				t.Errorf("a wait of %v, want %v", got, tt.want)
			}
		})
	}
}
