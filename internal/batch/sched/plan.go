package sched

import (
	"slices"
	"strings"
	"time"
)

// Verb is what an order asks of a worker.
type Verb string

// The verbs of an order.
const (
	VerbStart    Verb = "start" // start a run
	VerbStop     Verb = "stop"  // stop a run
	VerbThrottle Verb = "pace"  // set the CPU limit of a best-effort run
)

// Order is a command to a worker about one run.
type Order struct {
	Verb        Verb
	Incarnation Incarnation   // of the worker for which the order is meant
	Addr        string        // of the worker
	Task        TaskID        // task of the run
	Run         int64         // number of the run
	Spec        string        // of a start: the job's specification, passed on unchanged
	Checkpoint  string        // of a start: checkpoint to resume from; empty: none
	LeaseUntil  time.Duration // of a start: end of the worker's lease that it carries, on the worker's clock
	// ClockFloor is, for a start, the least time that the clock of the incarnation for which it's meant shows when it
	// arrives. An answer with an earlier time comes from a later incarnation.
	ClockFloor time.Duration
	CPULimit   int  // of a throttle: percent of the declared CPU
	Idle       bool // of a throttle: the limit in force isn't known, and the run uses no CPU
	// Starved is set for a start of a starved job's task: its job had nothing running, and the task may interfere with
	// latency-critical ones.
	Starved bool
}

// Outcome is the result of an order.
type Outcome string

// The outcomes of an order.
const (
	OutcomeDone             Outcome = "done"    // carried out
	OutcomeDoneByLater      Outcome = "reborn"  // a start that a later incarnation of the worker carried out
	OutcomeUnknown          Outcome = "unknown" // no answer; the worker may carry it out, also later
	OutcomeUnsent           Outcome = "unsent"  // it was not sent
	OutcomeRunEnded         Outcome = "old"     // the run has already ended on that worker
	OutcomeExpired          Outcome = "late"    // it arrived after the lease of the start had expired
	OutcomeNoResources      Outcome = "room"    // the worker lacks the resources for the task
	OutcomeFenced           Outcome = "fence"   // a newer holder has fenced the worker
	OutcomeUnavailable      Outcome = "sick"    // the worker accepts no tasks at present
	OutcomeOtherIncarnation Outcome = "gone"    // another incarnation answers at the address
	OutcomeInvalid          Outcome = "bad"     // the worker rejects the order as invalid
)

// Plan returns the orders that follow from the jobs and the workers' reports so far.
func (c *Core) Plan(now time.Time) []Order {
	c.expireLeases(now)
	c.addDueOccurrences(now)
	c.moveRuns(now)
	orders := c.planStopsAndThrottles(now, nil)
	return c.placeWaiting(now, orders)
}

// PlanStops returns only the orders that stop or throttle runs. It costs far less than Plan while many tasks wait.
func (c *Core) PlanStops(now time.Time) []Order {
	c.expireLeases(now)
	return c.planStopsAndThrottles(now, nil)
}

// addDueOccurrences adds the occurrences of recurring jobs that are due.
func (c *Core) addDueOccurrences(now time.Time) {
	remaining := c.recurring[:0]
	for _, j := range c.recurring {
		if !j.state.Final() && c.addDueOccurrencesOf(now, j) {
			remaining = append(remaining, j)
		}
	}
	clear(c.recurring[len(remaining):])
	c.recurring = remaining
}

// planStopsAndThrottles appends the orders that stop or throttle runs on workers in contact.
func (c *Core) planStopsAndThrottles(now time.Time, orders []Order) []Order {
	slices.SortFunc(c.orderWorkers, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	c.orderWorkers = slices.DeleteFunc(c.orderWorkers, func(w *worker) bool {
		w.orderDue = slices.ContainsFunc(w.runList, (*run).mayNeedOrder)
		return !w.orderDue
	})
	for _, w := range c.orderWorkers {
		if w.contact != ContactGood {
			continue
		}
		for _, r := range w.runList {
			switch {
			case r.stopDue(now) && r.stopBackoff.ready(now):
				orders = append(orders, r.orderStop(now))
			case !r.confirmsLimit() && r.throttleDue(now):
				orders = append(orders, r.throttle(now))
			}
		}
	}
	return c.planLimitConfirms(now, orders)
}

// noteOrderDue lists a worker for the next plan of stops and throttles. It is called after any change by which
// mayNeedOrder may become true for one of the worker's runs.
func (c *Core) noteOrderDue(w *worker) {
	if !w.orderDue {
		w.orderDue = true
		c.orderWorkers = append(c.orderWorkers, w)
	}
}

// mayNeedOrder reports whether the run has to be stopped or throttled, now or after a while.
func (r *run) mayNeedOrder() bool {
	return r.state == RunStopping || r.state == RunUnknown || r.throttleWanted()
}

// stopDue reports whether a stop is to be sent for a run.
//
// A run whose start was not answered is not stopped at once: for a while, a poll may report it. It often runs, as an
// overloaded holder receives many answers too late. Stopping it at once would restart healthy runs and add orders to an
// already overloaded holder.
func (r *run) stopDue(now time.Time) bool {
	sinceOrder := now.Sub(r.orderedAt)
	switch r.state {
	case RunStopping:
		return sinceOrder > stopDelay
	case RunUnknown:
		return sinceOrder > maxUnknown || r.absent && sinceOrder > stopDelay
	}
	return false
}

// orderStop returns the order that stops the run.
func (r *run) orderStop(now time.Time) Order {
	r.orderedAt = now
	r.stopBackoff.markSent()
	return r.newOrder(VerbStop)
}

// newOrder returns an order about the run, without the fields that depend on the verb.
func (r *run) newOrder(v Verb) Order {
	return Order{Verb: v, Incarnation: r.worker.Incarnation, Addr: r.worker.Addr, Task: r.runKey.task, Run: r.run}
}
