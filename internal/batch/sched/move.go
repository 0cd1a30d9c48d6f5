package sched

import "time"

const (
	// moveInterval is how often tasks that would be better off elsewhere are looked for.
	moveInterval = 100 * time.Millisecond
	// minKeepCPULimit is the pace below which a filling task is better off elsewhere: stopping it and
	// resuming it takes about half a second, a third of a task.
	minKeepCPULimit = 50
	// moveAfterThrottled is how long a filling task is slowed before it's moved: a peak of the load that
	// is over by then costs less.
	moveAfterThrottled = 400 * time.Millisecond
	// moveBeforeLeave is how long before its worker may leave a lasting task is moved: a stop takes
	// up to 0.4 s.
	moveBeforeLeave = 600 * time.Millisecond
	// minMoveAffinity is the affinity that a worker must have with a lasting task that is moved there: images that
	// are mixed leave no worker to the filling images that disturb one of them.
	minMoveAffinity = 0.2
)

// moveRuns stops tasks that are better off elsewhere; they are placed anew with what they have
// saved.
func (c *Core) moveRuns(now time.Time) {
	if now.Sub(c.lastMoveCheck) < moveInterval || !c.mayStart(now) {
		return
	}
	c.lastMoveCheck = now
	taken := map[*worker]bool{}
	c.replaceStragglers(now, taken)
	for _, w := range c.workersByID {
		if w.contact != ContactGood || w.bestEffortCPU == 0 && !w.Draining {
			continue
		}
		for _, r := range w.runList {
			if r.task == nil || r.state != RunLive || r.task.step.spec.Gang || !r.throttledTooLong(now) && !r.workerLeaving(now, w) {
				continue
			}
			to := c.bestWorker(now, r.task, "")
			if to == nil || to == w || taken[to] {
				continue
			}
			if s := r.task.step.spec; s.LongRunning && c.affinity(to, s.Image) < minMoveAffinity {
				continue
			}
			taken[to] = true
			r.task.avoidWorker = w.ID
			r.orderedAt = time.Time{} // the stop is sent at once
			c.stopRun(r)
		}
	}
}

// throttledTooLong reports whether a filling run is paced down for so long that beginning anew elsewhere is worth what is
// lost: nothing where its progress is saved, else the time for which it has worked.
func (r *run) throttledTooLong(now time.Time) bool {
	if r.throttledSince.IsZero() {
		return false
	}
	d := now.Sub(r.throttledSince)
	if !r.task.step.spec.Checkpointed {
		d -= r.throttledSince.Sub(r.startedAt)
	}
	return d >= moveAfterThrottled
}

// workerLeaving reports whether a lasting run's worker may soon leave. What ends with its worker is
// begun anew only when the worker's lease has surely lapsed, some 6 s later. Other tasks stay:
// most workers stay for longer than they promise, and with the lasting ones gone they work at
// full speed there.
func (r *run) workerLeaving(now time.Time, w *worker) bool {
	return w.Draining && r.task.step.spec.LongRunning && now.Add(moveBeforeLeave).After(w.drainUntil)
}
