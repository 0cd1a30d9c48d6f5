package sched

import "time"

// Placed tells that all tasks of a step have found a place.
type Placed struct {
	Job     string
	Queue   string
	Round   int
	Step    int
	Tasks   int
	Lasting bool
	Waited  time.Duration // since the step could begin
	Lacked  time.Duration // of that, since a task first found no place
	Expect  time.Duration // that a task takes
}

// Ending tells that a job has come to its final state.
type Ending struct {
	Job   string
	Queue string
	State State
	Took  time.Duration // since it was accepted
	Aim   time.Duration // within which it is on time; 0: it has occurrences
}

// maxNotes bounds what is kept to be told.
const maxNotes = 10_000

// Notes returns what is to be told of steps and jobs since the last call.
func (c *Core) Notes() ([]Placed, []Ending) {
	placed, endings := c.placed, c.endings
	c.placed, c.endings = nil, nil
	return placed, endings
}

// notePlaced notes that no task of a step waits any more; only the first time counts. Of a step that was taken over it
// isn't known since when it waits.
func (c *Core) notePlaced(now time.Time, s *stage) {
	if s.placed || s.job.restored || len(c.placed) >= maxNotes {
		return
	}
	s.placed = true
	p := Placed{
		Job: s.job.ID, Queue: s.job.Queue, Round: s.round, Step: s.idx, Tasks: len(s.tasks), Lasting: s.spec.Lasting,
		Waited: now.Sub(s.opened), Expect: c.speeds.expect(s.job.Queue, s.spec.Estimate),
	}
	if !s.short.IsZero() {
		p.Lacked = now.Sub(s.short)
	}
	c.placed = append(c.placed, p)
}

func (c *Core) noteEnding(now time.Time, j *job) {
	if len(c.endings) >= maxNotes {
		return
	}
	e := Ending{Job: j.ID, Queue: j.Queue, State: j.state, Took: now.Sub(j.At)}
	if j.Times == 0 && len(j.rounds) > 0 {
		e.Aim = j.rounds[0].aim
	}
	c.endings = append(c.endings, e)
}
