package interf

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The load of a serving step is told a second ahead, whether it swings, with which period, or
// is steady. The period isn't known at first, one reading in twenty is far off, and three
// steps with swings of their own share what is learned of it.
func TestLoadForecast(t *testing.T) {
	for _, tt := range []struct {
		name   string
		period float64 // seconds
		swing  float64
	}{
		{"feeds, 10 s", 10, 0.24},
		{"watches, 20 s", 20, 0.24},
		{"between two of the periods tried", 13.6, 0.24},
		{"steady", 10, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			truth := func(step int, at float64) float64 {
				return 0.5 + tt.swing*math.Sin(2*math.Pi*at/tt.period+2*float64(step))
			}
			var m Model
			loads := []*LoadForecast{NewLoadForecast(0), NewLoadForecast(0), NewLoadForecast(0)}
			var n, square float64
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
					miss := l.forecast(at+1, m.bestPeriod) - truth(i, at+1)
					n, square = n+1, square+miss*miss
				}
			}
			if miss := math.Sqrt(square / n); miss > 0.05 {
				t.Errorf("the load a second ahead is off by %.3f, of a swing of %.2f", miss, tt.swing)
			}
		})
	}
}

// A reading far off must not move the load in proportion to its error.
func TestOutlier(t *testing.T) {
	shift := func(error float64) float64 {
		var score [periodCount]float64
		var l LoadForecast
		for i := range 20 {
			l.update(float64(i)/5, priorLoad, 1, &score)
		}
		l.update(4, priorLoad+error, 1, &score)
		return l.forecast(4, 0) - priorLoad
	}
	near, far := shift(outlierThreshold*loadMeasurementNoise), shift(4*outlierThreshold*loadMeasurementNoise)
	if near <= 0 || far > 2*near {
		t.Errorf("the load moves by %.4f, and by %.4f with an error four times as large", near, far)
	}
}
