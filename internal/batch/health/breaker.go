package health

import "time"

// Breaker is a circuit breaker: it trips once a worker fails the jobs that it is given. Its zero value hasn't tripped.
type Breaker struct {
	failed map[string]bool // jobs, since the last success
	until  time.Time
	trips  int // in a row
}

const (
	// tripAfter is how many jobs must fail on a worker, with no success between, before it trips: one job that
	// always fails mustn't take workers out.
	tripAfter = 3
	// firstRest is how long it is tripped at first; that doubles, as a worker that fails all it starts would
	// otherwise get the tries of one job after another.
	firstRest = 3 * time.Second
	// maxRest is below the 7 s after which a lasting task has to run where only this worker has room, from when it is
	// sound again.
	maxRest = 6 * time.Second
	// maxTrips bounds the doubling.
	maxTrips = 3
)

// Failed takes the failure of a job's task on the worker.
func (b *Breaker) Failed(now time.Time, job string) {
	if b.failed == nil {
		b.failed = map[string]bool{}
	}
	b.failed[job] = true
	if b.Tripped(now) {
		return // what began before the rest says nothing of how the worker is after it
	}
	if len(b.failed) < tripAfter {
		return
	}
	b.until = now.Add(min(firstRest<<b.trips, maxRest))
	b.trips = min(b.trips+1, maxTrips)
}

// Succeeded takes the success of a task on the worker. A rest that has begun goes on.
func (b *Breaker) Succeeded() {
	b.failed = nil
	b.trips = 0
}

// Rest has the breaker tripped until a time at least.
func (b *Breaker) Rest(until time.Time) {
	if until.After(b.until) {
		b.until = until
	}
}

// Tripped reports whether the worker is to get no tasks now.
func (b *Breaker) Tripped(now time.Time) bool {
	return now.Before(b.until)
}
