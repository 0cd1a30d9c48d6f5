package interf

import (
	"math"
	"time"
)

// Model is what has been learned of how filling images disturb serving ones. Its zero value has learned nothing.
type Model struct {
	factors       map[string]*Factors  // by serving image
	squaredErrors [periodCount]float64 // squared errors of the loads' forecasts with each period
	decayedAt     float64              // seconds; as of when score is
	bestPeriod    int                  // with the least score
}

const (
	// unloadedTailShare is the share of its target that a tail without any load takes. Where it's another, load and factors
	// come out larger or smaller, and the model still holds: its pressure is a straight line of the true one.
	unloadedTailShare = 1.0 / 6
	// TargetPressure is the pressure at which a tail is at its target.
	TargetPressure = 1 - unloadedTailShare
	// saturationPressure is where a reading says no more than "far over".
	saturationPressure = 0.97
	// maxPressureError is how far a serving task's pressure may be from what is expected.
	maxPressureError = 0.1
	// measurementLag is how long ago, in seconds, the middle of what a reading covers is.
	measurementLag = 0.3
)

// pressureFromTail returns the pressure that a tail shows.
func pressureFromTail(tail, target time.Duration) float64 {
	if tail <= 0 || target <= 0 {
		return 0
	}
	return max(0, 1-unloadedTailShare*float64(target)/float64(tail))
}

// Factors returns the factors of the filling images for a serving one.
func (m *Model) Factors(serve string) *Factors {
	f := m.factors[serve]
	if f == nil {
		if m.factors == nil {
			m.factors = map[string]*Factors{}
		}
		f = &Factors{}
		m.factors[serve] = f
	}
	return f
}

// Dissimilarity returns how much the factors of two serving images differ, from 0 to 1; 1 where they aren't known.
func (m *Model) Dissimilarity(a, b string) float64 {
	f, g := m.Factors(a), m.Factors(b)
	if len(f.images) == 0 || len(g.images) == 0 {
		return 1
	}
	sum := 0.0
	for i, fill := range f.images {
		sum += min(1, math.Abs(f.estimates[i]-g.Factor(fill)))
	}
	return sum / float64(len(f.images))
}

// Observe takes a reading, made at a time, of a serving image's tail beside what filling images use. The load is that
// of the step to which the reading's task belongs.
func (m *Model) Observe(at float64, l *LoadForecast, serve string, tail, target time.Duration, use CPUUsage) {
	if tail <= 0 {
		return
	}
	f := m.Factors(serve)
	got := pressureFromTail(tail, target)
	fill, unsure := f.expectedPressure(use)
	load := l.forecast(at-measurementLag, m.bestPeriod)
	if got >= saturationPressure && load+fill >= saturationPressure {
		return
	}
	m.decayErrors(at)
	spread := l.stdDev(m.bestPeriod)
	l.update(at-measurementLag, got-fill, loadMeasurementNoise*loadMeasurementNoise/(loadMeasurementNoise*loadMeasurementNoise+unsure), &m.squaredErrors)
	f.update(at, use, got-load-fill, factorMeasurementNoise*factorMeasurementNoise+spread*spread)
}

// decayErrors has older errors of the periods count less.
func (m *Model) decayErrors(at float64) {
	x := math.Exp(-max(0, at-m.decayedAt) / errorTimeConstant)
	m.decayedAt = max(m.decayedAt, at)
	for i := range m.squaredErrors {
		m.squaredErrors[i] *= x
	}
	m.choosePeriod()
}

// choosePeriod takes the period with the least score.
func (m *Model) choosePeriod() {
	for i, score := range m.squaredErrors {
		if score < m.squaredErrors[m.bestPeriod] {
			m.bestPeriod = i
		}
	}
}

// ExpectedLoad returns the load expected at a time.
func (m *Model) ExpectedLoad(l *LoadForecast, at float64) float64 {
	return l.forecast(at, m.bestPeriod)
}

// PeakLoad returns the most load expected from a time on, for some seconds ahead.
func (m *Model) PeakLoad(l *LoadForecast, at, ahead float64) float64 {
	most := 0.0
	for _, x := range []float64{0, ahead / 2, ahead} {
		most = max(most, l.forecast(at+x, m.bestPeriod))
	}
	return most
}

// Period returns the period, in seconds, with which the loads are forecast best, or 0 if they are steady.
func (m *Model) Period() float64 {
	if angularFrequency[m.bestPeriod] == 0 {
		return 0
	}
	return timeConstant[m.bestPeriod]
}

// OverTargetRisk returns the chance that a task is over its target whose pressure is expected to be that much
// above TargetPressure. It goes on rising above 1: what is far over takes longer to come back.
func OverTargetRisk(above float64) float64 {
	return max(0, 0.5+above/(2*maxPressureError))
}
