package sched

import (
	"testing"
	"time"
)

// Guards against agents provided for what the present ones can start: tasks that are held back count, and a pause in the
// load doesn't end the demand.
func TestStartDemand(t *testing.T) {
	now := time.Unix(0, 0)
	var d startDemand
	d.update(now, 0)
	step := func(seconds, sentPerSecond, held int) {
		for range seconds {
			for range sentPerSecond {
				d.recordSent(500)
			}
			now = now.Add(time.Second)
			d.update(now, held)
		}
	}
	for _, tt := range []struct {
		name                         string
		seconds, sentPerSecond, held int
		least, max                   float64
	}{
		{"few starts", 5, 100, 0, 99, 101},
		{"as many sent, others held back", 1, 100, 900, 999, 1001},
		{"a pause", 5, 0, 0, 800, 900},
		{"half a minute later", 30, 0, 0, 250, 350},
		{"more starts", 1, 3000, 0, 2999, 3001},
	} {
		step(tt.seconds, tt.sentPerSecond, tt.held)
		if got := d.rate(now); got < tt.least || got > tt.max {
			t.Errorf("%s: %.0f starts a second, want %.0f to %.0f", tt.name, got, tt.least, tt.max)
		}
	}
	if d.specBytes != 500 {
		t.Errorf("specifications of %.0f bytes, want 500", d.specBytes)
	}
}
