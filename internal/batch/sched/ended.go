package sched

import "time"

// endedJob is all that is kept of a job once its final state is stored and no run of it is left. Reports about its
// runs are then handled like those about runs of an unknown job.
type endedJob struct {
	state   State
	endedAt time.Time // when it reached its final state
}

// settled reports whether the job's final state is stored, with nothing to store after it, and no run of it is left.
func (j *job) settled() bool {
	return j.state.Final() && j.storedState == j.state && !j.dirty() && j.activeRuns == 0
}

// compactEnded replaces the jobs that have settled since their final state was stored.
func (c *Core) compactEnded() {
	remaining := c.settling[:0]
	for _, j := range c.settling {
		switch {
		case c.jobs[j.ID] != j: // it was replaced or forgotten
		case j.settled():
			delete(c.jobs, j.ID)
			c.endedJobs[j.ID] = endedJob{j.state, j.endedAt}
		default:
			remaining = append(remaining, j)
		}
	}
	clear(c.settling[len(remaining):])
	c.settling = remaining
}
