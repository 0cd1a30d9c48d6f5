package sched

import "time"

// An incarnation that has replaced the one in contact unnoticed numbers its ends from 1 again. If it finishes a run and then
// carries out a poll for the former one, on time or seconds late, it forgets an end that no holder has received. Such a run was
// begun by a start that no report lists, as an answer to it would have shown the restart. While there may be one, ends aren't
// acknowledged; where that costs too much, they are to an incarnation that has just been verified.

const (
	// maxAckAge is the age of a worker's last answer up to which its incarnation counts as verified. A worker takes longer to
	// crash, start again, carry out a start and finish its run.
	maxAckAge = 300 * time.Millisecond
	// maxStartWait is how long the next poll waits for the answer to a start in flight, so that it can acknowledge ends.
	maxStartWait = 300 * time.Millisecond
	// minAckDelay is the least time between two polls of a worker that can't acknowledge the ends that are stored, and
	// ackDelayPerWorker the time between two of all these workers in a small fleet. A worker answers each at once with the same
	// ends.
	minAckDelay       = 150 * time.Millisecond
	ackDelayPerWorker = 5 * time.Millisecond
	// maxWithheldEnds is the number of ends of a worker up to which their acknowledgement is withheld. A report lists at most
	// maxReportedEnds.
	maxWithheldEnds = 100
	// maxGuardedLag is the lag of plans from which on this holder is busy, and busyTime how long it counts as busy after the late
	// answer to a start. silentFleetTime is the same after much of the fleet was silent: what piled up is over by then.
	maxGuardedLag   = 50 * time.Millisecond
	busyTime        = 5 * time.Second
	silentFleetTime = 30 * time.Second
)

// mayAck reports whether the next poll of a worker may acknowledge ends. Otherwise, it verifies the incarnation if that will do.
func (c *Core) mayAck(now time.Time, w *worker) (may, verify bool) {
	unlisted := c.hasUnlistedStart(now, w)
	if unlisted && c.mayWithhold(now, w) {
		return false, false
	}
	if (unlisted || w.mayRunLateStart(now)) && !w.isVerified(now) {
		return false, true
	}
	return true, false
}

// mayWithhold reports whether acknowledgements may be withheld to a worker.
func (c *Core) mayWithhold(now time.Time, w *worker) bool {
	return !c.busy(now) && w.ackedSeq-w.deliveredSeq < maxWithheldEnds
}

// busy reports whether this holder may be too short of processor time for calls that only guard against late ones.
func (c *Core) busy(now time.Time) bool {
	return c.planLag >= maxGuardedLag || c.startBacklog.held > 0 || now.Sub(c.startLimiter.answeredLate) < busyTime ||
		now.Sub(c.fleetSilentAt) < silentFleetTime
}

// AckDelay returns for how long the next poll of a worker should still be delayed at now, if the last answer was handled at the
// time answered, as it couldn't acknowledge the ends that are stored.
func (c *Core) AckDelay(answered, now time.Time, id string) time.Duration {
	w := c.workers[id]
	if w == nil || w.contact != ContactGood || w.ackedSeq <= w.deliveredSeq || !c.hasUnlistedStart(now, w) || !c.mayWithhold(now, w) {
		return 0
	}
	delay := maxStartWait
	if len(w.lateStarts) > 0 {
		// The polls of a large fleet take most of the holder's processor time.
		size := max(len(c.workers), maxPendingWorkers)
		perWorker := ackDelayPerWorker * time.Duration(size*size) / (maxPendingWorkers * maxPendingWorkers)
		delay = min(max(minAckDelay, time.Duration(c.pendingStartWorkers)*perWorker), w.pollInterval())
	}
	return max(0, delay-now.Sub(answered))
}

// SetPlanLag sets how far this holder's plans lag behind the events that they cover.
func (c *Core) SetPlanLag(lag time.Duration) { c.planLag = lag }

// mayRunLateStart reports whether the worker may still carry out a start that was given up without an answer, or that a former
// holder may have given up.
func (w *worker) mayRunLateStart(now time.Time) bool {
	return !w.unansweredAt.IsZero() && now.Sub(w.unansweredAt) < maxOrderDelay
}

// isVerified reports whether the incarnation of a worker in contact is certain enough to acknowledge ends to it. If the last
// answer is too old, a poll without an acknowledgement verifies the incarnation. The next one then acknowledges however late
// that answer was read, as a holder that reads all answers late never would otherwise.
func (w *worker) isVerified(now time.Time) bool {
	return w.verified || w.clock.now(now)-w.answeredClock <= maxAckAge
}
