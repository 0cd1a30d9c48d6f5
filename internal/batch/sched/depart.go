package sched

import "time"

// Cause is why an order isn't sent.
type Cause string

// The causes for which orders aren't sent.
const (
	CauseNone    Cause = ""
	CauseTenure  Cause = "tenure"  // the holder may no longer act
	CauseRun     Cause = "run"     // the run is gone, or nobody wants that of it any more
	CauseLife    Cause = "life"    // the worker has started anew
	CauseContact Cause = "contact" // the worker isn't reached
	CauseLease   Cause = "lease"   // what is left of the lease that the start brings is too short
	CauseClosed  Cause = "closed"  // the worker leaves, or operators have taken its failure domain out
	CauseRoster  Cause = "roster"  // the directory as held is too old, though the store answers
	CauseIntent  Cause = "intent"  // likewise what operators have written
)

// Depart tells that an order is about to leave, and returns why it must not, if so. One that doesn't leave is
// to be answered as OutcomeUnsent.
//
// Against orders that waited here, as they do when there are many, and are out of date: a worker carries out
// the start of a job whose cancel was acknowledged meanwhile, or of a holder whose successor is at work.
// As the core is asked right before an order is sent, what it has heard until then holds for it.
func (c *Core) Depart(now time.Time, o Order) Cause {
	w := c.workers[o.Life.ID]
	if w == nil {
		return CauseRun
	}
	r := w.runs[runKey{o.Task, o.Run}]
	if r == nil {
		return CauseRun
	}
	cause := CauseNone
	switch o.Verb {
	case VerbStart:
		cause = c.bars(now, w, r, o)
	case VerbStop:
		if r.state != RunStopping && r.state != RunUnsure {
			cause = CauseRun
		}
	case VerbPace:
		if r.state != RunLive {
			cause = CauseRun
		}
	}
	if cause != CauseNone {
		return cause
	}
	r.sent = now
	if o.Verb == VerbStart {
		// How long it may come to life in a later life of the worker counts from here; see orphaned.
		r.began = now
	}
	return CauseNone
}

// bars returns why a start must not leave.
func (c *Core) bars(now time.Time, w *worker, r *run, o Order) Cause {
	switch {
	case !c.acts(now):
		return CauseTenure
	case r.state != RunSent || r.task == nil || r.task.run != r || r.task.done || r.task.stage.job.state.Final():
		return CauseRun
	case r.born != w.Born:
		return CauseLife
	case w.contact != ContactGood:
		return CauseContact
	case !w.listed || w.Draining || w.out:
		return CauseClosed
	case o.Until-w.clock.now(now) < leastLent:
		return CauseLease
	}
	return c.Outdated()
}
