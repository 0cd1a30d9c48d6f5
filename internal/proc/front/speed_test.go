package front

import (
	"testing"
	"time"
)

// A machine counts as slowed by what the fixed computation takes of its processor, not by what else the processor
// does: under load a sound holder would take itself for slowed, and hand over.
func TestSlowdown(t *testing.T) {
	const us = time.Microsecond
	for _, tt := range []struct {
		name string
		took [][samplesPerCheck]time.Duration // look by look
		want float64                          // at the last one
	}{
		{"first look", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}}, 1},
		{"as fast as ever", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {25 * us, 26 * us, 25 * us, 25 * us, 27 * us}}, 1},
		{"at half its clock rate", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {52 * us, 50 * us, 51 * us, 50 * us, 50 * us}}, 1},
		{"six times slower", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {160 * us, 150 * us, 155 * us, 150 * us, 150 * us}}, 6},
		{"load breaks into all tries but one", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {9000 * us, 400 * us, 30 * us, 1000 * us, 300 * us}}, 1},
		{"load at the first look", [][samplesPerCheck]time.Duration{{9000 * us, 300 * us, 500 * us, 400 * us, 600 * us}, {25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {75 * us, 80 * us, 75 * us, 75 * us, 75 * us}}, 3},
		{"the clock stood still for two tries", [][samplesPerCheck]time.Duration{{25 * us, 900 * us, 1, 3 * us, 25 * us}, {40 * us, 42 * us, 40 * us, 40 * us, 40 * us}}, 1},
		{"the clock stands still now", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {150 * us, 1, 150 * us, 150 * us, 150 * us}}, 1},
		{"fast again", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {150 * us, 150 * us, 150 * us, 150 * us, 150 * us}, {30 * us, 30 * us, 30 * us, 30 * us, 30 * us}}, 1},
		{"a clock without steps as short", [][samplesPerCheck]time.Duration{{}, {0, 0, 0, 0, 0}}, 1},
		{"a step of such a clock", [][samplesPerCheck]time.Duration{{}, {25 * us, 0, 0, 0, 0}, {25 * us, 25 * us, 25 * us, 25 * us, 25 * us}}, 1},
	} {
		var all []time.Duration
		for _, look := range tt.took {
			all = append(all, look[:]...)
		}
		p := speedMonitor{timeComputation: func() time.Duration {
			took := all[0]
			all = all[1:]
			return took
		}}
		got := 0.0
		for range tt.took {
			got = p.slowdown()
		}
		if got != tt.want {
			t.Errorf("%s: %g times slower, want %g", tt.name, got, tt.want)
		}
	}
}
