package sched

import "time"

// starveAfter is how long a job has nothing running before it counts as starved.
const starveAfter = 2 * time.Second

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
// never come. Others are placed as if it weren't there, and none is placed while a job that can be on time waits.
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
