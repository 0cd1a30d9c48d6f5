package sched

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

// storedModel is the interference model with the load forecasts as it is stored.
type storedModel struct {
	interf.State
	Loads []storedLoad `json:"loads,omitempty"` // of all latency-critical steps with a forecast
}

// storedLoad is the load forecast of a latency-critical step as it is stored.
type storedLoad struct {
	Job        string `json:"job"`
	Occurrence int    `json:"round,omitempty"` // number of the occurrence
	Step       int    `json:"step,omitempty"`  // index of the step
	interf.LoadFit
}

// maxModelSize bounds the encoded model in bytes, well below the values that stores take.
const maxModelSize = 256 << 10

// EncodeModel encodes what was learned of interference and load, for the next holder. Learning it anew
// takes about ten seconds, in which latency-critical tasks are disturbed or best-effort tasks wait. What doesn't fit into
// maxModelSize is left out, of pairs those that are known worst.
func (c *Core) EncodeModel() ([]byte, error) {
	m := storedModel{State: c.interference.State()}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if c.jobs[id].state.Final() {
			continue
		}
		for _, o := range c.jobs[id].occurrences {
			for _, s := range o.steps {
				if s.load == nil {
					continue
				}
				if f, ok := c.interference.Fit(s.load); ok {
					m.Loads = append(m.Loads, storedLoad{id, s.occurrence, s.index, f})
				}
			}
		}
	}
	data, err := json.Marshal(m)
	for err == nil && len(data) > maxModelSize {
		if encodedSize(m.Pairs) > encodedSize(m.Loads) {
			m.KeepBestKnown(len(m.Pairs) / 2)
		} else {
			m.Loads = m.Loads[:len(m.Loads)/2]
		}
		data, err = json.Marshal(m)
	}
	return data, errors.Wrap(err, "sched")
}

// encodedSize returns the size of a part of the encoded model in bytes.
func encodedSize(part any) int {
	data, _ := json.Marshal(part) // the whole was encoded before
	return len(data)
}

// RestoreModel restores what a former holder has learned. Loads of jobs that aren't known here are ignored.
func (c *Core) RestoreModel(data []byte) error {
	var m storedModel
	if err := json.Unmarshal(data, &m); err != nil {
		return errors.Wrap(err, "sched: decode interference model")
	}
	now := c.modelTime(c.termStart)
	c.interference.Restore(now, m.State)
	for _, l := range m.Loads {
		if t := c.findTask(TaskID{Job: l.Job, Occurrence: l.Occurrence, Step: l.Step}); t != nil {
			c.interference.SeedLoad(c.loadOf(t.step), now, l.LoadFit)
		}
	}
	return nil
}
