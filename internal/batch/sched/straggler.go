package sched

import (
	"slices"
	"time"
)

const (
	// stragglerFactor is how many times as long as the others of its step a task runs before it counts as a straggler,
	// and gainFactor how many times as long as anew elsewhere the rest of its work would take then.
	stragglerFactor = 2
	gainFactor      = 1.5
	// stragglerPeers is how many tasks of a step have to have ended for a time to be told from theirs.
	stragglerPeers = 2
	// moveCost is what stopping a task and starting it elsewhere takes besides its work.
	moveCost = 500 * time.Millisecond
)

// usual returns how long a task of the step takes, by those that have ended: at least half of them. 0: not known.
func (s *stage) usual() time.Duration {
	if len(s.took) < stragglerPeers || 2*len(s.took) < len(s.tasks) {
		return 0
	}
	slices.Sort(s.took)
	return s.took[len(s.took)/2]
}

// straggles reports whether a run is so far behind the others of its step that its task ends sooner when it is begun
// anew elsewhere.
//
// The failure it guards against: a worker has turned slow, or its tasks stand still; a job whose other tasks have long
// ended waits for the one on that worker.
func (r *run) straggles(now time.Time) bool {
	s := r.task.stage
	if s.spec.Lasting || s.spec.Gang || r.state != RunLive || !r.paced.IsZero() {
		return false
	}
	usual := s.usual()
	ran := now.Sub(r.began)
	if usual == 0 || ran < stragglerFactor*usual {
		return false
	}
	anew := usual
	if s.spec.Saves {
		anew = anew * time.Duration(whole-r.part) / whole
	}
	rest := ran * time.Duration(whole-r.part) / time.Duration(max(r.part, 1))
	return float64(rest) > gainFactor*float64(anew+moveCost)
}

// replaceStragglers stops stragglers for which there is a place elsewhere. Their workers are taken for bad ones as if the tasks
// had failed there.
func (c *Core) replaceStragglers(now time.Time, taken map[*worker]bool) {
	for _, w := range c.ranks {
		if w.contact != ContactGood {
			continue
		}
		for _, r := range w.list {
			if r.task == nil || r.task.run != r || !r.straggles(now) {
				continue
			}
			former := r.task.avoid
			r.task.avoid = w.ID
			to := c.pick(now, r.task, "")
			if to == nil || to == w || taken[to] {
				r.task.avoid = former
				continue
			}
			taken[to] = true
			w.breaker.RecordFailure(now, r.task.stage.job.ID)
			r.sent = time.Time{} // the stop is sent at once
			c.stop(r)
		}
	}
}
