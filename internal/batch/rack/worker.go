package rack

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// worker is one worker as its rack's holder knows it.
type worker struct {
	addr              string
	size              wire.Size
	fenced            bool
	leaseCallInFlight bool // a fence or renewal is under way
	lastLeaseCall     time.Time
	// clockReading was the worker's own time when an answer came in at heard.
	clockReading wire.WorkerTime
	clockReadAt  time.Time
	// lastAnswer is when it last answered anything, a lagging report included.
	lastAnswer time.Time
	// leaseExpiry is when its tasks have certainly stopped unless it is renewed again.
	leaseExpiry time.Time
	// consecutiveFailures counts failures in a row, of different jobs; from tired on it rests.
	consecutiveFailures int
	cooldownUntil       time.Time
}

// clockAt returns the worker's own time clockAt a local time after heard, or a little earlier:
// the answer that carried the clock was under way for a while before it was heard.
//
// Commands carry moments reckoned by this, so that one which is late, because this
// process or the network stood still after it was decided, is refused or changes nothing.
func (w *worker) clockAt(local time.Time) wire.WorkerTime {
	return w.clockReading + wire.WorkerTime(local.Sub(w.clockReadAt))
}

func (w *worker) recordReport(now time.Time, r wire.Report) {
	w.clockReading, w.clockReadAt, w.lastAnswer, w.size = r.Now, now, now, r.Size
}

const (
	maxConsecutiveFailures = 5                // failures in a row that make a worker rest
	failureCooldown        = 10 * time.Second // after which one task is tried there
)

// recordFailure notes a task that recordFailure on the worker; a worker on which everything fails is
// always free and would draw all work to itself.
func (w *worker) recordFailure(now time.Time) {
	w.consecutiveFailures++
	if w.consecutiveFailures >= maxConsecutiveFailures {
		w.cooldownUntil = now.Add(failureCooldown)
	}
}

func (w *worker) resetFailures() {
	w.consecutiveFailures, w.cooldownUntil = 0, time.Time{}
}
