package pool

import (
	"cmp"
	"slices"
	"time"
)

// target is a target whose slots this process owns.
type target struct {
	addr    string
	slots   int
	out     map[Key]held
	ghosts  int       // slots that requests nobody tracks may still occupy
	until   time.Time // when the ghosts are gone for certain
	leaving bool      // by the host list or an operator
	said    bool      // by its own word it is leaving
	fails   int
	ejected time.Time // no request before then; zero when not ejected
	backoff time.Duration
	trial   bool // one request at a time until one succeeds
	took    time.Duration
}

type held struct {
	by    string
	until time.Time
}

const (
	failLimit  = 5                // failures in a row that eject a target
	firstEject = time.Second      // how long the first ejection lasts
	lastEject  = 30 * time.Second // how long the longest lasts
	slowFactor = 2.5              // a target this much slower than the median is used last
	tookWeight = 0.1              // of a new measurement in the moving average
)

// free returns how many more requests the target takes now.
func (t *target) free(now time.Time) int {
	if t.leaving || t.said || now.Before(t.ejected) {
		return 0
	}
	n := t.slots - len(t.out) - t.ghosts
	if t.trial {
		n = min(n, 1-len(t.out))
	}
	return max(n, 0)
}

// ended takes in the result of a request at the target.
func (t *target) ended(now time.Time, r Result, life time.Duration, mayEject bool) {
	switch r.Outcome {
	case OutcomeNever:
		return
	case OutcomeOK:
		t.said = r.Leaving
		t.fails, t.trial, t.backoff = 0, false, 0
		t.measure(r.Took)
		return
	case OutcomeLost:
		// Nobody waits for the request any more but the target may go on with it.
		// Freeing the slot at once would send it one request more than it has slots,
		// again and again while it hangs.
		t.haunt(now, 1, life)
	case OutcomeRefused:
		if r.Load >= t.slots {
			t.haunt(now, 1, life/8)
		}
	}
	t.fails++
	if (t.fails >= failLimit || t.trial) && mayEject {
		t.eject(now)
	}
}

func (t *target) haunt(now time.Time, n int, life time.Duration) {
	t.ghosts += n
	if end := now.Add(life); end.After(t.until) {
		t.until = end
	}
}

func (t *target) eject(now time.Time) {
	t.backoff = min(max(2*t.backoff, firstEject), lastEject)
	t.ejected = now.Add(t.backoff)
	t.trial = true
	t.fails = 0
}

func (t *target) measure(took time.Duration) {
	if t.took == 0 {
		t.took = took
		return
	}
	t.took += time.Duration(tookWeight * float64(took-t.took))
}

// heed takes in the number of requests that the target says it has. Ghosts only
// end and never begin, so there are at most as many as any later count.
func (t *target) heed(load int) {
	if load >= 0 {
		t.ghosts = min(t.ghosts, load)
	}
}

// lentTo returns how many of the target's permits a process has.
func (t *target) lentTo(by string) int {
	n := 0
	for _, h := range t.out {
		if h.by == by {
			n++
		}
	}
	return n
}

// pick returns the target that the process by uses next: not slow before slow, then
// the one with the most free slots; nil when none is free.
func (c *Core) pick(now time.Time, avoid, by string) *target {
	var best *target
	var bestFree int
	for _, t := range c.order {
		n := t.free(now)
		if n == 0 || c.o.Most > 0 && by != c.o.Self && t.lentTo(by) >= c.o.Most {
			continue
		}
		if best == nil || better(t, best, n, bestFree, c.slow, avoid) {
			best, bestFree = t, n
		}
	}
	return best
}

func better(t, u *target, tFree, uFree int, limit time.Duration, avoid string) bool {
	if a, b := t.addr == avoid, u.addr == avoid; a != b {
		return b
	}
	if a, b := t.took > limit, u.took > limit; a != b {
		return b
	}
	return tFree > uFree
}

// learnSlow sets the duration above which a target counts as slow, from the median
// over this process's own targets.
func (c *Core) learnSlow() {
	took := make([]time.Duration, 0, len(c.order))
	for _, t := range c.order {
		if t.took > 0 {
			took = append(took, t.took)
		}
	}
	if len(took) == 0 {
		c.slow = 0
		return
	}
	slices.Sort(took)
	c.slow = time.Duration(slowFactor * float64(took[(len(took)-1)/2]))
}

// mayEject keeps at least half of the owned targets in use, whatever fails.
//
// It guards against a fault that all targets share (or that is the process's own):
// each would be ejected in turn and nothing be left to answer.
func (c *Core) mayEject(now time.Time) bool {
	out := 0
	for _, t := range c.order {
		if now.Before(t.ejected) {
			out++
		}
	}
	return 2*(out+1) <= len(c.order)
}

func (c *Core) sortTargets() {
	c.order = c.order[:0]
	for _, t := range c.targets {
		c.order = append(c.order, t)
	}
	slices.SortFunc(c.order, func(a, b *target) int { return cmp.Compare(a.addr, b.addr) })
}
