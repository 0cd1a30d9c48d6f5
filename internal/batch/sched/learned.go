package sched

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

// learned is the model as it is stored.
type learned struct {
	interf.State
	Loads []learnedLoad `json:"loads,omitempty"`
}

// learnedLoad is the load of a step.
type learnedLoad struct {
	Job   string `json:"job"`
	Round int    `json:"round,omitempty"`
	Step  int    `json:"step,omitempty"`
	interf.LoadFit
}

// Learned returns what has been learned of images and loads, for a next holder: learning it anew
// takes some ten seconds, in which serving tasks are disturbed or filling ones wait.
func (c *Core) Learned() ([]byte, error) {
	l := learned{State: c.interference.State()}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if c.jobs[id].state.Final() {
			continue
		}
		for _, r := range c.jobs[id].rounds {
			for _, s := range r.stages {
				if s.load == nil {
					continue
				}
				if f, ok := c.interference.Fit(s.load); ok {
					l.Loads = append(l.Loads, learnedLoad{id, s.round, s.idx, f})
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
	c.interference.Restore(now, l.State)
	for _, f := range l.Loads {
		if t := c.task(TaskID{Job: f.Job, Round: f.Round, Step: f.Step}); t != nil {
			c.interference.SeedLoad(c.loadOf(t.stage), now, f.LoadFit)
		}
	}
	return nil
}
