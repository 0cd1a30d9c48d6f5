package sched

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// pair is an image of tasks that serve and one of tasks that fill.
type pair struct {
	serve, fill string
}

// pressure models how tasks that fill disturb tasks that serve. A serving task's tail grows
// as that of a queue: tail = least / (1 - p), where least is its image's tail at rest and
// the pressure p is the sum of its own load and, for each filling image beside it, a factor
// of the pair times the share of the worker's processors that the image uses.
//
// The factors are learned by normalized least mean squares from every reading. On half an
// hour of readings of both users' workloads this explains 0.72 of the variance of p; factors
// are near 0 for some pairs and above 1 for others.
type pressure struct {
	least map[string]time.Duration
	load  map[string]float64
	pairs map[pair]float64

	totals map[string]total // of pairs, by serving image
}

const (
	// learnRate is the weight of a reading: some twenty of them settle a factor.
	learnRate = 0.08
	// firstFactor is assumed of a pair never seen: the middle of the factors measured.
	firstFactor = 0.5
	// firstLoad is the pressure of a serving task by itself: the loads measured were 0.4 to 0.55.
	firstLoad = 0.45
	// fullPressure is where a reading says no more than "far over".
	fullPressure = 0.97
	// restShare is the most of a target that a tail at rest is; the ones measured were a sixth.
	restShare = 0.5
	// shareScale brings shares of processors, some 0.1 to 0.4, to the scale of the load's constant 1.
	shareScale = 5
)

// factor returns how much a pair's filling tasks add to the pressure for each worker's worth of use.
func (p *pressure) factor(k pair) float64 {
	if f, ok := p.pairs[k]; ok {
		return f
	}
	return firstFactor
}

// mean returns the average factor of the filling images seen beside a serving one.
func (p *pressure) mean(serve string) float64 {
	t := p.totals[serve]
	if t.n == 0 {
		return firstFactor
	}
	return t.sum / float64(t.n)
}

// set gives a pair a factor and keeps the totals.
func (p *pressure) set(k pair, f float64) {
	t := p.totals[k.serve]
	if old, ok := p.pairs[k]; ok {
		t.sum -= old
	} else {
		t.n++
	}
	t.sum += f
	p.pairs[k] = f
	p.totals[k.serve] = t
}

// total is what the average of a serving image's factors is made of.
type total struct {
	sum float64
	n   int
}

func (p *pressure) own(serve string) float64 {
	if l, ok := p.load[serve]; ok {
		return l
	}
	return firstLoad
}

// of returns the pressure that a tail shows.
func (p *pressure) of(serve string, tail time.Duration) float64 {
	least := p.least[serve]
	if tail <= least || tail <= 0 {
		return 0
	}
	return 1 - float64(least)/float64(tail)
}

// sum returns the pressure of filling images with the shares that they use.
func (p *pressure) sum(serve string, use map[string]float64) float64 {
	sum := 0.0
	for image, u := range use {
		sum += p.factor(pair{serve, image}) * u
	}
	return sum
}

// limit returns the pressure at which the tail is share of its target.
func (p *pressure) limit(s *Step, share float64) float64 {
	return p.of(s.Image, time.Duration(share*float64(s.Target)))
}

// learn takes a reading of a serving task's tail beside filling images with the shares of
// the worker's processors that they use.
func (p *pressure) learn(s *Step, tail time.Duration, use map[string]float64) {
	if tail <= 0 {
		return
	}
	if p.least == nil {
		p.least, p.load, p.pairs = map[string]time.Duration{}, map[string]float64{}, map[pair]float64{}
		p.totals = map[string]total{}
	}
	serve := s.Image
	// A task disturbed from its start shows no tail at rest; that is well below its target.
	tailAtRest := min(tail, time.Duration(restShare*float64(s.Target)))
	if least, ok := p.least[serve]; !ok || tailAtRest < least {
		p.least[serve] = tailAtRest
	}
	got := p.of(serve, tail)
	sum := p.own(serve)
	norm := 1.0
	for image, u := range use {
		sum += p.factor(pair{serve, image}) * u
		norm += (u * shareScale) * (u * shareScale)
	}
	if got >= fullPressure && sum >= fullPressure {
		return
	}
	step := learnRate * (got - sum) / norm
	p.load[serve] = p.own(serve) + step
	for image, u := range use {
		k := pair{serve, image}
		p.set(k, max(0, p.factor(k)+step*u*shareScale*shareScale))
	}
}

// learned is the model as it is stored.
type learned struct {
	Least map[string]time.Duration `json:"least"`
	Load  map[string]float64       `json:"load"`
	Pairs []learnedPair            `json:"pairs"`
}

type learnedPair struct {
	Serve  string  `json:"serve"`
	Fill   string  `json:"fill"`
	Factor float64 `json:"factor"`
}

// Learned returns what has been learned of the images, for a next holder: learning it anew
// takes some ten seconds, in which serving tasks are disturbed or filling ones wait.
func (c *Core) Learned() ([]byte, error) {
	l := learned{Least: c.press.least, Load: c.press.load}
	for k, f := range c.press.pairs {
		l.Pairs = append(l.Pairs, learnedPair{k.serve, k.fill, f})
	}
	data, err := json.Marshal(l)
	return data, errors.Wrap(err, "sched")
}

// Relearn takes what a former holder has learned.
func (c *Core) Relearn(data []byte) error {
	var l learned
	if err := json.Unmarshal(data, &l); err != nil {
		return errors.Wrap(err, "sched: learned")
	}
	if l.Least == nil || l.Load == nil {
		return nil
	}
	c.press = pressure{least: l.Least, load: l.Load, pairs: map[pair]float64{}, totals: map[string]total{}}
	for _, p := range l.Pairs {
		c.press.set(pair{p.Serve, p.Fill}, p.Factor)
	}
	return nil
}
