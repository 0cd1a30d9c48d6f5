package sched

import "time"

const (
	// moveInterval is the minimum time between two searches for runs to move.
	moveInterval = 100 * time.Millisecond
	// minKeepCPULimit is the CPU limit in percent below which a best-effort task is better moved: stopping and resuming
	// it takes about half a second, a third of a task's duration.
	minKeepCPULimit = 50
	// moveAfterThrottled is how long a best-effort task is throttled before it is moved: a load peak that ends earlier
	// costs less than a move.
	moveAfterThrottled = 400 * time.Millisecond
	// moveBeforeLeave is how long before the earliest departure of its draining worker a long-running task is moved: a
	// stop takes up to 0.4 s.
	moveBeforeLeave = 600 * time.Millisecond
	// minMoveAffinity is the minimum affinity between a long-running task and the worker to which it is moved. Mixing
	// images would leave no worker for the best-effort images that interfere with one of them.
	minMoveAffinity = 0.2
)

// moveRuns stops runs that are better off on another worker: stragglers, throttled best-effort runs, and long-running
// runs on draining workers. Their tasks are placed again and resume from the newest checkpoint.
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
			dest := c.bestWorker(now, r.task, "")
			if dest == nil || dest == w || taken[dest] {
				continue
			}
			if s := r.task.step.spec; s.LongRunning && c.affinity(dest, s.Image) < minMoveAffinity {
				continue
			}
			taken[dest] = true
			r.task.avoidWorker = w.ID
			r.orderedAt = time.Time{} // sends the stop without a delay
			c.stopRun(r)
		}
	}
}

// throttledTooLong reports whether a best-effort run has been throttled for so long that a restart elsewhere is worth
// the work it loses: none if the task writes checkpoints, otherwise the time it ran before it was throttled.
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

// workerLeaving reports whether a long-running run has to be moved because its worker may leave soon. A task that ends
// with its worker is restarted only after the worker's lease has certainly expired, about 6 s later. Other tasks are
// not moved: most workers stay longer than announced, and without long-running tasks beside them the others run at full
// speed there.
func (r *run) workerLeaving(now time.Time, w *worker) bool {
	return w.Draining && r.task.step.spec.LongRunning && now.Add(moveBeforeLeave).After(w.drainUntil)
}
