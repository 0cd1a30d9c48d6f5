package sched

import (
	"slices"
	"time"
)

// starveAfter is how long a job with waiting best-effort tasks has nothing running before it counts as starved.
const starveAfter = 2 * time.Second

// maxOnTimeAge is how long after its release a job that can be on time keeps starved jobs from being placed. Its relative
// deadline would not bound their wait, as it grows with the job's work.
const maxOnTimeAge = 8 * time.Second

// countRun counts a run of the job that is added (sign 1) or removed (sign -1). If a removed run was known to run, the job
// hasn't been idle until now, unless the run was started for a starved job.
func (j *job) countRun(r *run, sign int) {
	j.activeRuns += sign
	if sign < 0 && !r.starved && !r.confirmedAt.IsZero() {
		j.idleSince = time.Time{}
	}
}

// updateStarved updates whether the step's job is starved. The best-effort tasks of a starved job are placed one at a time
// on workers where they may interfere with latency-critical tasks, also if only memory is free there: a throttled task
// makes more progress than one that waits for a suitable worker, which may never come. Other tasks are placed as if a
// starved one used no CPU, and no starved task is placed while a best-effort step of a job of the service that can be on
// time is unplaced (see maxOnTimeAge).
func (c *Core) updateStarved(now time.Time, s *stepInstance) {
	j := s.job
	if j.idleSince.IsZero() {
		j.idleSince = now
	}
	starved := s.spec.BestEffort && j.activeRuns == 0 && now.Sub(j.idleSince) >= starveAfter && c.onTimeUnplaced[j.Service] != c.planNumber
	if starved != s.starved {
		s.starved = starved
		s.infeasible = nil // the tasks are in another placement class now
	}
}

// preemptStarved preempts starved runs for a long-running task that lacks only the memory which they hold, on the worker
// where the fewest have to be stopped. While paused, they would hold the memory for as long as the latency-critical tasks
// there are near their targets.
func (c *Core) preemptStarved(now time.Time, s *stepInstance) {
	if c.starvedRuns == 0 {
		return
	}
	var fewest []*run
	for _, w := range c.workersByID {
		size := s.spec.Size
		size.Mem = 0
		if !w.eligible(now, s) || !w.free().Covers(size) {
			continue
		}
		runs, ok := w.starvedToPreempt(s.spec.Size.Mem - w.free().Mem)
		switch {
		case ok && len(runs) == 0:
			return // runs that are being stopped already free enough memory
		case ok && (fewest == nil || len(runs) < len(fewest)):
			fewest = runs
		}
	}
	for _, r := range fewest {
		r.orderedAt = time.Time{} // the stop is sent at once
		c.stopRun(r)
	}
}

// starvedToPreempt returns the newest starved runs that have to be stopped to free the missing memory (MiB), besides those
// that are being stopped, and whether that is enough.
func (w *worker) starvedToPreempt(missing int) ([]*run, bool) {
	for _, r := range w.runList {
		if r.starved && (r.state == RunStopping || r.state == RunStopped) {
			missing -= r.task.step.spec.Size.Mem
		}
	}
	var runs []*run
	for _, r := range slices.Backward(w.runList) {
		if missing <= 0 {
			break
		}
		if r.starved && r.state == RunLive {
			runs = append(runs, r)
			missing -= r.task.step.spec.Size.Mem
		}
	}
	return runs, missing <= 0
}
