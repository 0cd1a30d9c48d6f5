package sched

import (
	"encoding/json"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// storedProgress is the progress of a job as it is stored, beside the job itself.
type storedProgress struct {
	State       State                 `json:"state"`
	Queue       string                `json:"queue,omitempty"` // Job.Queue
	EndedAt     time.Time             `json:"ended,omitzero"`  // when it reached its final state; zero: it has not
	Started     bool                  `json:"begun,omitempty"` // a worker has started a task of it
	Done        [][]string            `json:"done,omitempty"`  // by occurrence and step: a bit per task that is done, in hex
	FailedRuns  map[string]failedRuns `json:"tries,omitempty"` // by task id
	Checkpoints map[string]string     `json:"saves,omitempty"` // newest checkpoints, by task id
	// LateStarts are starts without an answer that may still be carried out, by task id.
	LateStarts map[string]storedStart `json:"late,omitempty"`
}

// JobRecord is the encoded progress of a job.
type JobRecord struct {
	ID    string // id of the job
	Data  []byte // its progress
	Final bool   // it has ended; the store need not keep the job itself any longer
}

// Batch is a set of records to be stored together, and what to update once they are.
type Batch struct {
	Records []JobRecord
	states  map[string]State // states of the jobs in Records, by id
	acks    []ack            // ends that may be acknowledged afterwards
}

// ack says up to which number the ends of an incarnation may be acknowledged.
type ack struct {
	incarnation Incarnation
	seq         int64
}

// Empty reports whether there is nothing to store and nothing to acknowledge.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.acks) == 0
}

// CollectChanges returns a batch of up to most changed jobs, with the ends that may be acknowledged once it is
// stored. A worker forgets an end that is acknowledged, so the job's progress including that end must be stored first.
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

// MarkCommitted records that a batch is stored.
func (c *Core) MarkCommitted(b *Batch) {
	for id, s := range b.states {
		if j := c.jobs[id]; j != nil {
			if s.Final() && !j.storedState.Final() {
				c.settling = append(c.settling, j)
			}
			j.storedState = s
		}
	}
	c.compactEnded()
	for _, a := range b.acks {
		// The worker may have restarted while the batch was being stored. Its ends are then numbered
		// from 1 again; acknowledging up to a number of the former incarnation would lose them.
		if w := c.workers[a.incarnation.ID]; w != nil && w.Incarnation == a.incarnation {
			w.ackedSeq = max(w.ackedSeq, a.seq)
		}
	}
}

// encodeProgress returns the progress to store. For a job that has ended, it holds no tasks.
func (j *job) encodeProgress() ([]byte, error) {
	p := storedProgress{State: j.state, Queue: j.Queue, EndedAt: j.endedAt, Started: j.started}
	if !j.state.Final() {
		p.Done = j.doneBits()
		p.LateStarts = j.encodeLateStarts()
		if len(j.failedRuns) > 0 {
			p.FailedRuns = map[string]failedRuns{}
			for t, n := range j.failedRuns {
				p.FailedRuns[t.String()] = n
			}
		}
		if len(j.checkpoints) > 0 {
			p.Checkpoints = map[string]string{}
			for t, s := range j.checkpoints {
				if !j.checkpointReported(t) {
					p.Checkpoints[t.String()] = s
				}
			}
		}
	}
	data, err := json.Marshal(p)
	return data, errors.Wrap(err, "sched")
}

// checkpointReported reports whether a worker reports a task's checkpoint with its run, also to the next holder. Stored with
// each end of another task, the checkpoints of all that run would make up most of a large job's record.
func (j *job) checkpointReported(id TaskID) bool {
	s := j.occurrences[id.Occurrence].steps[id.Step]
	return !s.spec.Gang && s.tasks[id.Index].run != nil
}

// doneBits returns storedProgress.Done.
func (j *job) doneBits() [][]string {
	var all [][]string
	for _, o := range j.occurrences {
		var steps []string
		for _, s := range o.steps {
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

// restoredProgress is the decoded progress of a job that hasn't ended.
type restoredProgress struct {
	done        [][]big.Int // by occurrence and step: a bit per task that is done
	failedRuns  map[TaskID]failedRuns
	checkpoints map[TaskID]string
	lateStarts  map[TaskID]storedStart
}

// decode decodes the progress of a job.
func (p *storedProgress) decode(spec *Job) (restoredProgress, error) {
	r := restoredProgress{failedRuns: map[TaskID]failedRuns{}, checkpoints: map[TaskID]string{}, lateStarts: map[TaskID]storedStart{}}
	if len(p.Done) > max(spec.OccurrenceCount, 1) {
		return r, errors.Errorf("sched: progress of %d occurrences, the job has %d", len(p.Done), max(spec.OccurrenceCount, 1))
	}
	for _, steps := range p.Done {
		if len(steps) > len(spec.Steps) {
			return r, errors.Errorf("sched: progress of %d steps, the job has %d", len(steps), len(spec.Steps))
		}
		done := make([]big.Int, len(steps))
		for i, text := range steps {
			if _, ok := done[i].SetString(text, 16); !ok {
				return r, errors.Errorf("sched: invalid done tasks %q of step %d", text, i)
			}
		}
		r.done = append(r.done, done)
	}
	for name, runs := range p.FailedRuns {
		t, err := ParseTaskID(name)
		if err != nil {
			return r, err
		}
		r.failedRuns[t] = runs
	}
	for name, checkpoint := range p.Checkpoints {
		t, err := ParseTaskID(name)
		if err != nil {
			return r, err
		}
		r.checkpoints[t] = checkpoint
	}
	for name, s := range p.LateStarts {
		t, err := ParseTaskID(name)
		if err != nil {
			return r, err
		}
		r.lateStarts[t] = s
	}
	return r, nil
}

// RestoreJob adds a job as the store holds it. data is its progress, empty if none is stored yet. spec is nil for a
// job that has ended. If either is invalid, it returns an error and adds nothing.
func (c *Core) RestoreJob(now time.Time, id string, spec *Job, data []byte) error {
	p := storedProgress{State: StateQueued}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &p); err != nil {
			return errors.Wrapf(err, "sched: progress of %s", id)
		}
	}
	if p.State.Final() {
		c.endedJobs[id] = endedJob{p.State, p.EndedAt}
		return nil
	}
	if spec == nil {
		c.jobs[id] = &job{Job: &Job{ID: id, Queue: p.Queue}, state: p.State, storedState: p.State, started: true}
		return nil
	}
	if err := spec.Validate(); err != nil {
		return errors.Wrapf(err, "sched: job %s", id)
	}
	progress, err := p.decode(spec)
	if err != nil {
		return errors.Wrapf(err, "sched: progress of %s", id)
	}
	j := &job{Job: spec, state: p.State, storedState: p.State, restored: true, started: p.Started,
		failedRuns: progress.failedRuns, checkpoints: progress.checkpoints}
	c.registerJob(now, j)
	for len(j.occurrences) < len(progress.done) {
		c.addOccurrence(now, j)
	}
	for k, steps := range progress.done {
		for i := range steps {
			j.occurrences[k].steps[i].restoreDone(&steps[i])
		}
		c.markReadySteps(now, j, j.occurrences[k])
	}
	for id, s := range progress.lateStarts {
		c.restoreLateStart(now, id, s)
	}
	return nil
}

// restoreDone marks the tasks done whose bits are set.
func (s *stepInstance) restoreDone(bits *big.Int) {
	for i, t := range s.tasks {
		if bits.Bit(i) == 1 && !t.done {
			t.done = true
			s.unfinished--
			s.pending--
		}
	}
}

// Workers returns all known workers, sorted by id.
func (c *Core) Workers() []Member {
	var all []Member
	for _, w := range c.workersByID {
		all = append(all, w.Member)
	}
	return all
}

// TrackedWorkers returns the workers that may hold runs, sorted by id. They are stored for the next holder, which has to
// reach them. A worker without runs whose lease has expired is left out, as there is nothing to wait for. If it comes
// back, it gets no task until it is stored again. The list is never nil, which callers may take for unchanged.
func (c *Core) TrackedWorkers() []Member {
	all := []Member{}
	for _, w := range c.workersByID {
		if w.expired && len(w.runList) == 0 {
			w.tracked = false
			continue
		}
		m := w.Member
		m.LongLease = w.longLease
		all = append(all, m)
	}
	return all
}

// TrackedVersion returns a number that changes whenever a worker, an incarnation, an address or LongLease in the list of
// TrackedWorkers does.
func (c *Core) TrackedVersion() uint64 {
	return c.trackedVersion
}

// MarkTracked records that the members are in the stored record of tracked workers. Tasks may be placed on them from
// then on.
func (c *Core) MarkTracked(members []Member) {
	for _, m := range members {
		if w := c.workers[m.ID]; w != nil && w.Incarnation == m.Incarnation {
			w.tracked = true
		}
	}
}
