package sched

import (
	"time"
)

// Verb is what an order asks of a worker.
type Verb string

// The verbs of an order.
const (
	VerbStart Verb = "start"
	VerbStop  Verb = "stop"
	VerbPace  Verb = "pace"
)

// Order is a command to a worker.
type Order struct {
	Verb  Verb
	Life  Life
	Addr  string
	Task  TaskID
	Run   int64
	Spec  string        // of a start
	Save  string        // of a start: the checkpoint to resume from
	Until time.Duration // of a start: lease to grant, on the worker's clock
	Pace  int           // of a pace, percent
	// Starved tells of a start that its job had nothing running, and that the task may disturb serving ones.
	Starved bool
}

// Outcome is how a worker took an order.
type Outcome string

// The outcomes of an order.
const (
	OutcomeDone    Outcome = "done"
	OutcomeUnknown Outcome = "unknown" // no answer; it may be carried out, also later
	OutcomeUnsent  Outcome = "unsent"  // it never left
	OutcomeOld     Outcome = "old"     // that run ended there before
	OutcomeLate    Outcome = "late"    // its time had passed
	OutcomeRoom    Outcome = "room"    // it doesn't fit
	OutcomeFence   Outcome = "fence"   // a newer holder has fenced the worker
	OutcomeSick    Outcome = "sick"    // the worker takes nothing at present
	OutcomeGone    Outcome = "gone"    // another life answers at that address
	OutcomeBad     Outcome = "bad"     // the order makes no sense to the worker
)

// Plan returns the orders that follow from what has been heard.
func (c *Core) Plan(now time.Time) []Order {
	c.sweep(now)
	c.dueRounds(now)
	c.move(now)
	orders := c.settle(now, nil)
	return c.place(now, orders)
}

// dueRounds adds the occurrences that have become due.
func (c *Core) dueRounds(now time.Time) {
	rest := c.later[:0]
	for _, j := range c.later {
		if !j.state.Final() && c.unfold(now, j) {
			rest = append(rest, j)
		}
	}
	c.later = rest
}

// settle orders stops and paces.
func (c *Core) settle(now time.Time, orders []Order) []Order {
	for _, w := range c.ranks {
		if w.contact != ContactGood {
			continue
		}
		for _, r := range w.list {
			switch {
			case r.stopDue(now) && r.stops.due(now):
				r.sent = now
				r.stops.begin()
				orders = append(orders, r.order(VerbStop))
			case r.state == RunLive && r.fills() && r.pace != r.want && now.Sub(r.sent) > resendPace && r.paces.due(now):
				r.sent = now
				r.paces.begin()
				o := r.order(VerbPace)
				o.Pace = r.want
				orders = append(orders, o)
			}
		}
	}
	return orders
}

// stopDue reports whether a run is to be stopped.
//
// One whose start went unanswered is left for a poll to tell of, for a while. It may well run: a busy holder gets many
// answers too late. Stopped at once, good runs were begun anew, with more orders from the same holder.
func (r *run) stopDue(now time.Time) bool {
	since := now.Sub(r.sent)
	switch r.state {
	case RunStopping:
		return since > resendStop
	case RunUnsure:
		return since > unsureMost || r.absent && since > resendStop
	}
	return false
}

func (r *run) order(v Verb) Order {
	return Order{Verb: v, Life: r.worker.Life, Addr: r.worker.Addr, Task: r.runKey.task, Run: r.run}
}
