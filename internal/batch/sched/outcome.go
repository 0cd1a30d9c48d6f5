package sched

import (
	"time"
)

const (
	// sickCooldown is how long a worker that refused a start gets none.
	sickCooldown = time.Second
	// roomCooldown is how long a worker gets no start after it had less room than the ledger says:
	// a run that is being stopped still counts there.
	roomCooldown = 100 * time.Millisecond
)

// HandleOutcome takes the outcome of an order. Each order that Plan returned has to be answered, unless the term is
// over: no other of its kind is sent to its run before.
func (c *Core) HandleOutcome(now time.Time, o Order, out Outcome) {
	w := c.workers[o.Incarnation.ID]
	if w == nil {
		return
	}
	r := w.runs[runKey{o.Task, o.Run}]
	if r != nil {
		// Also where the answer is of a former life: the run may stay, and be ordered about again.
		r.settleOrder(now, o.Verb, out)
		if o.Verb == VerbStart {
			c.startLimiter.recordAnswer(now, now.Sub(r.orderedAt), out)
		}
	}
	if r != nil && r.incarnation != w.StartedAt && out != OutcomeUnsent {
		c.extendExpiry(now, w)
	}
	if out == OutcomeOtherIncarnation {
		c.IncarnationEnded(now, o.Incarnation.ID, o.Incarnation.StartedAt)
		return
	}
	if r == nil {
		return
	}
	switch o.Verb {
	case VerbStart:
		c.handleStartOutcome(now, w, r, out)
	case VerbStop:
		if out == OutcomeDone || out == OutcomeRunEnded {
			r.state = RunStopped
			r.confirmedAt = now
		}
	case VerbThrottle:
		if out == OutcomeDone {
			r.cpuLimit = o.CPULimit
			r.cpuLimitSetAt = now
		}
	}
}

// settleOrder notes that an order about a run is no longer under way.
func (r *run) settleOrder(now time.Time, v Verb, out Outcome) {
	switch v {
	case VerbStop:
		r.stopBackoff.markSettled(now, out == OutcomeDone || out == OutcomeRunEnded)
	case VerbThrottle:
		r.throttleBackoff.markSettled(now, out == OutcomeDone)
	}
}

func (c *Core) handleStartOutcome(now time.Time, w *worker, r *run, out Outcome) {
	if r.task != nil && (out == OutcomeDone || out == OutcomeRunEnded) {
		r.task.step.job.started = true
	}
	switch out {
	case OutcomeDone:
		if r.state == RunSent {
			r.state = RunLive
			r.confirmedAt = now
		}
		if r.starved {
			c.updateCPULimits(now, w) // until the next reading it would disturb at full speed
		}
	case OutcomeUnknown, OutcomeInvalid:
		if r.state == RunSent {
			r.state = RunUnknown
			r.orderedAt = now
		}
	case OutcomeRunEnded:
		// It did run there and has ended; the next poll tells how.
		r.state = RunStopped
		r.confirmedAt = now
	case OutcomeNoResources:
		w.breaker.TripUntil(now.Add(roomCooldown))
		c.releaseRun(r)
	case OutcomeUnavailable:
		w.breaker.TripUntil(now.Add(sickCooldown))
		c.releaseRun(r)
	default:
		c.releaseRun(r)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
