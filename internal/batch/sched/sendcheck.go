package sched

import "time"

// UnsentCause is the reason why an order is not sent.
type UnsentCause string

// Causes for which orders are not sent.
const (
	CauseNone           UnsentCause = ""        // the order may be sent
	CauseNotHolder      UnsentCause = "tenure"  // this process may no longer act as the holder
	CauseRunGone        UnsentCause = "run"     // the run has been removed, or no longer needs the order
	CauseIncarnation    UnsentCause = "life"    // the worker has restarted
	CauseUnreachable    UnsentCause = "contact" // the last poll of the worker failed, or none has been answered yet
	CauseShortLease     UnsentCause = "lease"   // too little is left of the lease that the start carries
	CauseUnschedulable  UnsentCause = "closed"  // by the directory, the worker is draining, gone or can't run the task, or its zone is evacuated
	CauseOvertaken      UnsentCause = "fence"   // the worker refused it, as this holder's fencing token for it has risen
	CauseStaleDirectory UnsentCause = "roster"  // the last read of the directory is too old, though the store answers
	CauseStaleIntent    UnsentCause = "intent"  // the last read of the operators' intent is too old, though the store answers
)

// CheckSend is called right before an order is sent, or passed to an agent that sends it within half of orderMargin. It
// returns the cause for which the order must not be sent, or CauseNone after recording now as the time of sending. The
// caller passes an order that it does not send to HandleOutcome with OutcomeUnsent.
//
// It guards against orders that became outdated while they waited to be sent, which happens when there are many: a
// worker would carry out a start for a job whose cancellation was acknowledged meanwhile, or from a holder whose
// successor already acts. The check takes into account all that the core has received up to then.
func (c *Core) CheckSend(now time.Time, o Order) UnsentCause {
	w := c.workers[o.Incarnation.ID]
	if w == nil {
		return CauseRunGone
	}
	r := w.runs[runKey{o.Task, o.Run}]
	if r == nil {
		return CauseRunGone
	}
	cause := CauseNone
	switch o.Verb {
	case VerbStart:
		cause = c.checkStart(now, w, r, o)
	case VerbStop:
		if r.state != RunStopping && r.state != RunUnknown {
			cause = CauseRunGone
		}
	case VerbThrottle:
		if r.state != RunLive {
			cause = CauseRunGone
		}
	}
	if cause != CauseNone {
		return cause
	}
	r.orderedAt = now
	if o.Verb == VerbStart {
		c.fencePoll(now, w)
		// The time for which a later incarnation of the worker may carry out the start counts from here; see orphaned.
		r.startedAt = now
		r.sent = true
		c.startDemand.recordSent(len(o.Spec))
	}
	return CauseNone
}

// checkStart returns the cause for which a start must not be sent, or CauseNone.
func (c *Core) checkStart(now time.Time, w *worker, r *run, o Order) UnsentCause {
	switch {
	case !c.mayAct(now), c.stopped:
		return CauseNotHolder
	case r.state != RunSent || r.task == nil || r.task.run != r || r.task.done || r.task.step.job.state.Final():
		return CauseRunGone
	case r.incarnation != w.StartedAt:
		return CauseIncarnation
	case w.contact != ContactGood:
		return CauseUnreachable
	case !w.isOpen() || !w.serves(r.task.step):
		return CauseUnschedulable
	case o.LeaseUntil-w.clock.now(now) < minStartLease:
		return CauseShortLease
	}
	return c.StaleCause(now)
}
