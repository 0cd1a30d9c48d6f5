package pool

import (
	"cmp"
	"slices"
	"time"
)

// target is a target whose slots this process owns.
type target struct {
	addr                string
	slots               int
	permits             map[Key]issued
	orphans             int       // slots that requests nobody tracks may still occupy
	orphansUntil        time.Time // when the ghosts are gone for certain
	leaving             bool      // by the host list or an operator
	reportedLeaving     bool      // by its own word it is leaving
	consecutiveFailures int
	ejectedUntil        time.Time // no request before then; zero when not ejected
	backoff             time.Duration
	halfOpen            bool // one request at a time until one succeeds
	avgLatency          time.Duration
}

type issued struct {
	user    string
	expires time.Time
}

const (
	ejectAfterFailures = 5                // failures in a row that eject a target
	minEjection        = time.Second      // how long the first ejection lasts
	maxEjection        = 30 * time.Second // how long the longest lasts
	slowFactor         = 2.5              // a target this much slower than the median is used last
	latencyWeight      = 0.1              // of a new measurement in the moving average
)

// freeSlots returns how many more requests the target takes now.
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

// recordResult takes in the result of a request at the target.
func (t *target) recordResult(now time.Time, r Result, life time.Duration, mayEject bool) {
	switch r.Outcome {
	case OutcomeNotSent:
		return
	case OutcomeOK:
		t.reportedLeaving = r.Leaving
		t.consecutiveFailures, t.halfOpen, t.backoff = 0, false, 0
		t.updateLatency(r.Took)
		return
	case OutcomeLost:
		// Nobody waits for the request any more but the target may go on with it.
		// Freeing the slot at once would send it one request more than it has slots,
		// again and again while it hangs.
		t.addOrphans(now, 1, life)
	case OutcomeRefused:
		if r.Load >= t.slots {
			t.addOrphans(now, 1, life/8)
		}
	}
	t.consecutiveFailures++
	if (t.consecutiveFailures >= ejectAfterFailures || t.halfOpen) && mayEject {
		t.eject(now)
	}
}

func (t *target) addOrphans(now time.Time, n int, life time.Duration) {
	t.orphans += n
	if end := now.Add(life); end.After(t.orphansUntil) {
		t.orphansUntil = end
	}
}

func (t *target) eject(now time.Time) {
	t.backoff = min(max(2*t.backoff, minEjection), maxEjection)
	t.ejectedUntil = now.Add(t.backoff)
	t.halfOpen = true
	t.consecutiveFailures = 0
}

func (t *target) updateLatency(took time.Duration) {
	if t.avgLatency == 0 {
		t.avgLatency = took
		return
	}
	t.avgLatency += time.Duration(latencyWeight * float64(took-t.avgLatency))
}

// limitOrphans takes in the number of requests that the target says it has. Ghosts only
// end and never begin, so there are at most as many as any later count.
func (t *target) limitOrphans(load int) {
	if load >= 0 {
		t.orphans = min(t.orphans, load)
	}
}

// permitsOf returns how many of the target's permits a process has.
func (t *target) permitsOf(by string) int {
	n := 0
	for _, h := range t.permits {
		if h.user == by {
			n++
		}
	}
	return n
}

// pickTarget returns the target that the process by uses next: not slow before slow, then
// the one with the most free slots; nil when none is free.
func (c *Core) pickTarget(now time.Time, avoid, by string) *target {
	var best *target
	var bestFree int
	for _, t := range c.sortedTargets {
		n := t.freeSlots(now)
		if n == 0 || c.opts.MaxPerBorrower > 0 && by != c.opts.Self && t.permitsOf(by) >= c.opts.MaxPerBorrower {
			continue
		}
		if best == nil || isPreferred(t, best, n, bestFree, c.slowLimit, avoid) {
			best, bestFree = t, n
		}
	}
	return best
}

func isPreferred(t, u *target, tFree, uFree int, limit time.Duration, avoid string) bool {
	if a, b := t.addr == avoid, u.addr == avoid; a != b {
		return b
	}
	if a, b := t.avgLatency > limit, u.avgLatency > limit; a != b {
		return b
	}
	return tFree > uFree
}

// updateSlowLimit sets the duration above which a target counts as slow, from the median
// over this process's own targets.
func (c *Core) updateSlowLimit() {
	took := make([]time.Duration, 0, len(c.sortedTargets))
	for _, t := range c.sortedTargets {
		if t.avgLatency > 0 {
			took = append(took, t.avgLatency)
		}
	}
	if len(took) == 0 {
		c.slowLimit = 0
		return
	}
	slices.Sort(took)
	c.slowLimit = time.Duration(slowFactor * float64(took[(len(took)-1)/2]))
}

// mayEject keeps at least half of the owned targets in use, whatever fails.
//
// It guards against a fault that all targets share (or that is the process's own):
// each would be ejected in turn and nothing be left to answer.
func (c *Core) mayEject(now time.Time) bool {
	out := 0
	for _, t := range c.sortedTargets {
		if now.Before(t.ejectedUntil) {
			out++
		}
	}
	return 2*(out+1) <= len(c.sortedTargets)
}

func (c *Core) sortTargets() {
	c.sortedTargets = c.sortedTargets[:0]
	for _, t := range c.targets {
		c.sortedTargets = append(c.sortedTargets, t)
	}
	slices.SortFunc(c.sortedTargets, func(a, b *target) int { return cmp.Compare(a.addr, b.addr) })
}
