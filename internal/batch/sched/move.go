package sched

import "time"

const (
	// moveEvery is how often slowed tasks are looked at for a better place.
	moveEvery = 100 * time.Millisecond
	// movePace is the pace below which a filling task is better off elsewhere: stopping it and
	// resuming it takes about half a second, a third of a task.
	movePace = 50
	// moveAfter is how long a filling task is slowed before it's moved: a peak of the load that
	// is over by then costs less.
	moveAfter = 400 * time.Millisecond
	// saveTime is how long before its worker may leave a task is stopped that saves its
	// progress: stops take up to 0.4 s.
	saveTime = 600 * time.Millisecond
)

// move stops tasks that are better off elsewhere; they are placed anew with what they have
// saved.
//
// A filling task is moved when it's slowed and there is a place where it would work at full
// speed: one in twelve is slowed at some time, and half of these took over 4 s where they
// stayed, a tenth over 13 s, instead of 1.5 s; a job is as late as its last task. Any task is moved
// that would end with a worker that leaves: what ended so was begun anew only when the
// worker's lease had surely lapsed, some 6 s later.
func (c *Core) move(now time.Time) {
	if now.Sub(c.moved) < moveEvery || !c.acts(now) {
		return
	}
	c.moved = now
	taken := map[*worker]bool{}
	for _, w := range c.ranks {
		if w.contact != ContactGood || w.fill == 0 && !w.Draining {
			continue
		}
		for _, r := range w.all() {
			if r.task == nil || r.state != RunLive || r.task.stage.spec.Gang || !c.misplaced(now, w, r) {
				continue
			}
			if !w.Draining || r.task.stage.spec.Lasting {
				to := c.pick(now, r.task, "")
				if to == nil || to == w || taken[to] {
					continue
				}
				taken[to] = true
			}
			r.task.avoid = w.ID
			r.sent = time.Time{} // the stop is sent at once
			c.stop(r)
		}
	}
}

// misplaced reports whether a run should go elsewhere.
func (c *Core) misplaced(now time.Time, w *worker, r *run) bool {
	s := r.task.stage
	switch {
	case !w.Draining:
		return r.tardy(now)
	case s.spec.Lasting:
		return true
	case s.spec.Saves && now.Add(saveTime).Before(w.leaves):
		return false
	}
	ends := r.began.Add(c.speeds.expect(s.job.Queue, s.spec.Estimate))
	return ends.After(w.leaves)
}

// tardy reports whether a run is slowed for so long that beginning anew elsewhere is worth
// what is lost: nothing where its progress is saved, else the time for which it has worked.
func (r *run) tardy(now time.Time) bool {
	if r.slowed.IsZero() {
		return false
	}
	d := now.Sub(r.slowed)
	if !r.task.stage.spec.Saves {
		d -= r.slowed.Sub(r.began)
	}
	return d >= moveAfter
}
