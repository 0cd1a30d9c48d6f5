package interf

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The load of a latency-critical step must be forecast a second ahead, whether it oscillates or is steady. The period
// isn't known at first, one measurement in twenty is an outlier, and three steps that oscillate with different phases
// share the choice of the period.
func TestLoadForecast(t *testing.T) {
	for _, tt := range []struct {
		name      string
		period    float64 // seconds
		amplitude float64
	}{
		{"period 10 s", 10, 0.24},
		{"period 20 s", 20, 0.24},
		{"between two candidate periods", 13.6, 0.24},
		{"steady", 10, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			truth := func(step int, at float64) float64 {
				return 0.5 + tt.amplitude*math.Sin(2*math.Pi*at/tt.period+2*float64(step))
			}
			var m Model
			loads := []*LoadForecast{NewLoadForecast(0), NewLoadForecast(0), NewLoadForecast(0)}
			var n, sumSquares float64
			for at := 0.0; at < 40; at += 0.2 {
				for i, l := range loads {
					noise := 0.05 * rng.NormFloat64()
					if rng.IntN(20) == 0 {
						noise = 0.3
					}
					l.update(at, truth(i, at)+noise, 1, &m.squaredErrors)
					m.decayErrors(at)
					if at < 20 {
						continue
					}
					residual := l.forecast(at+1, m.bestPeriod) - truth(i, at+1)
					n, sumSquares = n+1, sumSquares+residual*residual
				}
			}
			if rms := math.Sqrt(sumSquares / n); rms > 0.05 {
				t.Errorf("RMS error of the load forecast for a second ahead: %.3f at amplitude %.2f, want 0.05 at most", rms, tt.amplitude)
			}
		})
	}
}

// An outlier must not shift the load forecast in proportion to its residual.
func TestOutlier(t *testing.T) {
	shift := func(residual float64) float64 {
		var squaredErrors [periodCount]float64
		var l LoadForecast
		for i := range 20 {
			l.update(float64(i)/5, priorLoad, 1, &squaredErrors)
		}
		l.update(4, priorLoad+residual, 1, &squaredErrors)
		return l.forecast(4, 0) - priorLoad
	}
	near, far := shift(outlierThreshold*loadMeasurementNoise), shift(4*outlierThreshold*loadMeasurementNoise)
	if near <= 0 || far > 2*near {
		t.Errorf("load forecast shifts by %.4f, and by %.4f with a residual four times as large", near, far)
	}
}
