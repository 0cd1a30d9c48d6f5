package sched

import (
	"math"
	"time"
)

// UnplacedStep tells why tasks of a step have found no place for a while.
type UnplacedStep struct {
	Job          string
	Step         int
	Image        string
	Tasks        int // that wait
	Waited       time.Duration
	Workers      int // of the service
	Unavailable  int // of these, that take nothing at present
	OverTarget   int // where a serving task is over its target for long
	NoResources  int // without room for it
	NoMemory     int // of these, with the processors it asks for
	Interference int // where they would disturb serving tasks too much
	// LeastViolations is the least harm among these: the expected number of serving tasks brought over their target.
	LeastViolations float64
}

// unplacedAfter is after how long without a place a step is told of: one that is on time as a rule
// waits for less.
const unplacedAfter = time.Second

// TakeUnplacedSteps returns the steps that have waited for long since the last call. Each is told again whenever its wait has
// doubled.
func (c *Core) TakeUnplacedSteps() []UnplacedStep {
	w := c.unreportedUnplaced
	c.unreportedUnplaced = nil
	return w
}

// noteUnplacedStep notes that a task of a step has found no place.
func (c *Core) noteUnplacedStep(now time.Time, s *stepInstance) {
	if s.unplacedSince.IsZero() {
		s.unplacedSince = now
	}
	since := now.Sub(s.unplacedSince)
	if s.spec.BestEffort && !s.spec.LongRunning && s.precedence.timeliness <= onTimeNotStarted && now.Sub(s.releasedAt) < maxOnTimeAge {
		c.onTimeUnplaced[s.job.Service] = c.planNumber
	}
	if since < max(unplacedAfter, 2*s.reportedWait) {
		return
	}
	s.reportedWait = since
	t := UnplacedStep{Job: s.job.ID, Step: s.index, Image: s.spec.Image, Tasks: s.pending, Waited: since}
	least := math.Inf(1)
	for _, w := range c.workersByID {
		if w.Service != s.job.Service {
			continue
		}
		t.Workers++
		_, fits := c.resourceScore(now, w, s)
		switch {
		case !w.schedulable(now) || !w.hasLabel(s.spec.RequiredLabel):
			t.Unavailable++
		case !w.respectsReservation(c.planNumber, s.spec):
			t.NoResources++
		case s.spec.BestEffort && w.colocation.bestEffortBlocked:
			t.OverTarget++
		case fits:
		case s.spec.BestEffort && c.fitsBestEffort(now, w, s):
			t.Interference++
			harm, _ := c.interferenceOf(now, w, s.spec)
			least = min(least, harm)
		default:
			t.NoResources++
			if free := w.free(); free.Mem < s.spec.Size.Mem && (s.spec.BestEffort || free.CPU >= s.spec.Size.CPU) {
				t.NoMemory++
			}
		}
	}
	if t.Interference > 0 {
		t.LeastViolations = least
	}
	c.unreportedUnplaced = append(c.unreportedUnplaced, t)
}
