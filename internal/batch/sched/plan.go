package sched

import (
	"time"
)

// Verb is what an order asks of a worker.
type Verb string

// The verbs of an order.
const (
	VerbStart    Verb = "start"
	VerbStop     Verb = "stop"
	VerbThrottle Verb = "pace"
)

// Order is a command to a worker.
type Order struct {
	Verb        Verb
	Incarnation Incarnation
	Addr        string
	Task        TaskID
	Run         int64
	Spec        string        // of a start
	Checkpoint  string        // of a start: the checkpoint to resume from
	LeaseUntil  time.Duration // of a start: lease to grant, on the worker's clock
	CPULimit    int           // of a pace, percent
	// Starved tells of a start that its job had nothing running, and that the task may disturb serving ones.
	Starved bool
}

// Outcome is how a worker took an order.
type Outcome string

// The outcomes of an order.
const (
	OutcomeDone             Outcome = "done"
	OutcomeUnknown          Outcome = "unknown" // no answer; it may be carried out, also later
	OutcomeUnsent           Outcome = "unsent"  // it never left
	OutcomeRunEnded         Outcome = "old"     // that run ended there before
	OutcomeExpired          Outcome = "late"    // its time had passed
	OutcomeNoResources      Outcome = "room"    // it doesn't fit
	OutcomeFenced           Outcome = "fence"   // a newer holder has fenced the worker
	OutcomeUnavailable      Outcome = "sick"    // the worker takes nothing at present
	OutcomeOtherIncarnation Outcome = "gone"    // another life answers at that address
	OutcomeInvalid          Outcome = "bad"     // the order makes no sense to the worker
)

// Plan returns the orders that follow from what has been heard.
func (c *Core) Plan(now time.Time) []Order {
	c.expireLeases(now)
	c.addDueOccurrences(now)
	c.moveRuns(now)
	orders := c.planStopsAndThrottles(now, nil)
	return c.placeWaiting(now, orders)
}

// addDueOccurrences adds the occurrences that have become due.
func (c *Core) addDueOccurrences(now time.Time) {
	rest := c.recurring[:0]
	for _, j := range c.recurring {
		if !j.state.Final() && c.addDueOccurrencesOf(now, j) {
			rest = append(rest, j)
		}
	}
	c.recurring = rest
}

// planStopsAndThrottles orders stops and paces.
func (c *Core) planStopsAndThrottles(now time.Time, orders []Order) []Order {
	for _, w := range c.workersByID {
		if w.contact != ContactGood {
			continue
		}
		for _, r := range w.runList {
			switch {
			case r.stopDue(now) && r.stopBackoff.ready(now):
				r.orderedAt = now
				r.stopBackoff.markSent()
				orders = append(orders, r.newOrder(VerbStop))
			case r.state == RunLive && r.bestEffort() && r.cpuLimit != r.wantedCPULimit && now.Sub(r.orderedAt) > minThrottleInterval && r.throttleBackoff.ready(now):
				r.orderedAt = now
				r.throttleBackoff.markSent()
				o := r.newOrder(VerbThrottle)
				o.CPULimit = r.wantedCPULimit
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
	since := now.Sub(r.orderedAt)
	switch r.state {
	case RunStopping:
		return since > stopDelay
	case RunUnknown:
		return since > maxUnsure || r.absent && since > stopDelay
	}
	return false
}

func (r *run) newOrder(v Verb) Order {
	return Order{Verb: v, Incarnation: r.worker.Incarnation, Addr: r.worker.Addr, Task: r.runKey.task, Run: r.run}
}
