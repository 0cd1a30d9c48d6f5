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
)

// moveRuns stops runs that are better off on another worker: stragglers and throttled best-effort runs. Their tasks are
// placed again and resume from the newest checkpoint.
func (c *Core) moveRuns(now time.Time) {
	if now.Sub(c.lastMoveCheck) < moveInterval || !c.mayStart(now) {
		return
	}
	c.lastMoveCheck = now
	taken := map[*worker]bool{}
	c.replaceStragglers(now, taken)
	for _, w := range c.workersByID {
		if w.contact != ContactGood || w.bestEffortCPU == 0 {
			continue
		}
		for _, r := range w.runList {
			if r.task == nil || r.state != RunLive || r.task.step.spec.Gang || !r.throttledTooLong(now) {
				continue
			}
			dest := c.bestWorker(now, r.task, "")
			if dest == nil || dest == w || taken[dest] {
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
