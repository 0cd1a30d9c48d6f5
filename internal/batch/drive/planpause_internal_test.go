package drive

import (
	"testing"
	"time"
)

// Guards against tasks that wait though the start limiter allows more: a plan that it ended is followed by a pause of nine times
// its length, which bounds the starts a second.
func TestPlanPause(t *testing.T) {
	for _, tt := range []struct {
		name    string
		took    time.Duration
		limited bool
		want    time.Duration
	}{
		{"short", 10 * time.Microsecond, false, minPlanPause},
		{"a tenth of the time at most", 30 * time.Millisecond, false, 270 * time.Millisecond},
		{"a third of the time while starts are held back", 30 * time.Millisecond, true, 60 * time.Millisecond},
		{"waited for the processor", time.Second, false, maxPlanPause},
		{"waited for the processor, starts held back", time.Second, true, maxPlanPause},
	} {
		if got := planPause(tt.took, tt.limited); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
