package rack

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// worker is what the rack's holder knows about one worker.
type worker struct {
	addr                string
	size                wire.Size       // all its resources, as last reported
	fenced              bool            // it has accepted this holder's epoch, and its lease has not expired since
	leaseCallInFlight   bool            // a fence or renewal has no answer yet
	lastLeaseCall       time.Time       // when the last fence or renewal was emitted; zero if the next one is due at once
	answeredCallAt      time.Time       // when the last fence or renewal that it has executed was emitted
	clockReading        wire.WorkerTime // its own time in the last answer to a command
	clockReadAt         time.Time       // local time at which that answer arrived
	lastAnswer          time.Time       // when it last gave a report, even one that may be out of date
	leaseExpiry         time.Time       // when its tasks have certainly stopped unless its lease is renewed
	consecutiveFailures int             // tasks that failed in a row, of whichever jobs
	cooldownUntil       time.Time       // it gets no new task before this time
}

// clockAt returns the worker's own time at a local time after clockReadAt, or a slightly earlier one, as the answer
// with the clock reading took some time to arrive.
//
// Commands carry times computed by clockAt, so that one that is late, because this process or the network stalled
// after the command was emitted, is refused or changes nothing.
func (w *worker) clockAt(local time.Time) wire.WorkerTime {
	return w.clockReading + wire.WorkerTime(local.Sub(w.clockReadAt))
}

// recordReport records the clock and size in an answer to a command.
func (w *worker) recordReport(now time.Time, r wire.Report) {
	w.clockReading, w.clockReadAt, w.lastAnswer, w.size = r.Now, now, now, r.Size
}

const (
	maxConsecutiveFailures = 5                // failures in a row that start a cooldown
	failureCooldown        = 10 * time.Second // after it the worker gets one task at a time
)

// recordFailure counts a task that failed on the worker and starts a cooldown after too many in a row. Otherwise a
// worker on which every task fails would always have free resources and attract all tasks.
func (w *worker) recordFailure(now time.Time) {
	w.consecutiveFailures++
	if w.consecutiveFailures >= maxConsecutiveFailures {
		w.cooldownUntil = now.Add(failureCooldown)
	}
}

// resetFailures ends the count of failures and any cooldown after a task has finished on the worker.
func (w *worker) resetFailures() {
	w.consecutiveFailures, w.cooldownUntil = 0, time.Time{}
}
