package interf

import (
	"math"
	"time"
)

// Model is what has been learned of how filling images disturb serving ones. Its zero value has learned nothing.
type Model struct {
	pairs  map[string]*Factors // by serving image
	score  [periods]float64    // squared errors of the loads' forecasts with each period
	scored float64             // seconds; as of when score is
	period int                 // with the least score
}

const (
	// restShare is the share of its target that a tail without any load takes. Where it's another, load and factors
	// come out larger or smaller, and the model still holds: its pressure is a straight line of the true one.
	restShare = 1.0 / 6
	// TargetPressure is the pressure at which a tail is at its target.
	TargetPressure = 1 - restShare
	// fullPressure is where a reading says no more than "far over".
	fullPressure = 0.97
	// pressureSpread is how far a serving task's pressure may be from what is expected.
	pressureSpread = 0.1
	// lag is how long ago, in seconds, the middle of what a reading covers is.
	lag = 0.3
)

// pressureOf returns the pressure that a tail shows.
func pressureOf(tail, target time.Duration) float64 {
	if tail <= 0 || target <= 0 {
		return 0
	}
	return max(0, 1-restShare*float64(target)/float64(tail))
}

// Factors returns the factors of the filling images for a serving one.
func (m *Model) Factors(serve string) *Factors {
	f := m.pairs[serve]
	if f == nil {
		if m.pairs == nil {
			m.pairs = map[string]*Factors{}
		}
		f = &Factors{}
		m.pairs[serve] = f
	}
	return f
}

// Dissimilarity returns how much the factors of two serving images differ, from 0 to 1; 1 where they aren't known.
func (m *Model) Dissimilarity(a, b string) float64 {
	f, g := m.Factors(a), m.Factors(b)
	if len(f.fills) == 0 || len(g.fills) == 0 {
		return 1
	}
	sum := 0.0
	for i, fill := range f.fills {
		sum += min(1, math.Abs(f.value[i]-g.Of(fill)))
	}
	return sum / float64(len(f.fills))
}

// Learn takes a reading, made at a time, of a serving image's tail beside what filling images use. The load is that
// of the step to which the reading's task belongs.
func (m *Model) Learn(at float64, l *Load, serve string, tail, target time.Duration, use Usage) {
	if tail <= 0 {
		return
	}
	f := m.Factors(serve)
	got := pressureOf(tail, target)
	fill, unsure := f.expect(use)
	load := l.expect(at-lag, m.period)
	if got >= fullPressure && load+fill >= fullPressure {
		return
	}
	m.age(at)
	spread := l.spread(m.period)
	l.learn(at-lag, got-fill, readingNoise*readingNoise/(readingNoise*readingNoise+unsure), &m.score)
	f.learn(at, use, got-load-fill, pairNoise*pairNoise+spread*spread)
}

// age has older errors of the periods count less.
func (m *Model) age(at float64) {
	x := math.Exp(-max(0, at-m.scored) / scoreMemory)
	m.scored = max(m.scored, at)
	for i := range m.score {
		m.score[i] *= x
	}
	m.choose()
}

// choose takes the period with the least score.
func (m *Model) choose() {
	for i, score := range m.score {
		if score < m.score[m.period] {
			m.period = i
		}
	}
}

// Expect returns the load expected at a time.
func (m *Model) Expect(l *Load, at float64) float64 {
	return l.expect(at, m.period)
}

// Peak returns the most load expected from a time on, for some seconds ahead.
func (m *Model) Peak(l *Load, at, ahead float64) float64 {
	most := 0.0
	for _, x := range []float64{0, ahead / 2, ahead} {
		most = max(most, l.expect(at+x, m.period))
	}
	return most
}

// Period returns the period, in seconds, with which the loads are forecast best, or 0 if they are steady.
func (m *Model) Period() float64 {
	if angularFrequency[m.period] == 0 {
		return 0
	}
	return memory[m.period]
}

// OverTargetProbability returns the chance that a task is over its target whose pressure is expected to be that much
// above TargetPressure. It goes on rising above 1: what is far over takes longer to come back.
func OverTargetProbability(above float64) float64 {
	return max(0, 0.5+above/(2*pressureSpread))
}
