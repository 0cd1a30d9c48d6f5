package health

import "time"

// Breaker is the circuit breaker of one worker. It trips for a cooldown when tasks of tripThreshold jobs have failed
// there, and again with each failure after the cooldown until a task succeeds. Its zero value isn't tripped.
type Breaker struct {
	failedJobs       map[string]bool // jobs with a failed task since the last success
	trippedUntil     time.Time       // end of the cooldown
	consecutiveTrips int             // trips since the last success, at most maxDoublings
}

const (
	// tripThreshold is the number of jobs that must fail on a worker without a success in between. It is more than one
	// so that a job that always fails doesn't make workers unavailable.
	tripThreshold = 3
	// initialCooldown is how long the breaker stays tripped the first time. The cooldown doubles with each consecutive
	// trip, as a worker that fails all its tasks would otherwise use up the attempts of one job after another.
	initialCooldown = 3 * time.Second
	// maxCooldown is the longest cooldown. A long-running task that only this worker has room for must run within 7 s
	// of the worker's recovery, so the cooldown is shorter than that.
	maxCooldown = 6 * time.Second
	// maxDoublings limits the number of doublings of the cooldown.
	maxDoublings = 3
)

// RecordFailure records that a task of a job failed on the worker.
func (b *Breaker) RecordFailure(now time.Time, job string) {
	if b.failedJobs == nil {
		b.failedJobs = map[string]bool{}
	}
	b.failedJobs[job] = true
	if b.Tripped(now) {
		return // a task started before the cooldown doesn't show the worker's health after it
	}
	if len(b.failedJobs) < tripThreshold {
		return
	}
	b.trippedUntil = now.Add(min(initialCooldown<<b.consecutiveTrips, maxCooldown))
	b.consecutiveTrips = min(b.consecutiveTrips+1, maxDoublings)
}

// RecordSuccess records that a task succeeded on the worker. It doesn't end a cooldown.
func (b *Breaker) RecordSuccess() {
	b.failedJobs = nil
	b.consecutiveTrips = 0
}

// TripUntil keeps the breaker tripped at least until a time, as when the worker has refused a start.
func (b *Breaker) TripUntil(until time.Time) {
	if until.After(b.trippedUntil) {
		b.trippedUntil = until
	}
}

// Tripped reports whether the worker must not get new tasks now.
func (b *Breaker) Tripped(now time.Time) bool {
	return now.Before(b.trippedUntil)
}
