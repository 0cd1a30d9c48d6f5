package sched

import (
	"math"
	"time"
)

// UnplacedStep is a step whose tasks have found no worker for a while, with the reasons as numbers of workers. Of many
// workers a sample is examined.
type UnplacedStep struct {
	Job          string        // id of the job
	Step         int           // index of the step in its job
	Image        string        // image of its tasks
	Tasks        int           // tasks that wait
	Waited       time.Duration // since a task first found no worker
	Workers      int           // workers of the service that were examined
	Unavailable  int           // workers that accept no tasks at present or lack the required label
	OverTarget   int           // workers where a latency-critical task has long been over its target
	NoResources  int           // workers without the resources for a task, or where they are reserved
	NoMemory     int           // of these, workers that lack memory but not CPU
	Interference int           // workers where a task would interfere too much with latency-critical ones
	// FitsBeside is, for a long-running step, the number of available workers where a task fits beside the long-running ones,
	// so that it only waits for other tasks to end.
	FitsBeside int
	// LeastViolations is the lowest number of expected violations among the workers counted in Interference, that is, of
	// latency-critical tasks that a task would push over their targets.
	LeastViolations float64
}

// unplacedAfter is how long a step has waited when it is first reported. Steps that are on time usually wait for less.
const unplacedAfter = time.Second

// maxExamined bounds the workers that are examined for why a step finds no worker. With hundreds of waiting steps the reports
// would otherwise cost as much as the placement.
const maxExamined = 128

// TakeUnplacedSteps returns the unplaced steps to report since the last call. A step is reported again each time its wait
// has doubled.
func (c *Core) TakeUnplacedSteps() []UnplacedStep {
	steps := c.unreportedUnplaced
	c.unreportedUnplaced = nil
	return steps
}

// noteUnplacedStep records that a task of a step found no worker and, when a report is due, why.
func (c *Core) noteUnplacedStep(now time.Time, s *stepInstance) {
	if s.unplacedSince.IsZero() {
		s.unplacedSince = now
	}
	waited := now.Sub(s.unplacedSince)
	if s.spec.BestEffort && !s.spec.LongRunning && s.precedence.timeliness <= onTimeNotStarted && now.Sub(s.releasedAt) < maxOnTimeAge {
		c.onTimeUnplaced[s.job.Service] = c.planNumber
	}
	if waited < max(unplacedAfter, 2*s.reportedWait) {
		return
	}
	s.reportedWait = waited
	report := UnplacedStep{Job: s.job.ID, Step: s.index, Image: s.spec.Image, Tasks: s.pending, Waited: waited}
	least := math.Inf(1)
	stride := (len(c.workersByID) + maxExamined - 1) / maxExamined
	for i := s.index % max(stride, 1); i < len(c.workersByID); i += stride {
		w := c.workersByID[i]
		if w.Service != s.job.Service {
			continue
		}
		report.Workers++
		if s.spec.LongRunning && w.eligible(now, s) && w.fitsBeside(s.spec.Size) {
			report.FitsBeside++
		}
		_, fits := c.resourceScore(now, w, s)
		switch {
		case !w.schedulable(now) || !w.hasLabel(s.spec.RequiredLabel):
			report.Unavailable++
		case !w.respectsReservation(c.planNumber, s.spec):
			report.NoResources++
		case s.spec.BestEffort && w.colocation.bestEffortBlocked:
			report.OverTarget++
		case fits:
		case s.spec.BestEffort && c.fitsBestEffort(now, w, s):
			report.Interference++
			violations, _ := c.interferenceOf(now, w, s.spec)
			least = min(least, violations)
		default:
			report.NoResources++
			if free := w.free(); free.Mem < s.spec.Size.Mem && (s.spec.BestEffort || free.CPU >= s.spec.Size.CPU) {
				report.NoMemory++
			}
		}
	}
	if report.Interference > 0 {
		report.LeastViolations = least
	}
	c.unreportedUnplaced = append(c.unreportedUnplaced, report)
}
