package sched

import (
	"slices"
	"time"
)

const (
	// stragglerFactor is how many times as long as the others of its step a task runs before it counts as a straggler,
	// and gainFactor how many times as long as anew elsewhere the rest of its work would take then.
	stragglerFactor = 2
	minRestartGain  = 1.5
	// minStragglerPeers is how many tasks of a step have to have ended for a time to be told from theirs.
	minStragglerPeers = 2
	// restartCost is what stopping a task and starting it elsewhere takes besides its work.
	restartCost = 500 * time.Millisecond
)

// typicalDuration returns how long a task of the step takes, by those that have ended: at least half of them. 0: not known.
func (s *stepInstance) typicalDuration() time.Duration {
	if len(s.durations) < minStragglerPeers || 2*len(s.durations) < len(s.tasks) {
		return 0
	}
	slices.Sort(s.durations)
	return s.durations[len(s.durations)/2]
}

// isStraggler reports whether a run is so far behind the others of its step that its task ends sooner when it is begun
// anew elsewhere.
//
// The failure it guards against: a worker has turned slow, or its tasks stand still; a job whose other tasks have long
// ended waits for the one on that worker.
func (r *run) isStraggler(now time.Time) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.Gang || r.state != RunLive || !r.cpuLimitSetAt.IsZero() {
		return false
	}
	usual := s.typicalDuration()
	ran := now.Sub(r.startedAt)
	if usual == 0 || ran < stragglerFactor*usual {
		return false
	}
	anew := usual
	if s.spec.Checkpointed {
		anew = anew * time.Duration(fullProgress-r.progress) / fullProgress
	}
	rest := ran * time.Duration(fullProgress-r.progress) / time.Duration(max(r.progress, 1))
	return float64(rest) > minRestartGain*float64(anew+restartCost)
}

// replaceStragglers stops stragglers for which there is a place elsewhere. Their workers are taken for bad ones as if the tasks
// had failed there.
func (c *Core) replaceStragglers(now time.Time, taken map[*worker]bool) {
	for _, w := range c.workersByID {
		if w.contact != ContactGood {
			continue
		}
		for _, r := range w.runList {
			if r.task == nil || r.task.run != r || !r.isStraggler(now) {
				continue
			}
			former := r.task.avoidWorker
			r.task.avoidWorker = w.ID
			to := c.bestWorker(now, r.task, "")
			if to == nil || to == w || taken[to] {
				r.task.avoidWorker = former
				continue
			}
			taken[to] = true
			w.breaker.RecordFailure(now, r.task.step.job.ID)
			r.orderedAt = time.Time{} // the stop is sent at once
			c.stopRun(r)
		}
	}
}
