package interf

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Model holds what has been learned of the interference between best-effort and latency-critical images, and which
// period forecasts the users' loads best. Its zero value is a model without measurements.
type Model struct {
	factors       map[string]*Factors  // by latency-critical image, those that were measured or asked for last
	squaredErrors [periodCount]float64 // decayed sum of squared forecast errors of each candidate period, over all loads
	decayedAt     float64              // time up to which squaredErrors has been decayed, in seconds
	bestPeriod    int                  // index of the candidate period with the least squared error
}

const (
	// maxLatencyCriticalImages bounds the images of which factors are kept.
	maxLatencyCriticalImages = 128
	// unloadedTailShare is the tail latency without load as a share of the target. Where the real share differs, load
	// and factors come out larger or smaller, but the model still holds, as its pressure is a linear function of the
	// real one.
	unloadedTailShare = 1.0 / 6
	// TargetPressure is the pressure at which the tail latency equals its target.
	TargetPressure = 1 - unloadedTailShare
	// saturationPressure is the pressure from which a measurement shows only that the tail latency is far above its
	// target.
	saturationPressure = 0.97
	// maxPressureError is how far a latency-critical task's pressure may be from the expected one.
	maxPressureError = 0.1
	// measurementLag is the age, in seconds, of the middle of the interval that a measurement covers.
	measurementLag = 0.3
)

// pressureFromTail returns the pressure that a measured tail latency shows, or 0 without a measurement or a target.
func pressureFromTail(tail, target time.Duration) float64 {
	if tail <= 0 || target <= 0 {
		return 0
	}
	return max(0, 1-unloadedTailShare*float64(target)/float64(tail))
}

// Factors returns the factors of the best-effort images for a latency-critical image.
func (m *Model) Factors(image string) *Factors {
	f := m.factors[image]
	if f == nil {
		if m.factors == nil {
			m.factors = map[string]*Factors{}
		}
		if len(m.factors) >= maxLatencyCriticalImages {
			m.forgetOldest()
		}
		f = &Factors{updatedAt: m.decayedAt}
		m.factors[image] = f
	}
	return f
}

// forgetOldest forgets the latency-critical image that was measured longest ago.
func (m *Model) forgetOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(m.factors)), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.factors[a].updatedAt, m.factors[b].updatedAt), cmp.Compare(a, b))
	})
	delete(m.factors, oldest)
}

// Dissimilarity returns how much the factors of two latency-critical images differ, from 0 to 1. It is 1 if either
// image has no known factors.
func (m *Model) Dissimilarity(a, b string) float64 {
	f, g := m.Factors(a), m.Factors(b)
	if len(f.images) == 0 || len(g.images) == 0 {
		return 1
	}
	sum := 0.0
	for i, image := range f.images {
		sum += min(1, math.Abs(f.estimates[i]-g.Factor(image)))
	}
	return sum / float64(len(f.images))
}

// Observe updates the model and a load forecast with a measurement, made at a time, of the tail latency of a task of
// a latency-critical image, and the CPU usage of the best-effort images on its worker. The load forecast is that of
// the task's step. A measurement without a tail latency is ignored, and so is one at or above saturationPressure where
// that was expected.
func (m *Model) Observe(at float64, l *LoadForecast, image string, tail, target time.Duration, usage CPUUsage) {
	if tail <= 0 {
		return
	}
	f := m.Factors(image)
	pressure := pressureFromTail(tail, target)
	interference, variance := f.expectedPressure(usage)
	load := l.forecast(at-measurementLag, m.bestPeriod)
	if pressure >= saturationPressure && load+interference >= saturationPressure {
		return
	}
	m.decayErrors(at)
	loadStdDev := l.stdDev(m.bestPeriod)
	l.update(at-measurementLag, pressure-interference, loadMeasurementNoise*loadMeasurementNoise/(loadMeasurementNoise*loadMeasurementNoise+variance), &m.squaredErrors)
	f.update(at, usage, pressure-load-interference, factorMeasurementNoise*factorMeasurementNoise+loadStdDev*loadStdDev)
}

// decayErrors reduces the weight of older forecast errors up to a time, then chooses the period anew.
func (m *Model) decayErrors(at float64) {
	decay := math.Exp(-max(0, at-m.decayedAt) / errorTimeConstant)
	m.decayedAt = max(m.decayedAt, at)
	for i := range m.squaredErrors {
		m.squaredErrors[i] *= decay
	}
	m.choosePeriod()
}

// choosePeriod sets bestPeriod to the candidate period with the least squared error.
func (m *Model) choosePeriod() {
	for i, squaredError := range m.squaredErrors {
		if squaredError < m.squaredErrors[m.bestPeriod] {
			m.bestPeriod = i
		}
	}
}

// ExpectedLoad returns the load forecast for a time.
func (m *Model) ExpectedLoad(l *LoadForecast, at float64) float64 {
	return l.forecast(at, m.bestPeriod)
}

// PeakLoad returns the highest load forecast for the interval of ahead seconds from a time, sampled at its start,
// middle and end.
func (m *Model) PeakLoad(l *LoadForecast, at, ahead float64) float64 {
	peak := 0.0
	for _, offset := range []float64{0, ahead / 2, ahead} {
		peak = max(peak, l.forecast(at+offset, m.bestPeriod))
	}
	return peak
}

// Period returns the period, in seconds, that forecasts the loads best, or 0 if that is the fit without oscillation.
func (m *Model) Period() float64 {
	if angularFrequency[m.bestPeriod] == 0 {
		return 0
	}
	return timeConstant[m.bestPeriod]
}

// OverTargetRisk returns the probability that a task exceeds its latency target if its expected pressure is that much
// above TargetPressure. It isn't capped at 1, as a task far above its target takes longer to recover.
func OverTargetRisk(above float64) float64 {
	return max(0, 0.5+above/(2*maxPressureError))
}
