package sched

import (
	"slices"
	"time"
)

// startLimiter bounds the starts under way to what this process and its workers answer in time. A task that waits for
// its turn takes no room on a worker, and the next turn goes to whatever comes first by then.
//
// The failure it guards against: after a takeover a thousand starts leave at once, the holder needs longer to send
// them than it waits for their answers, and tasks that run are taken for lost and begun anew.
type startLimiter struct {
	window        int    // starts that may be under way; 0: flowFirst
	available     int    // of these, not taken yet
	limited       bool   // the window kept a start from being planned
	inFlight      []*run // started of late, the oldest first
	intervalStart time.Time
	promptAnswers int // answers since began
	lateAnswers   int
}

const (
	initialWindow = 64
	minWindow     = 8
	maxWindow     = 1024
	// promptAnswer is how long at most a start's answer takes when nothing holds it up, and lateAnswer from when
	// on something does.
	promptAnswer = 50 * time.Millisecond
	lateAnswer   = 150 * time.Millisecond
	// shrinkInterval is how often the window may shrink.
	shrinkInterval = 200 * time.Millisecond
	// inFlightTimeout is how long a start without an answer counts: workers that don't answer hold up nobody else.
	inFlightTimeout = 300 * time.Millisecond
)

// refresh finds out how many starts may leave now.
func (f *startLimiter) refresh(now time.Time) {
	if f.window == 0 {
		f.window = initialWindow
	}
	f.inFlight = slices.DeleteFunc(f.inFlight, func(r *run) bool {
		return r.state != RunSent || r.task == nil || r.task.run != r || now.Sub(r.orderedAt) >= inFlightTimeout
	})
	f.available = f.window - len(f.inFlight)
	f.limited = false
}

// allows reports whether n starts may leave; more than the window may once nothing else is under way.
func (f *startLimiter) allows(n int) bool {
	if f.available >= min(n, f.window) {
		return true
	}
	f.limited = true
	return false
}

func (f *startLimiter) add(r *run) {
	f.available--
	f.inFlight = append(f.inFlight, r)
}

// cancelNewest takes back the newest n starts, which haven't left.
func (f *startLimiter) cancelNewest(n int) {
	f.available += n
	f.inFlight = f.inFlight[:len(f.inFlight)-n]
}

// recordAnswer takes the outcome of a start that left some time ago.
func (f *startLimiter) recordAnswer(now time.Time, took time.Duration, out Outcome) {
	switch {
	case out == OutcomeUnsent:
		return
	case out == OutcomeUnknown || took >= lateAnswer:
		f.lateAnswers++
	case took < promptAnswer:
		f.promptAnswers++
		if f.limited {
			f.window = min(f.window+1, maxWindow)
		}
	}
	if now.Sub(f.intervalStart) < shrinkInterval {
		return
	}
	if f.lateAnswers > f.promptAnswers {
		f.window = max(f.window/2, minWindow)
	}
	f.intervalStart, f.promptAnswers, f.lateAnswers = now, 0, 0
}

// StartsLimited reports whether tasks wait only because as many starts are under way as are answered in time.
func (c *Core) StartsLimited() bool {
	return c.startLimiter.limited
}
