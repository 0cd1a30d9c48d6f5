package sched

import (
	"slices"
	"time"
)

const (
	// stragglerFactor is the multiple of the typical duration of its step after which a run may count as a straggler.
	// minRestartGain is the minimum ratio of the run's remaining time to the time of a restart on another worker.
	stragglerFactor = 2
	minRestartGain  = 1.5
	// minStragglerPeers is the number of finished tasks that a step needs for a typical duration.
	minStragglerPeers = 2
	// stalledAfter is how long a run may be idle. A start from a checkpoint takes a fraction of that.
	stalledAfter        = 3 * time.Second
	maxStalledDoublings = 10
	// restartCost is the time that stopping a task and starting it elsewhere takes in addition to its work.
	restartCost = 500 * time.Millisecond
)

// typicalDuration returns the median duration of the step's finished tasks. It returns 0, for unknown, if fewer than
// half of the tasks or fewer than minStragglerPeers have finished.
func (s *stepInstance) typicalDuration() time.Duration {
	if len(s.durations) < minStragglerPeers || 2*len(s.durations) < len(s.tasks) {
		return 0
	}
	slices.Sort(s.durations)
	return s.durations[len(s.durations)/2]
}

// isStraggler reports whether a run is so far behind the other tasks of its step that its task would finish sooner if
// restarted on another worker. Runs of long-running steps and gangs, and runs that have been throttled, don't count.
//
// It guards against a worker that becomes slow or makes no progress: a job whose other tasks finished long ago would
// wait for the task on that worker.
func (r *run) isStraggler(now time.Time) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.Gang || r.state != RunLive || r.cpuLimit.lowered {
		return false
	}
	typical := s.typicalDuration()
	elapsed := now.Sub(r.startedAt)
	if typical == 0 || elapsed < stragglerFactor*typical {
		return false
	}
	restarted := typical
	if s.spec.Checkpointed {
		restarted = restarted * time.Duration(fullProgress-r.progress) / fullProgress
	}
	remaining := elapsed * time.Duration(fullProgress-r.progress) / time.Duration(max(r.progress, 1))
	return float64(remaining) > minRestartGain*float64(restarted+restartCost)
}

// updateIdle updates since when the run makes no progress and uses no CPU, although it isn't to be paused.
func (r *run) updateIdle(now time.Time, status RunStatus) {
	switch {
	case status.CPUUsage > 0 || status.Progress != r.progress || r.wantedCPULimit == 0 || !r.cpuLimit.mayRun():
		r.idleSince = time.Time{}
	case r.idleSince.IsZero():
		r.idleSince = now
	}
}

// isIdle reports whether the newest report shows neither progress nor CPU use of a run that has an end. Runs of gangs may
// wait for each other.
func (r *run) isIdle() bool {
	return r.task != nil && !r.task.step.spec.LongRunning && !r.task.step.spec.Gang && !r.idleSince.IsZero()
}

// isStalled reports whether a run has been idle for so long that it won't go on. A task that waits for something else looks
// the same, so with each of its runs that was taken for stalled the next one gets twice the time.
//
// A straggler shows only beside finished tasks of its step. The only task of a step, or the first ones, would stand still
// for as long as their worker renews its lease.
func (r *run) isStalled(now time.Time) bool {
	if r.state != RunLive || !r.isIdle() {
		return false
	}
	return now.Sub(r.idleSince) >= stalledAfter<<min(r.task.stalledRuns, maxStalledDoublings)
}

// replaceStragglers stops stragglers and stalled runs that fit on another worker. Each one counts against its worker's
// circuit breaker like a failure there. Workers in taken are already the destination of another move.
func (c *Core) replaceStragglers(now time.Time, taken map[*worker]bool) {
	for _, w := range c.workersByID {
		if w.contact != ContactGood {
			continue
		}
		for _, r := range w.runList {
			if r.task == nil || r.task.run != r || !r.isStraggler(now) && !r.isStalled(now) {
				continue
			}
			previous := r.task.avoidWorker
			r.task.avoidWorker = w.ID
			dest := c.bestWorker(now, r.task, "")
			if dest == nil || dest == w || taken[dest] {
				r.task.avoidWorker = previous
				continue
			}
			taken[dest] = true
			if r.isStalled(now) {
				r.task.stalledRuns++
			}
			w.breaker.RecordFailure(now, r.task.step.job.ID)
			r.orderedAt = time.Time{} // sends the stop without a delay
			c.stopRun(r)
		}
	}
}
