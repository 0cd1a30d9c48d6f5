package health

import "time"

// Breaker is a circuit breaker: it trips once a worker fails the jobs that it is given. Its zero value hasn't tripped.
type Breaker struct {
	failedJobs       map[string]bool // jobs, since the last success
	trippedUntil     time.Time
	consecutiveTrips int // in a row
}

const (
	// tripThreshold is how many jobs must fail on a worker, with no success between, before it trips: one job that
	// always fails mustn't take workers out.
	tripThreshold = 3
	// initialCooldown is how long it is tripped at first; that doubles, as a worker that fails all it starts would
	// otherwise get the tries of one job after another.
	initialCooldown = 3 * time.Second
	// maxCooldown is below the 7 s after which a lasting task has to run where only this worker has room, from when it is
	// sound again.
	maxCooldown = 6 * time.Second
	// maxDoublings bounds the doubling.
	maxDoublings = 3
)

// RecordFailure takes the failure of a job's task on the worker.
func (b *Breaker) RecordFailure(now time.Time, job string) {
	if b.failedJobs == nil {
		b.failedJobs = map[string]bool{}
	}
	b.failedJobs[job] = true
	if b.Tripped(now) {
		return // what began before the rest says nothing of how the worker is after it
	}
	if len(b.failedJobs) < tripThreshold {
		return
	}
	b.trippedUntil = now.Add(min(initialCooldown<<b.consecutiveTrips, maxCooldown))
	b.consecutiveTrips = min(b.consecutiveTrips+1, maxDoublings)
}

// RecordSuccess takes the success of a task on the worker. A rest that has begun goes on.
func (b *Breaker) RecordSuccess() {
	b.failedJobs = nil
	b.consecutiveTrips = 0
}

// TripUntil has the breaker tripped until a time at least.
func (b *Breaker) TripUntil(until time.Time) {
	if until.After(b.trippedUntil) {
		b.trippedUntil = until
	}
}

// Tripped reports whether the worker is to get no tasks now.
func (b *Breaker) Tripped(now time.Time) bool {
	return now.Before(b.trippedUntil)
}
