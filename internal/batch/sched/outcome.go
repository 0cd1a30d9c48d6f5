package sched

import (
	"time"
)

const (
	// unavailableCooldown is how long a worker gets no start after it refused one as unavailable.
	unavailableCooldown = time.Second
	// noResourcesCooldown is how long a worker gets no start after it had less free than this holder counted:
	// a run that is being stopped still takes resources on the worker.
	noResourcesCooldown = 100 * time.Millisecond
)

// HandleOutcome records the outcome of an order. Unless the term is over, it must be called for each order that Plan
// returned: until then, no other order of its verb is sent to its run.
func (c *Core) HandleOutcome(now time.Time, o Order, out Outcome) {
	w := c.workers[o.Incarnation.ID]
	if w == nil {
		return
	}
	c.noteOrderDue(w)
	r := w.runs[runKey{o.Task, o.Run}]
	if out == OutcomeDoneByLater {
		c.noteUnseenRestart(now, w, o.Incarnation)
		out = OutcomeDone
	}
	if r != nil {
		if o.Verb == VerbStart && out == OutcomeUnknown {
			c.noteLateStart(r)
		}
		r.answered = r.answered || o.Verb == VerbStart
		// Also for an order to a former incarnation: the run may stay assigned to the worker and get further orders.
		r.settleOrder(now, o.Verb, out)
		if o.Verb == VerbStart {
			c.startLimiter.recordAnswer(now, r.lane, now.Sub(r.orderedAt), out)
			if out == OutcomeDone {
				c.startBacklog.recordAnswer(now)
			}
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
		switch out {
		case OutcomeDone:
			r.cpuLimit.recordAnswered(now, o.CPULimit)
		case OutcomeUnknown:
			r.cpuLimit.recordUnanswered(now)
		}
	}
}

// settleOrder records that a stop or throttle of the run is no longer in flight.
func (r *run) settleOrder(now time.Time, v Verb, out Outcome) {
	switch v {
	case VerbStop:
		r.stopBackoff.markSettled(now, out == OutcomeDone || out == OutcomeRunEnded)
	case VerbThrottle:
		r.throttleBackoff.markSettled(now, out == OutcomeDone)
	}
}

// handleStartOutcome updates the run, its job and its worker by the outcome of a start.
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
			c.updateCPULimits(now, w) // at full speed it would disturb latency-critical tasks until the next measurement
		}
	case OutcomeUnknown, OutcomeInvalid:
		if r.state == RunSent {
			r.state = RunUnknown
			r.orderedAt = now
		}
	case OutcomeRunEnded:
		// The run was there and has ended; the next poll reports how.
		r.state = RunStopped
		r.confirmedAt = now
	case OutcomeNoResources:
		w.breaker.TripUntil(now.Add(noResourcesCooldown))
		c.releaseUnstarted(now, r)
	case OutcomeUnavailable:
		w.breaker.TripUntil(now.Add(unavailableCooldown))
		c.releaseUnstarted(now, r)
	default:
		c.releaseUnstarted(now, r)
	}
}

// releaseUnstarted releases a run that did not begin. The others of its gang are stopped, as they would only wait for it.
func (c *Core) releaseUnstarted(now time.Time, r *run) {
	c.releaseRun(r)
	t := r.task
	if t == nil {
		return
	}
	if t.step.spec.Gang {
		for _, other := range t.step.tasks {
			if other.run != nil && other.run.run == r.run {
				c.stopRun(other.run)
			}
		}
	}
	if w := t.heldSuccess; w != nil && t.run == nil && !t.done {
		c.completeTask(now, w, t, nil)
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
