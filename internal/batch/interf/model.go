package interf

import (
	"math"
	"time"
)

// pressure models how tasks that fill disturb tasks that serve. A serving task's tail grows
// as that of a queue: tail = rest / (1 - p), where rest is its tail without any load and the
// pressure p is the sum of its users' load, which all tasks of its step share, and, for each
// filling image beside it, a factor of the pair times the share of the worker's processors
// that the image uses.
type Model struct {
	pairs  map[string]*Factors // by serving image
	score  [periods]float64    // errors of the courses with each period
	scored float64             // seconds; as of when score is
	period int                 // that tells the load best
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

// pressed returns the pressure that a tail shows.
func pressureOf(tail, target time.Duration) float64 {
	if tail <= 0 || target <= 0 {
		return 0
	}
	return max(0, 1-restShare*float64(target)/float64(tail))
}

// factors returns the factors of the filling images for a serving one.
func (p *Model) Factors(serve string) *Factors {
	f := p.pairs[serve]
	if f == nil {
		if p.pairs == nil {
			p.pairs = map[string]*Factors{}
		}
		f = &Factors{}
		p.pairs[serve] = f
	}
	return f
}

// unlike returns how much the filling images that disturb two serving images differ, from 0 to
// 1; 1 where that isn't known.
func (p *Model) Dissimilarity(a, b string) float64 {
	f, g := p.Factors(a), p.Factors(b)
	if len(f.fills) == 0 || len(g.fills) == 0 {
		return 1
	}
	sum := 0.0
	for i, fill := range f.fills {
		sum += min(1, math.Abs(f.value[i]-g.Of(fill)))
	}
	return sum / float64(len(f.fills))
}

// learn takes a reading of a serving step's tail beside filling images with the shares of
// the worker's processors that they use. at is when it was read, in seconds.
func (p *Model) Learn(at float64, k *Load, serve string, tail, target time.Duration, use Usage) {
	if tail <= 0 {
		return
	}
	f := p.Factors(serve)
	got := pressureOf(tail, target)
	fill, unsure := f.expect(use)
	load := k.load(at-lag, p.period)
	if got >= fullPressure && load+fill >= fullPressure {
		return
	}
	p.age(at)
	spread := k.spread(p.period)
	k.learn(at-lag, got-fill, readingNoise*readingNoise/(readingNoise*readingNoise+unsure), &p.score)
	f.learn(at, use, got-load-fill, pairNoise*pairNoise+spread*spread)
}

// age has older errors of the periods count less.
func (p *Model) age(at float64) {
	x := math.Exp(-max(0, at-p.scored) / scoreMemory)
	p.scored = max(p.scored, at)
	for i := range p.score {
		p.score[i] *= x
	}
	p.choose()
}

// choose makes the period that has told the loads best the one that counts.
func (p *Model) choose() {
	for i, score := range p.score {
		if score < p.score[p.period] {
			p.period = i
		}
	}
}

// expect returns the load expected of a serving step at a time, in seconds.
func (p *Model) Expect(k *Load, at float64) float64 {
	return k.load(at, p.period)
}

// peak returns the most load expected of a serving step within some seconds.
func (p *Model) Peak(k *Load, at, ahead float64) float64 {
	most := 0.0
	for _, x := range []float64{0, ahead / 2, ahead} {
		most = max(most, k.load(at+x, p.period))
	}
	return most
}

// swingPeriod returns the period, in seconds, that tells the loads best; 0: they are steady.
func (p *Model) Period() float64 {
	if angularFrequency[p.period] == 0 {
		return 0
	}
	return memory[p.period]
}

// over returns the chance that a serving run is over its target whose pressure is expected to
// be x above it. It goes on rising above 1: what is far over takes longer to come back.
func OverTarget(x float64) float64 {
	return max(0, 0.5+x/(2*pressureSpread))
}
