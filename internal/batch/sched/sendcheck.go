package sched

import "time"

// UnsentCause is why an order isn't sent.
type UnsentCause string

// The causes for which orders aren't sent.
const (
	CauseNone           UnsentCause = ""
	CauseNotHolder      UnsentCause = "tenure"  // the holder may no longer act
	CauseRunGone        UnsentCause = "run"     // the run is gone, or nobody wants that of it any more
	CauseIncarnation    UnsentCause = "life"    // the worker has started anew
	CauseUnreachable    UnsentCause = "contact" // the worker isn't reached
	CauseShortLease     UnsentCause = "lease"   // what is left of the lease that the start brings is too short
	CauseUnschedulable  UnsentCause = "closed"  // the worker leaves, or operators have taken its failure domain out
	CauseStaleDirectory UnsentCause = "roster"  // the directory as held is too old, though the store answers
	CauseStaleIntent    UnsentCause = "intent"  // likewise what operators have written
)

// CheckSend tells that an order is about to leave, and returns why it must not, if so. One that doesn't leave is
// to be answered as OutcomeUnsent.
//
// Against orders that waited here, as they do when there are many, and are out of date: a worker carries out
// the start of a job whose cancel was acknowledged meanwhile, or of a holder whose successor is at work.
// As the core is asked right before an order is sent, what it has heard until then holds for it.
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
		// How long it may come to life in a later life of the worker counts from here; see orphaned.
		r.startedAt = now
	}
	return CauseNone
}

// checkStart returns why a start must not leave.
func (c *Core) checkStart(now time.Time, w *worker, r *run, o Order) UnsentCause {
	switch {
	case !c.mayAct(now):
		return CauseNotHolder
	case r.state != RunSent || r.task == nil || r.task.run != r || r.task.done || r.task.step.job.state.Final():
		return CauseRunGone
	case r.incarnation != w.StartedAt:
		return CauseIncarnation
	case w.contact != ContactGood:
		return CauseUnreachable
	case !w.listed || w.Draining || w.evacuated:
		return CauseUnschedulable
	case o.LeaseUntil-w.clock.now(now) < minStartLease:
		return CauseShortLease
	}
	return c.StaleCause()
}
