package sched

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

// storedModel is the model as it is stored.
type storedModel struct {
	interf.State
	Loads []storedLoad `json:"loads,omitempty"`
}

// storedLoad is the load of a step.
type storedLoad struct {
	Job   string `json:"job"`
	Round int    `json:"round,omitempty"`
	Step  int    `json:"step,omitempty"`
	interf.LoadFit
}

// EncodeModel returns what has been learned of images and loads, for a next holder: learning it anew
// takes some ten seconds, in which serving tasks are disturbed or filling ones wait.
func (c *Core) EncodeModel() ([]byte, error) {
	l := storedModel{State: c.interference.State()}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if c.jobs[id].state.Final() {
			continue
		}
		for _, r := range c.jobs[id].occurrences {
			for _, s := range r.steps {
				if s.load == nil {
					continue
				}
				if f, ok := c.interference.Fit(s.load); ok {
					l.Loads = append(l.Loads, storedLoad{id, s.occurrence, s.index, f})
				}
			}
		}
	}
	data, err := json.Marshal(l)
	return data, errors.Wrap(err, "sched")
}

// RestoreModel takes what a former holder has learned, of the jobs that are known here.
func (c *Core) RestoreModel(data []byte) error {
	var l storedModel
	if err := json.Unmarshal(data, &l); err != nil {
		return errors.Wrap(err, "sched: learned")
	}
	now := c.modelTime(c.termStart)
	c.interference.Restore(now, l.State)
	for _, f := range l.Loads {
		if t := c.findTask(TaskID{Job: f.Job, Occurrence: f.Round, Step: f.Step}); t != nil {
			c.interference.SeedLoad(c.loadOf(t.step), now, f.LoadFit)
		}
	}
	return nil
}
