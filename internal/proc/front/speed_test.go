package front

import (
	"testing"
	"time"
)

// Whether a machine counts as slowed depends on how long its processor takes for the fixed computation, not on other
// load. Otherwise, a healthy holder under load would count as slowed and hand over.
func TestSlowdown(t *testing.T) {
	const us = time.Microsecond
	for _, tt := range []struct {
		name    string
		samples [][samplesPerCheck]time.Duration // samples of each check
		want    float64                          // result of the last check
	}{
		{"first check", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}}, 1},
		{"same speed", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {25 * us, 26 * us, 25 * us, 25 * us, 27 * us}}, 1},
		{"at half its clock rate", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {52 * us, 50 * us, 51 * us, 50 * us, 50 * us}}, 1},
		{"six times slower", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {160 * us, 150 * us, 155 * us, 150 * us, 150 * us}}, 6},
		{"load interrupts all samples but one", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {9000 * us, 400 * us, 30 * us, 1000 * us, 300 * us}}, 1},
		{"load during the first check", [][samplesPerCheck]time.Duration{{9000 * us, 300 * us, 500 * us, 400 * us, 600 * us}, {25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {75 * us, 80 * us, 75 * us, 75 * us, 75 * us}}, 3},
		{"clock stood still for two samples of an earlier check", [][samplesPerCheck]time.Duration{{25 * us, 900 * us, 1, 3 * us, 25 * us}, {40 * us, 42 * us, 40 * us, 40 * us, 40 * us}}, 1},
		{"clock stands still for one sample", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {150 * us, 1, 150 * us, 150 * us, 150 * us}}, 1},
		{"recovered", [][samplesPerCheck]time.Duration{{25 * us, 25 * us, 25 * us, 25 * us, 25 * us}, {150 * us, 150 * us, 150 * us, 150 * us, 150 * us}, {30 * us, 30 * us, 30 * us, 30 * us, 30 * us}}, 1},
		{"clock resolution too coarse", [][samplesPerCheck]time.Duration{{}, {0, 0, 0, 0, 0}}, 1},
		{"one tick of a coarse clock", [][samplesPerCheck]time.Duration{{}, {25 * us, 0, 0, 0, 0}, {25 * us, 25 * us, 25 * us, 25 * us, 25 * us}}, 1},
	} {
		var samples []time.Duration
		for _, check := range tt.samples {
			samples = append(samples, check[:]...)
		}
		m := speedMonitor{timeComputation: func() time.Duration {
			took := samples[0]
			samples = samples[1:]
			return took
		}}
		got := 0.0
		for range tt.samples {
			got = m.slowdown()
		}
		if got != tt.want {
			t.Errorf("%s: slowdown %g, want %g", tt.name, got, tt.want)
		}
	}
}
