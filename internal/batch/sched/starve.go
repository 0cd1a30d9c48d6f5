package sched

import (
	"slices"
	"time"
)

// starveAfter is how long a job has nothing running before it counts as starved.
const starveAfter = 2 * time.Second

// maxOnTimeAge is how long after its hand-in a job that can be on time holds starved ones back. Its own aim bounds nothing for
// them: it grows with the work of a job.
const maxOnTimeAge = 8 * time.Second

// countRun counts a run that has come or gone. The job hasn't been idle up to now if the run was there, unless it was one
// of a starved job.
func (j *job) countRun(r *run, sign int) {
	j.activeRuns += sign
	if sign < 0 && !r.starved && !r.confirmedAt.IsZero() {
		j.idleSince = time.Time{}
	}
}

// updateStarved finds out whether the step's job is starved: one of its filling tasks after the other is then placed where it may
// disturb serving tasks and where only memory is left. Slowed there, it gets further than by waiting for a place that may
// never come. Others are placed as if it weren't there, and none is placed while a job that can be on time has begun to wait.
func (c *Core) updateStarved(now time.Time, s *stepInstance) {
	j := s.job
	if j.idleSince.IsZero() {
		j.idleSince = now
	}
	starved := s.spec.BestEffort && j.activeRuns == 0 && now.Sub(j.idleSince) >= starveAfter && c.onTimeUnplaced[j.Service] != c.planNumber
	if starved != s.starved {
		s.starved = starved
		s.infeasible = nil // they are of another kind now
	}
}

// preemptStarved stops starved tasks for a lasting one that lacks only the memory that they hold, on the worker where that takes the
// fewest. Slowed down to nothing, they would hold it for as long as the serving tasks there are near their targets.
func (c *Core) preemptStarved(now time.Time, s *stepInstance) {
	if c.starvedRuns == 0 {
		return
	}
	var fewest []*run
	for _, w := range c.workersByID {
		z := s.spec.Size
		z.Mem = 0
		if w.Service != s.job.Service || !w.eligible(now, s) || !w.free().Covers(z) {
			continue
		}
		runs, ok := w.starvedToPreempt(s.spec.Size.Mem - w.free().Mem)
		switch {
		case ok && len(runs) == 0:
			return // it is being made
		case ok && (fewest == nil || len(runs) < len(fewest)):
			fewest = runs
		}
	}
	for _, r := range fewest {
		r.orderedAt = time.Time{} // the stop is sent at once
		c.stopRun(r)
	}
}

// starvedToPreempt returns the newest starved runs that hold so much memory besides what is being stopped, and whether there are.
func (w *worker) starvedToPreempt(mem int) ([]*run, bool) {
	for _, r := range w.runList {
		if r.starved && (r.state == RunStopping || r.state == RunStopped) {
			mem -= r.task.step.spec.Size.Mem
		}
	}
	var runs []*run
	for _, r := range slices.Backward(w.runList) {
		if mem <= 0 {
			break
		}
		if r.starved && r.state == RunLive {
			runs = append(runs, r)
			mem -= r.task.step.spec.Size.Mem
		}
	}
	return runs, mem <= 0
}
