package sched

import (
	"encoding/json"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// progress is what the store holds of a job beside the job itself.
type progress struct {
	State State             `json:"state"`
	Queue string            `json:"queue,omitempty"`
	Ended time.Time         `json:"ended,omitzero"`
	Begun bool              `json:"begun,omitempty"`
	Done  [][]string        `json:"done,omitempty"` // for each occurrence and step the tasks that are done, a bit each, in hexadecimal
	Tries map[string]tries  `json:"tries,omitempty"`
	Saves map[string]string `json:"saves,omitempty"`
}

// Record is a job's progress to be stored under its id; Final says that the job itself
// need not be kept any longer.
type Record struct {
	ID    string
	Data  []byte
	Final bool
}

// Batch is what has to be stored together, and what follows once it is.
type Batch struct {
	Records []Record
	states  map[string]State
	acks    []ack
}

// ack is how far a life's ends stand in a batch.
type ack struct {
	life Life
	seq  int64
}

// Empty reports whether there is nothing to store and nothing to follow.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.acks) == 0
}

// Collect returns up to most records of what has changed, and the ends that may be acknowledged once these
// are stored: an end that its worker may forget must be stored, with all that its job had come to by then.
func (c *Core) Collect(most int) (*Batch, error) {
	b := &Batch{states: map[string]State{}}
	for len(b.Records) < most {
		j := c.changes.take()
		if j == nil {
			break
		}
		data, err := j.encode()
		if err != nil {
			return nil, err
		}
		b.Records = append(b.Records, Record{j.ID, data, j.state.Final()})
		b.states[j.ID] = j.state
	}
	for _, w := range c.ranks {
		if seq := w.settled(); seq > w.acked {
			b.acks = append(b.acks, ack{w.Life, seq})
		}
	}
	return b, nil
}

// Committed tells that a batch is stored.
func (c *Core) Committed(b *Batch) {
	for id, s := range b.states {
		if j := c.jobs[id]; j != nil {
			j.shown = s
		}
	}
	for _, a := range b.acks {
		// The worker may have started anew while the batch was being stored: its ends count
		// from 1 again, and acknowledging up to a former number would lose them.
		if w := c.workers[a.life.ID]; w != nil && w.Life == a.life {
			w.acked = max(w.acked, a.seq)
		}
	}
}

func (j *job) encode() ([]byte, error) {
	p := progress{State: j.state, Queue: j.Queue, Ended: j.ended, Begun: j.begun}
	if !j.state.Final() {
		p.Done = j.doneBits()
		if len(j.tries) > 0 {
			p.Tries = map[string]tries{}
			for t, n := range j.tries {
				p.Tries[t.String()] = n
			}
		}
		if len(j.saves) > 0 {
			p.Saves = map[string]string{}
			for t, s := range j.saves {
				p.Saves[t.String()] = s
			}
		}
	}
	data, err := json.Marshal(p)
	return data, errors.Wrap(err, "sched")
}

func (j *job) doneBits() [][]string {
	var all [][]string
	for _, r := range j.rounds {
		var steps []string
		for _, s := range r.stages {
			var bits big.Int
			for i, t := range s.tasks {
				if t.done {
					bits.SetBit(&bits, i, 1)
				}
			}
			steps = append(steps, bits.Text(16))
		}
		all = append(all, steps)
	}
	return all
}

// Restore takes over a job as the store holds it; data is its progress, empty if there is
// none yet. A nil spec stands for a job that has ended.
func (c *Core) Restore(now time.Time, id string, spec *Job, data []byte) error {
	p := progress{State: StateQueued}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &p); err != nil {
			return errors.Wrapf(err, "sched: progress of %s", id)
		}
	}
	if spec == nil || p.State.Final() {
		c.jobs[id] = &job{Job: &Job{ID: id, Queue: p.Queue}, state: p.State, shown: p.State, ended: p.Ended, begun: true}
		return nil
	}
	j := &job{Job: spec, state: p.State, shown: p.State, restored: true, begun: p.Begun}
	c.enter(now, j)
	for len(j.rounds) < len(p.Done) {
		c.addRound(now, j)
	}
	for k, steps := range p.Done {
		for i, text := range steps {
			if err := j.rounds[k].restore(i, text); err != nil {
				return errors.Wrapf(err, "sched: progress of %s", id)
			}
		}
		c.openStages(now, j, j.rounds[k])
	}
	j.tries = map[TaskID]tries{}
	for name, n := range p.Tries {
		t, err := ParseTask(name)
		if err != nil {
			return err
		}
		j.tries[t] = n
	}
	j.saves = map[TaskID]string{}
	for name, s := range p.Saves {
		t, err := ParseTask(name)
		if err != nil {
			return err
		}
		j.saves[t] = s
	}
	return nil
}

func (r *round) restore(step int, text string) error {
	bits, ok := new(big.Int).SetString(text, 16)
	if !ok || step >= len(r.stages) {
		return errors.Errorf("sched: %q for step %d", text, step)
	}
	s := r.stages[step]
	for i, t := range s.tasks {
		if bits.Bit(i) == 1 && !t.done {
			t.done = true
			s.left--
			s.waiting--
		}
	}
	return nil
}

// Workers returns every worker known, in the order of their ids.
func (c *Core) Workers() []Member {
	var all []Member
	for _, w := range c.ranks {
		all = append(all, w.Member)
	}
	return all
}

// Tracked returns every worker that may hold runs, in the order of their ids: what a next
// holder has to reach. Where all runs have lapsed there is nothing to wait for. Such a worker gets
// no task, should it come back, until it has been stored again.
func (c *Core) Tracked() []Member {
	var all []Member
	for _, w := range c.ranks {
		if w.void && len(w.list) == 0 {
			w.stored = false
			continue
		}
		all = append(all, w.Member)
	}
	return all
}

// TrackedStored tells that the members stand in the store's record; tasks may be placed there.
func (c *Core) TrackedStored(members []Member) {
	for _, m := range members {
		if w := c.workers[m.ID]; w != nil && w.Life == m.Life {
			w.stored = true
		}
	}
}
