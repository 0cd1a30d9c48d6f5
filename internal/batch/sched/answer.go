package sched

import (
	"time"
)

const (
	// sickRest is how long a worker that refused a start gets none.
	sickRest = time.Second
	// roomRest is how long a worker gets no start after it had less room than the ledger says:
	// a run that is being stopped still counts there.
	roomRest = 100 * time.Millisecond
)

// Answer takes the outcome of an order. Each order that Plan returned has to be answered, unless the term is
// over: no other of its kind is sent to its run before.
func (c *Core) Answer(now time.Time, o Order, out Outcome) {
	w := c.workers[o.Life.ID]
	if w == nil {
		return
	}
	r := w.runs[runKey{o.Task, o.Run}]
	if r != nil {
		// Also where the answer is of a former life: the run may stay, and be ordered about again.
		r.settled(now, o.Verb, out)
		if o.Verb == VerbStart {
			c.flow.answered(now, now.Sub(r.sent), out)
		}
	}
	if r != nil && r.born != w.Born && out != OutcomeUnsent {
		c.extendLapse(now, w)
	}
	if out == OutcomeGone {
		c.Gone(now, o.Life.ID, o.Life.Born)
		return
	}
	if r == nil {
		return
	}
	switch o.Verb {
	case VerbStart:
		c.started(now, w, r, out)
	case VerbStop:
		if out == OutcomeDone || out == OutcomeOld {
			r.state = RunStopped
			r.sure = now
		}
	case VerbPace:
		if out == OutcomeDone {
			r.pace = o.Pace
			r.paced = now
		}
	}
}

// settled notes that an order about a run is no longer under way.
func (r *run) settled(now time.Time, v Verb, out Outcome) {
	switch v {
	case VerbStop:
		r.stops.over(now, out == OutcomeDone || out == OutcomeOld)
	case VerbPace:
		r.paces.over(now, out == OutcomeDone)
	}
}

func (c *Core) started(now time.Time, w *worker, r *run, out Outcome) {
	if r.task != nil && (out == OutcomeDone || out == OutcomeOld) {
		r.task.stage.job.begun = true
	}
	switch out {
	case OutcomeDone:
		if r.state == RunSent {
			r.state = RunLive
			r.sure = now
		}
		if r.starved {
			c.pace(now, w) // until the next reading it would disturb at full speed
		}
	case OutcomeUnknown, OutcomeBad:
		if r.state == RunSent {
			r.state = RunUnsure
			r.sent = now
		}
	case OutcomeOld:
		// It did run there and has ended; the next poll tells how.
		r.state = RunStopped
		r.sure = now
	case OutcomeRoom:
		w.breaker.TripUntil(now.Add(roomRest))
		c.free(r)
	case OutcomeSick:
		w.breaker.TripUntil(now.Add(sickRest))
		c.free(r)
	default:
		c.free(r)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
