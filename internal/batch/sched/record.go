package sched

import (
	"encoding/json"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// storedProgress is what the store holds of a job beside the job itself.
type storedProgress struct {
	State       State                 `json:"state"`
	Queue       string                `json:"queue,omitempty"`
	EndedAt     time.Time             `json:"ended,omitzero"`
	Started     bool                  `json:"begun,omitempty"`
	Done        [][]string            `json:"done,omitempty"` // for each occurrence and step the tasks that are done, a bit each, in hexadecimal
	FailedRuns  map[string]failedRuns `json:"tries,omitempty"`
	Checkpoints map[string]string     `json:"saves,omitempty"`
}

// JobRecord is a job's progress to be stored under its id; Final says that the job itself
// need not be kept any longer.
type JobRecord struct {
	ID    string
	Data  []byte
	Final bool
}

// Batch is what has to be stored together, and what follows once it is.
type Batch struct {
	Records []JobRecord
	states  map[string]State
	acks    []ack
}

// ack is how far a life's ends stand in a batch.
type ack struct {
	life Incarnation
	seq  int64
}

// Empty reports whether there is nothing to store and nothing to follow.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.acks) == 0
}

// CollectChanges returns up to most records of what has changed, and the ends that may be acknowledged once these
// are stored: an end that its worker may forget must be stored, with all that its job had come to by then.
func (c *Core) CollectChanges(most int) (*Batch, error) {
	b := &Batch{states: map[string]State{}}
	for len(b.Records) < most {
		j := c.storeQueue.next()
		if j == nil {
			break
		}
		data, err := j.encodeProgress()
		if err != nil {
			return nil, err
		}
		b.Records = append(b.Records, JobRecord{j.ID, data, j.state.Final()})
		b.states[j.ID] = j.state
	}
	for _, w := range c.workersByID {
		if seq := w.ackableSeq(); seq > w.ackedSeq {
			b.acks = append(b.acks, ack{w.Incarnation, seq})
		}
	}
	return b, nil
}

// MarkCommitted tells that a batch is stored.
func (c *Core) MarkCommitted(b *Batch) {
	for id, s := range b.states {
		if j := c.jobs[id]; j != nil {
			j.storedState = s
		}
	}
	for _, a := range b.acks {
		// The worker may have started anew while the batch was being stored: its ends count
		// from 1 again, and acknowledging up to a former number would lose them.
		if w := c.workers[a.life.ID]; w != nil && w.Incarnation == a.life {
			w.ackedSeq = max(w.ackedSeq, a.seq)
		}
	}
}

func (j *job) encodeProgress() ([]byte, error) {
	p := storedProgress{State: j.state, Queue: j.Queue, EndedAt: j.endedAt, Started: j.started}
	if !j.state.Final() {
		p.Done = j.doneBits()
		if len(j.failedRuns) > 0 {
			p.FailedRuns = map[string]failedRuns{}
			for t, n := range j.failedRuns {
				p.FailedRuns[t.String()] = n
			}
		}
		if len(j.checkpoints) > 0 {
			p.Checkpoints = map[string]string{}
			for t, s := range j.checkpoints {
				p.Checkpoints[t.String()] = s
			}
		}
	}
	data, err := json.Marshal(p)
	return data, errors.Wrap(err, "sched")
}

func (j *job) doneBits() [][]string {
	var all [][]string
	for _, r := range j.occurrences {
		var steps []string
		for _, s := range r.steps {
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

// RestoreJob takes over a job as the store holds it; data is its progress, empty if there is
// none yet. A nil spec stands for a job that has ended.
func (c *Core) RestoreJob(now time.Time, id string, spec *Job, data []byte) error {
	p := storedProgress{State: StateQueued}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &p); err != nil {
			return errors.Wrapf(err, "sched: progress of %s", id)
		}
	}
	if spec == nil || p.State.Final() {
		c.jobs[id] = &job{Job: &Job{ID: id, Queue: p.Queue}, state: p.State, storedState: p.State, endedAt: p.EndedAt, started: true}
		return nil
	}
	j := &job{Job: spec, state: p.State, storedState: p.State, restored: true, started: p.Started}
	c.registerJob(now, j)
	for len(j.occurrences) < len(p.Done) {
		c.addOccurrence(now, j)
	}
	for k, steps := range p.Done {
		for i, text := range steps {
			if err := j.occurrences[k].restoreDone(i, text); err != nil {
				return errors.Wrapf(err, "sched: progress of %s", id)
			}
		}
		c.markReadySteps(now, j, j.occurrences[k])
	}
	j.failedRuns = map[TaskID]failedRuns{}
	for name, n := range p.FailedRuns {
		t, err := ParseTaskID(name)
		if err != nil {
			return err
		}
		j.failedRuns[t] = n
	}
	j.checkpoints = map[TaskID]string{}
	for name, s := range p.Checkpoints {
		t, err := ParseTaskID(name)
		if err != nil {
			return err
		}
		j.checkpoints[t] = s
	}
	return nil
}

func (r *occurrence) restoreDone(step int, text string) error {
	bits, ok := new(big.Int).SetString(text, 16)
	if !ok || step >= len(r.steps) {
		return errors.Errorf("sched: %q for step %d", text, step)
	}
	s := r.steps[step]
	for i, t := range s.tasks {
		if bits.Bit(i) == 1 && !t.done {
			t.done = true
			s.unfinished--
			s.pending--
		}
	}
	return nil
}

// Workers returns every worker known, in the order of their ids.
func (c *Core) Workers() []Member {
	var all []Member
	for _, w := range c.workersByID {
		all = append(all, w.Member)
	}
	return all
}

// TrackedWorkers returns every worker that may hold runs, in the order of their ids: what a next
// holder has to reach. Where all runs have lapsed there is nothing to wait for. Such a worker gets
// no task, should it come back, until it has been stored again.
func (c *Core) TrackedWorkers() []Member {
	var all []Member
	for _, w := range c.workersByID {
		if w.expired && len(w.runList) == 0 {
			w.tracked = false
			continue
		}
		all = append(all, w.Member)
	}
	return all
}

// MarkTracked tells that the members stand in the store's record; tasks may be placed there.
func (c *Core) MarkTracked(members []Member) {
	for _, m := range members {
		if w := c.workers[m.ID]; w != nil && w.Incarnation == m.Incarnation {
			w.tracked = true
		}
	}
}
