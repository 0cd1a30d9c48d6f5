package stall

import (
	"testing"
	"time"
)

// Guards against requests of unknown age that pass for new: a process that stood still, once or twice in a row, reads what
// arrived meanwhile, before or after its next beat.
func TestMaxAge(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, tt := range []struct {
		name  string
		beats []float64 // seconds
		now   float64
		want  time.Duration
	}{
		{"no beat", nil, 5, 0},
		{"no stall", []float64{0, 0.1, 0.5, 1.2}, 1.3, 0},
		{"before the next beat", []float64{0, 0.1}, 12.1, 12 * time.Second},
		{"after the next beat", []float64{0, 0.1, 12.1}, 12.6, 12500 * time.Millisecond},
		{"all is read", []float64{0, 0.1, 12.1, 12.9, 13.7}, 14.2, 0},
		{"stalled twice", []float64{0, 4, 4.5, 9}, 9, 8500 * time.Millisecond},
		{"stalled again later", []float64{0, 4, 4.9, 5.8, 6.7, 7.6, 8.5, 13.5}, 13.5, 5 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := &Detector{}
			for _, b := range tt.beats {
				d.Beat(at(b))
			}
			if got := d.MaxAge(at(tt.now)); got != tt.want {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}
