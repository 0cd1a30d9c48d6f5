package pool

import (
	"cmp"
	"slices"
	"time"
)

// target is a target whose slots this process owns.
type target struct {
	addr                string
	slots               int            // how many requests it runs at once
	permits             map[Key]issued // outstanding permits
	orphans             int            // slots that requests which no process tracks may still occupy
	orphansUntil        time.Time      // when all orphans have ended for certain
	leaving             bool           // whether it is leaving by the host list or an operator
	reportedLeaving     bool           // whether it is leaving by its own last report
	consecutiveFailures int            // failures since the last success or ejection
	ejectedUntil        time.Time      // it gets no request before then; zero if it was never ejected
	backoff             time.Duration  // length of the last ejection; zero after a success
	halfOpen            bool           // whether it gets only one request at a time until one succeeds
	avgLatency          time.Duration  // moving average over successful requests; zero before the first
}

// issued is an outstanding permit of a target.
type issued struct {
	user    string    // process that uses the permit
	expires time.Time // when the permit expires
}

const (
	ejectAfterFailures = 5                // number of failures in a row that eject a target
	minEjection        = time.Second      // length of the first ejection; each further one is twice as long
	maxEjection        = 30 * time.Second // length of the longest ejection
	slowFactor         = 2.5              // a target slower than the median by this factor is used last
	latencyWeight      = 0.1              // weight of a new measurement in a moving average of latency
)

// freeSlots returns how many more requests the target can get now.
func (t *target) freeSlots(now time.Time) int {
	if t.leaving || t.reportedLeaving || now.Before(t.ejectedUntil) {
		return 0
	}
	n := t.slots - len(t.permits) - t.orphans
	if t.halfOpen {
		n = min(n, 1-len(t.permits))
	}
	return max(n, 0)
}

// recordResult updates the target's state by the result of a request to it. A failure ejects
// the target only if mayEject is true.
func (t *target) recordResult(now time.Time, r Result, maxRequestTime time.Duration, mayEject bool) {
	switch r.Outcome {
	case OutcomeNotSent:
		return
	case OutcomeOK:
		t.reportedLeaving = r.Leaving
		t.consecutiveFailures, t.halfOpen, t.backoff = 0, false, 0
		t.updateLatency(r.Took)
		return
	case OutcomeLost:
		// The sender has given the request up, but the target may still run it. If the
		// slot were free at once, a target that hangs would get one request more than it
		// has slots again and again.
		t.addOrphans(now, 1, maxRequestTime)
	case OutcomeRefused:
		if r.Load >= t.slots {
			t.addOrphans(now, 1, maxRequestTime/8)
		}
	}
	t.consecutiveFailures++
	if (t.consecutiveFailures >= ejectAfterFailures || t.halfOpen) && mayEject {
		t.eject(now)
	}
}

// addOrphans adds n orphans that end within maxDuration.
func (t *target) addOrphans(now time.Time, n int, maxDuration time.Duration) {
	t.orphans += n
	if end := now.Add(maxDuration); end.After(t.orphansUntil) {
		t.orphansUntil = end
	}
}

// eject takes the target out of use for twice as long as the last time, and for one request
// at a time after that.
func (t *target) eject(now time.Time) {
	t.backoff = min(max(2*t.backoff, minEjection), maxEjection)
	t.ejectedUntil = now.Add(t.backoff)
	t.halfOpen = true
	t.consecutiveFailures = 0
}

// updateLatency adds the latency of a request to the target's moving average.
func (t *target) updateLatency(took time.Duration) {
	if t.avgLatency == 0 {
		t.avgLatency = took
		return
	}
	t.avgLatency += time.Duration(latencyWeight * float64(took-t.avgLatency))
}

// limitOrphans limits the orphans to the number of requests that the target reports to have,
// if load isn't -1. An orphan can only end, not start, so there are at most as many as any
// later report counts.
func (t *target) limitOrphans(load int) {
	if load >= 0 {
		t.orphans = min(t.orphans, load)
	}
}

// permitsOf returns how many of the target's outstanding permits the process uses.
func (t *target) permitsOf(user string) int {
	n := 0
	for _, p := range t.permits {
		if p.user == user {
			n++
		}
	}
	return n
}

// pickTarget returns the owned target for the next request of the process user, or nil if none
// has a free slot for it. The target to avoid comes last, before it the slow targets; among
// the others the one with the most free slots is picked.
func (c *Core) pickTarget(now time.Time, avoid, user string) *target {
	var best *target
	var bestFree int
	for _, t := range c.sortedTargets {
		n := t.freeSlots(now)
		if n == 0 || c.opts.MaxPerBorrower > 0 && user != c.opts.Self && t.permitsOf(user) >= c.opts.MaxPerBorrower {
			continue
		}
		if best == nil || isPreferred(t, best, n, bestFree, c.slowLimit, avoid) {
			best, bestFree = t, n
		}
	}
	return best
}

// isPreferred reports whether target t with tFree free slots is to be used before target u
// with uFree free slots.
func isPreferred(t, u *target, tFree, uFree int, slowLimit time.Duration, avoid string) bool {
	if a, b := t.addr == avoid, u.addr == avoid; a != b {
		return b
	}
	if a, b := t.avgLatency > slowLimit, u.avgLatency > slowLimit; a != b {
		return b
	}
	return tFree > uFree
}

// updateSlowLimit sets the latency above which a target counts as slow, from the median of the
// average latencies of the owned targets.
func (c *Core) updateSlowLimit() {
	latencies := make([]time.Duration, 0, len(c.sortedTargets))
	for _, t := range c.sortedTargets {
		if t.avgLatency > 0 {
			latencies = append(latencies, t.avgLatency)
		}
	}
	if len(latencies) == 0 {
		c.slowLimit = 0
		return
	}
	slices.Sort(latencies)
	c.slowLimit = time.Duration(slowFactor * float64(latencies[(len(latencies)-1)/2]))
}

// mayEject reports whether one more target may be ejected, so that at least half of the owned
// targets stay in use.
//
// It guards against a fault that all targets share or that is in this process: each target
// would be ejected in turn and none would be left to serve calls.
func (c *Core) mayEject(now time.Time) bool {
	ejected := 0
	for _, t := range c.sortedTargets {
		if now.Before(t.ejectedUntil) {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(c.sortedTargets)
}

// sortTargets updates sortedTargets after a change of targets.
func (c *Core) sortTargets() {
	c.sortedTargets = c.sortedTargets[:0]
	for _, t := range c.targets {
		c.sortedTargets = append(c.sortedTargets, t)
	}
	slices.SortFunc(c.sortedTargets, func(a, b *target) int { return cmp.Compare(a.addr, b.addr) })
}
