package sched

import (
	"slices"
	"time"
)

// starveAfter is how long a job has nothing running before it counts as starved.
const starveAfter = 2 * time.Second

// timelyMost is how long after its hand-in a job that can be on time holds starved ones back. Its own aim bounds nothing for
// them: it grows with the work of a job.
const timelyMost = 8 * time.Second

// count counts a run that has come or gone. The job hasn't been idle up to now if the run was there, unless it was one
// of a starved job.
func (j *job) count(r *run, sign int) {
	j.live += sign
	if sign < 0 && !r.starved && !r.sure.IsZero() {
		j.idle = time.Time{}
	}
}

// starve finds out whether the step's job is starved: one of its filling tasks after the other is then placed where it may
// disturb serving tasks and where only memory is left. Slowed there, it gets further than by waiting for a place that may
// never come. Others are placed as if it weren't there, and none is placed while a job that can be on time has begun to wait.
func (c *Core) starve(now time.Time, s *stage) {
	j := s.job
	if j.idle.IsZero() {
		j.idle = now
	}
	starved := s.spec.Fills && j.live == 0 && now.Sub(j.idle) >= starveAfter && c.timely[j.Service] != c.plans
	if starved != s.starved {
		s.starved = starved
		s.misfits = nil // they are of another kind now
	}
}

// makeRoom stops starved tasks for a lasting one that lacks only the memory that they hold, on the worker where that takes the
// fewest. Slowed down to nothing, they would hold it for as long as the serving tasks there are near their targets.
func (c *Core) makeRoom(now time.Time, s *stage) {
	if c.starved == 0 {
		return
	}
	var fewest []*run
	for _, w := range c.ranks {
		z := s.spec.Size
		z.Mem = 0
		if w.Service != s.job.Service || !w.allows(now, s) || !w.free().Covers(z) {
			continue
		}
		runs, ok := w.starvedFor(s.spec.Size.Mem - w.free().Mem)
		switch {
		case ok && len(runs) == 0:
			return // it is being made
		case ok && (fewest == nil || len(runs) < len(fewest)):
			fewest = runs
		}
	}
	for _, r := range fewest {
		r.sent = time.Time{} // the stop is sent at once
		c.stop(r)
	}
}

// starvedFor returns the newest starved runs that hold so much memory besides what is being stopped, and whether there are.
func (w *worker) starvedFor(mem int) ([]*run, bool) {
	for _, r := range w.list {
		if r.starved && (r.state == RunStopping || r.state == RunStopped) {
			mem -= r.task.stage.spec.Size.Mem
		}
	}
	var runs []*run
	for _, r := range slices.Backward(w.list) {
		if mem <= 0 {
			break
		}
		if r.starved && r.state == RunLive {
			runs = append(runs, r)
			mem -= r.task.stage.spec.Size.Mem
		}
	}
	return runs, mem <= 0
}
