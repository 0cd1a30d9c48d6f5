package sched

import "time"

// StepPlaced tells that all tasks of a step have found a place.
type StepPlaced struct {
	Job          string
	Queue        string
	Occurrence   int
	Step         int
	Tasks        int
	LongRunning  bool
	Waited       time.Duration // since the step could begin
	Unplaced     time.Duration // of that, since a task first found no place
	ExpectedTime time.Duration // that a task takes
}

// JobEnded tells that a job has come to its final state.
type JobEnded struct {
	Job              string
	Queue            string
	State            State
	Took             time.Duration // since it was accepted
	RelativeDeadline time.Duration // within which it is on time; 0: it has occurrences
}

// maxEvents bounds what is kept to be told.
const maxEvents = 10_000

// TakeEvents returns what is to be told of steps and jobs since the last call.
func (c *Core) TakeEvents() ([]StepPlaced, []JobEnded) {
	placed, endings := c.unreportedPlaced, c.unreportedEndings
	c.unreportedPlaced, c.unreportedEndings = nil, nil
	return placed, endings
}

// recordPlaced notes that no task of a step waits any more; only the first time counts. Of a step that was taken over it
// isn't known since when it waits.
func (c *Core) recordPlaced(now time.Time, s *stepInstance) {
	if s.fullyPlaced || s.job.restored || len(c.unreportedPlaced) >= maxEvents {
		return
	}
	s.fullyPlaced = true
	p := StepPlaced{
		Job: s.job.ID, Queue: s.job.Queue, Occurrence: s.occurrence, Step: s.index, Tasks: len(s.tasks), LongRunning: s.spec.LongRunning,
		Waited: now.Sub(s.readyAt), ExpectedTime: c.estimator.estimate(s.job.Queue, s.spec.Estimate),
	}
	if !s.unplacedSince.IsZero() {
		p.Unplaced = now.Sub(s.unplacedSince)
	}
	c.unreportedPlaced = append(c.unreportedPlaced, p)
}

func (c *Core) recordEnded(now time.Time, j *job) {
	if len(c.unreportedEndings) >= maxEvents {
		return
	}
	e := JobEnded{Job: j.ID, Queue: j.Queue, State: j.state, Took: now.Sub(j.AcceptedAt)}
	if j.OccurrenceCount == 0 && len(j.occurrences) > 0 {
		e.RelativeDeadline = j.occurrences[0].relativeDeadline
	}
	c.unreportedEndings = append(c.unreportedEndings, e)
}
