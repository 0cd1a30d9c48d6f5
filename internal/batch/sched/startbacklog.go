package sched

import (
	"slices"
	"time"
)

// startBacklog estimates how long this process needs to start the tasks that it has accepted, while the start limiter
// and not a lack of room on the workers holds them back.
type startBacklog struct {
	limitedSince time.Time // since when the limiter has held tasks back in each plan; zero: not in the newest
	held         int       // tasks that the newest plan left out because of the limiter
	ready        int       // tasks that have become ready since
	oldestHeld   time.Time // since when the step that has been held back longest is
	// Starts that were answered, in the current interval and the one before.
	intervalStart, previousStart time.Time
	answered, previousAnswered   int

	returns expectedReturns // refused jobs that will come back
}

const (
	// minLimited is how long the limiter has to hold tasks back before jobs are refused. A new holder that starts the
	// tasks of its predecessor is through by then, and its rate is known.
	minLimited = 2 * time.Second
	// startRateInterval is the least length of the intervals in which answered starts are counted.
	startRateInterval = time.Second
	// minStartDelay and maxStartDelay are the bounds of the delay that a new job bears. No step is to be held back for
	// longer than maxStartDelay, however long its job has until its deadline.
	minStartDelay = time.Second
	maxStartDelay = 3 * time.Second
	// minAdmissionDelay and maxAdmissionDelay are the bounds of the delay after which a refused job may be submitted.
	minAdmissionDelay = time.Second
	maxAdmissionDelay = 30 * time.Second
)

// recordAnswer counts a start that a worker has answered.
func (b *startBacklog) recordAnswer(now time.Time) {
	if b.intervalStart.IsZero() {
		b.intervalStart, b.previousStart = now, now
	}
	if now.Sub(b.intervalStart) >= startRateInterval {
		b.previousStart, b.previousAnswered = b.intervalStart, b.answered
		b.intervalStart, b.answered = now, 0
	}
	b.answered++
}

// recordPlan records which tasks a plan left out.
func (b *startBacklog) recordPlan(now time.Time, held int, oldest time.Time) {
	b.ready, b.held, b.oldestHeld = 0, held, oldest
	switch {
	case held == 0:
		b.limitedSince = time.Time{}
	case b.limitedSince.IsZero():
		b.limitedSince = now
	}
}

// sustained reports whether the limiter has held tasks back for so long that this process can't keep up.
func (b *startBacklog) sustained(now time.Time) bool {
	return !b.limitedSince.IsZero() && now.Sub(b.limitedSince) >= minLimited
}

// drainTime returns how long it takes to start the tasks that are held back, at the rate of the last seconds.
func (b *startBacklog) drainTime(now time.Time) time.Duration {
	if b.held == 0 {
		return 0
	}
	return b.startTime(now, b.held+b.ready)
}

// startTime returns how long it takes to start a number of tasks, at the rate of the last seconds.
func (b *startBacklog) startTime(now time.Time, tasks int) time.Duration {
	answered := b.answered + b.previousAnswered
	if answered == 0 {
		return maxAdmissionDelay
	}
	perStart := float64(now.Sub(b.previousStart)) / float64(answered)
	return time.Duration(min(float64(tasks)*perStart, float64(maxAdmissionDelay)))
}

// updateStartBacklog records which tasks the newest plan left out because of the start limiter.
func (c *Core) updateStartBacklog(now time.Time, formerRuns bool) {
	held, oldest, streakStart := 0, now, c.startBacklog.limitedSince
	if streakStart.IsZero() {
		streakStart = now
	}
	if c.startLimiter.limited {
		for _, s := range c.waitQueue.steps {
			if s.pending == 0 || s.lacksWorker || formerRuns && s.job.restored || c.infeasibleSizes(s).rulesOut(c.planNumber, s.spec.Size) {
				continue
			}
			if s.heldSince.Before(streakStart) {
				s.heldSince = now
			}
			held += s.pending
			if s.heldSince.Before(oldest) {
				oldest = s.heldSince
			}
		}
	}
	c.startBacklog.recordPlan(now, held, oldest)
}

// AdmissionDelay returns after which time a new job is to be submitted again because this process can't start in time
// what it has accepted, or 0 if the job is to be accepted.
//
// Refused early, the caller can come back when the job will be served. Accepted, it would wait although workers have
// room, or make others wait that were accepted before.
//
// A job that returns when it was told to has its turn before new ones.
func (c *Core) AdmissionDelay(now time.Time, j *Job) time.Duration {
	b := &c.startBacklog
	returns := b.returns.takeInTime(now, j.ID)
	if !b.sustained(now) {
		return 0
	}
	delay := c.admissionDelay(now, j, returns)
	if delay > 0 {
		b.returns.expect(j, now.Add(delay))
	}
	return delay
}

// admissionDelay returns AdmissionDelay while this process can't keep up. returns is whether the job returns when it was told
// to.
func (c *Core) admissionDelay(now time.Time, j *Job, returns bool) time.Duration {
	b := &c.startBacklog
	drain, bound := b.drainTime(now), c.bearableStartDelay(j)
	if returns {
		bound = returnTolerance * bound
	} else if b.held > 0 {
		drain = b.startTime(now, b.held+b.ready+b.returns.tasks(now))
	}
	switch {
	case now.Sub(b.oldestHeld) > maxStartDelay && !returns:
		return max(drain, minAdmissionDelay) // newer jobs would keep it waiting
	case drain > bound:
		return max(drain-bound, minAdmissionDelay)
	}
	return 0
}

// bearableStartDelay returns how long the start of a new job may be delayed: as long as it is useful to its caller, within
// bounds.
func (c *Core) bearableStartDelay(j *Job) time.Duration {
	if j.OccurrenceCount > 0 || slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning }) {
		return maxStartDelay
	}
	path := slices.Max(c.criticalPaths(j))
	deadline := j.DeadlineBase + time.Duration(j.StretchFactor*float64(path))
	return min(max(usefulDeadlineFactor*deadline-path, minStartDelay), maxStartDelay)
}
