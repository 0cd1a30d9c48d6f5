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
)

// move stops filling tasks that are slowed and for which there is a place where they would
// work at full speed; they are placed anew with what they have saved. One in twelve is slowed
// at some time, and half of these took over 4 s where they stayed, a tenth over 13 s, instead of
// 1.5 s; a job is as late as its last task.
func (c *Core) move(now time.Time) {
	if now.Sub(c.moved) < moveEvery || !c.acts(now) {
		return
	}
	c.moved = now
	taken := map[*worker]bool{}
	for _, w := range c.ranks {
		if w.contact != ContactGood || w.fill == 0 {
			continue
		}
		for _, r := range w.filling() {
			if !r.tardy(now) {
				continue
			}
			to := c.pick(now, r.task, "")
			if to == nil || to == w || taken[to] {
				continue
			}
			taken[to] = true
			r.task.avoid = w.ID
			r.sent = time.Time{} // the stop is sent at once
			c.stop(r)
		}
	}
}

// tardy reports whether a run is slowed for so long that beginning anew elsewhere is worth
// what is lost: nothing where its progress is saved, else the time for which it has worked.
func (r *run) tardy(now time.Time) bool {
	if r.slowed.IsZero() || r.task.stage.spec.Gang || r.task.stage.job.state.Final() {
		return false
	}
	d := now.Sub(r.slowed)
	if !r.task.stage.spec.Saves {
		d -= r.slowed.Sub(r.began)
	}
	return d >= moveAfter
}
