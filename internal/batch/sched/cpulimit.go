package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fullCPULimit is the CPU limit of a task that isn't throttled, in percent of its declared CPU.
	fullCPULimit = 100
	// unknownCPULimit stands for a CPU limit in force that isn't known.
	unknownCPULimit = -1
	// maxLimitConfirms is the number of throttles in flight that only confirm that a run isn't limited. A new holder may
	// need hundreds of them. It is what the start limiter allows whatever the load.
	maxLimitConfirms = minWindow
)

// cpuLimit is the CPU limit that a worker applies to a run, as far as this holder knows. Workers don't report it.
//
// It is known once an order is answered, and no longer known after one that wasn't, as the worker may have carried that
// out. Such an order may also be carried out later, after newer ones.
type cpuLimit struct {
	inForce   int       // percent; or unknownCPULimit
	setAt     time.Time // when an order that sets it was last answered; zero: never
	lateUntil time.Time // until when an unanswered order may be carried out late, and the measured use may show it
	lowered   bool      // an order for less than fullCPULimit was sent
}

// newCPULimit returns the CPU limit of a run that this holder starts.
func newCPULimit() cpuLimit {
	return cpuLimit{inForce: fullCPULimit}
}

// adoptedCPULimit returns the CPU limit of a run that was first known from a report. A worker keeps the limit of a former
// holder until another is sent.
func adoptedCPULimit(now time.Time) cpuLimit {
	l := cpuLimit{}
	l.recordUnanswered(now)
	return l
}

// known reports whether the limit in force is known.
func (l *cpuLimit) known() bool { return l.inForce != unknownCPULimit }

// mayRun reports whether the run may be active: its limit is above 0 or not known.
func (l *cpuLimit) mayRun() bool { return l.inForce != 0 }

// recordSent records that an order for a limit is sent.
func (l *cpuLimit) recordSent(limit int) {
	l.lowered = l.lowered || limit < fullCPULimit
}

// recordAnswered records that the worker has carried out an order for a limit.
func (l *cpuLimit) recordAnswered(now time.Time, limit int) {
	l.inForce, l.setAt = limit, now
}

// recordUnanswered records that an order got no answer.
func (l *cpuLimit) recordUnanswered(now time.Time) {
	l.inForce = unknownCPULimit
	l.lateUntil = now.Add(maxOrderDelay + 2*measurementDelay)
}

// recordUse compares the limit with the CPU that the run uses, as a share of what it declares. If the worker has carried
// out an earlier order after the newest one, the limit isn't known any more. A run may use less than it is allowed by
// itself, which counts only while such an order may be late.
func (l *cpuLimit) recordUse(now time.Time, share float64) {
	if !l.known() || now.Sub(l.setAt) < 2*measurementDelay {
		return
	}
	allowed := float64(l.inForce) / fullCPULimit
	if share > allowed+usageTolerance || share < allowed-usageTolerance && now.Before(l.lateUntil) {
		l.inForce = unknownCPULimit
	}
}

// throttleWanted reports whether the run's CPU limit isn't the wanted one, or isn't known. Only best-effort runs are
// throttled, but one that is idle under a limit that isn't known gets an order whatever it is.
func (r *run) throttleWanted() bool {
	if r.state != RunLive || r.cpuLimit.inForce == r.wantedCPULimit {
		return false
	}
	return r.bestEffort() || r.isIdle() && !r.cpuLimit.known()
}

// throttleDue reports whether a throttle is to be sent now.
func (r *run) throttleDue(now time.Time) bool {
	return r.throttleWanted() && now.Sub(r.orderedAt) > minThrottleInterval && r.throttleBackoff.ready(now)
}

// cpuShare returns the CPU that a run uses as a share of what its task declares.
func (r *run) cpuShare() float64 {
	return r.cpuUsage / float64(max(r.task.step.spec.Size.CPU, 1))
}

// throttle returns the order that sets the run's CPU limit to the wanted one.
func (r *run) throttle(now time.Time) Order {
	r.orderedAt = now
	r.throttleBackoff.markSent()
	r.cpuLimit.recordSent(r.wantedCPULimit)
	o := r.newOrder(VerbThrottle)
	o.CPULimit = r.wantedCPULimit
	o.Idle = !r.cpuLimit.known() && r.isIdle()
	return o
}

// confirmsLimit reports whether a throttle of the run would only confirm that it isn't limited.
func (r *run) confirmsLimit() bool {
	return !r.cpuLimit.known() && r.wantedCPULimit == fullCPULimit
}

// planLimitConfirms appends the throttles that only confirm that runs aren't limited, as many as may be in flight. Those that
// use least CPU come first: they may be paused.
func (c *Core) planLimitConfirms(now time.Time, orders []Order) []Order {
	var due []*run
	inFlight := 0
	for _, w := range c.orderWorkers {
		for _, r := range w.runList {
			switch {
			case !r.throttleWanted() || !r.confirmsLimit():
			case r.throttleBackoff.inFlight:
				inFlight++
			case w.contact == ContactGood && r.throttleDue(now):
				due = append(due, r)
			}
		}
	}
	slices.SortStableFunc(due, func(a, b *run) int { return cmp.Compare(a.cpuShare(), b.cpuShare()) })
	for _, r := range due[:min(len(due), max(maxLimitConfirms-inFlight, 0))] {
		orders = append(orders, r.throttle(now))
	}
	return orders
}
