package sched

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// pressure models how tasks that fill disturb tasks that serve. A serving task's tail grows
// as that of a queue: tail = rest / (1 - p), where rest is its tail without any load and the
// pressure p is the sum of its users' load, which all tasks of its step share, and, for each
// filling image beside it, a factor of the pair times the share of the worker's processors
// that the image uses.
type interference struct {
	pairs  map[string]*factors // by serving image
	score  [periods]float64    // errors of the courses with each period
	scored float64             // seconds; as of when score is
	period int                 // that tells the load best
}

const (
	// restShare is the share of its target that a tail without any load takes. Where it's another, load and factors
	// come out larger or smaller, and the model still holds: its pressure is a straight line of the true one.
	restShare = 1.0 / 6
	// targetPressure is the pressure at which a tail is at its target.
	targetPressure = 1 - restShare
	// fullPressure is where a reading says no more than "far over".
	fullPressure = 0.97
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
func (p *interference) factors(serve string) *factors {
	f := p.pairs[serve]
	if f == nil {
		if p.pairs == nil {
			p.pairs = map[string]*factors{}
		}
		f = &factors{}
		p.pairs[serve] = f
	}
	return f
}

// unlike returns how much the filling images that disturb two serving images differ, from 0 to
// 1; 1 where that isn't known.
func (p *interference) dissimilarity(a, b string) float64 {
	f, g := p.factors(a), p.factors(b)
	if len(f.fills) == 0 || len(g.fills) == 0 {
		return 1
	}
	sum := 0.0
	for i, fill := range f.fills {
		sum += min(1, math.Abs(f.value[i]-g.of(fill)))
	}
	return sum / float64(len(f.fills))
}

// learn takes a reading of a serving step's tail beside filling images with the shares of
// the worker's processors that they use. at is when it was read, in seconds.
func (p *interference) learn(at float64, k *loadForecast, s *Step, tail time.Duration, use []usage) {
	if tail <= 0 {
		return
	}
	f := p.factors(s.Image)
	got := pressureOf(tail, s.Target)
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
func (p *interference) age(at float64) {
	x := math.Exp(-max(0, at-p.scored) / scoreMemory)
	p.scored = max(p.scored, at)
	for i := range p.score {
		p.score[i] *= x
	}
	p.choose()
}

// choose makes the period that has told the loads best the one that counts.
func (p *interference) choose() {
	for i, score := range p.score {
		if score < p.score[p.period] {
			p.period = i
		}
	}
}

// learned is the model as it is stored.
type learned struct {
	Score []float64     `json:"score"`
	Pairs []learnedPair `json:"pairs"`
	Loads []learnedLoad `json:"loads,omitempty"`
}

// learnedLoad is the fit of a step's load for the period that tells best, its times counted
// from the Unix epoch.
type learnedLoad struct {
	Job   string  `json:"job"`
	Round int     `json:"round,omitempty"`
	Step  int     `json:"step,omitempty"`
	Level float64 `json:"level"`
	Cos   float64 `json:"cos"`
	Sin   float64 `json:"sin"`
}

type learnedPair struct {
	Serve  string  `json:"serve"`
	Fill   string  `json:"fill"`
	Factor float64 `json:"factor"`
	Spread float64 `json:"spread"`
}

// Learned returns what has been learned of images and loads, for a next holder: learning it anew
// takes some ten seconds, in which serving tasks are disturbed or filling ones wait.
func (c *Core) Learned() ([]byte, error) {
	l := learned{Score: c.interference.score[:]}
	for serve, f := range c.interference.pairs {
		for i, fill := range f.fills {
			l.Pairs = append(l.Pairs, learnedPair{serve, fill, f.value[i], math.Sqrt(max(0, f.cov[i][i]))})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if c.jobs[id].state.Final() {
			continue
		}
		for _, r := range c.jobs[id].rounds {
			for _, s := range r.stages {
				if k := s.load; k != nil && k.sums[c.interference.period].w > 1 {
					f := k.fits[c.interference.period]
					l.Loads = append(l.Loads, learnedLoad{id, s.round, s.idx, f.level, f.cos, f.sin})
				}
			}
		}
	}
	data, err := json.Marshal(l)
	return data, errors.Wrap(err, "sched")
}

// Relearn takes what a former holder has learned, of the jobs that are known here.
func (c *Core) Relearn(data []byte) error {
	var l learned
	if err := json.Unmarshal(data, &l); err != nil {
		return errors.Wrap(err, "sched: learned")
	}
	now := c.seconds(c.began)
	c.interference = interference{scored: now}
	if len(l.Score) == periods {
		copy(c.interference.score[:], l.Score)
	}
	for _, p := range l.Pairs {
		f := c.interference.factors(p.Serve)
		f.set(p.Fill, p.Factor, p.Spread)
		f.at = now
	}
	c.interference.choose()
	for _, f := range l.Loads {
		if t := c.task(TaskID{Job: f.Job, Round: f.Round, Step: f.Step}); t != nil {
			c.loadOf(t.stage).seed(now, c.interference.period, harmonic{f.Level, f.Cos, f.Sin})
		}
	}
	return nil
}
