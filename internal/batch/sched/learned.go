package sched

import (
	"encoding/json"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"
)

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
