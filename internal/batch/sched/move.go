package sched

import "time"

const (
	// moveEvery is how often tasks that would be better off elsewhere are looked for.
	moveEvery = 100 * time.Millisecond
	// movePace is the pace below which a filling task is better off elsewhere: stopping it and
	// resuming it takes about half a second, a third of a task.
	movePace = 50
	// moveAfter is how long a filling task is slowed before it's moved: a peak of the load that
	// is over by then costs less.
	moveAfter = 400 * time.Millisecond
	// leaveTime is how long before its worker may leave a lasting task is moved: a stop takes
	// up to 0.4 s.
	leaveTime = 600 * time.Millisecond
	// ownAffinity is the affinity that a worker must have with a lasting task that is moved there: images that
	// are mixed leave no worker to the filling images that disturb one of them.
	ownAffinity = 0.2
)

// move stops tasks that are better off elsewhere; they are placed anew with what they have
// saved.
func (c *Core) move(now time.Time) {
	if now.Sub(c.moved) < moveEvery || !c.starts(now) {
		return
	}
	c.moved = now
	taken := map[*worker]bool{}
	c.replaceStragglers(now, taken)
	for _, w := range c.ranks {
		if w.contact != ContactGood || w.fill == 0 && !w.Draining {
			continue
		}
		for _, r := range w.list {
			if r.task == nil || r.state != RunLive || r.task.stage.spec.Gang || !r.throttled(now) && !r.leaving(now, w) {
				continue
			}
			to := c.pick(now, r.task, "")
			if to == nil || to == w || taken[to] {
				continue
			}
			if s := r.task.stage.spec; s.Lasting && c.affinity(to, s.Image) < ownAffinity {
				continue
			}
			taken[to] = true
			r.task.avoid = w.ID
			r.sent = time.Time{} // the stop is sent at once
			c.stop(r)
		}
	}
}

// throttled reports whether a filling run is paced down for so long that beginning anew elsewhere is worth what is
// lost: nothing where its progress is saved, else the time for which it has worked.
func (r *run) throttled(now time.Time) bool {
	if r.slowed.IsZero() {
		return false
	}
	d := now.Sub(r.slowed)
	if !r.task.stage.spec.Saves {
		d -= r.slowed.Sub(r.began)
	}
	return d >= moveAfter
}

// leaving reports whether a lasting run's worker may soon leave. What ends with its worker is
// begun anew only when the worker's lease has surely lapsed, some 6 s later. Other tasks stay:
// most workers stay for longer than they promise, and with the lasting ones gone they work at
// full speed there.
func (r *run) leaving(now time.Time, w *worker) bool {
	return w.Draining && r.task.stage.spec.Lasting && now.Add(leaveTime).After(w.leaves)
}
