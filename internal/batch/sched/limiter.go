package sched

import (
	"slices"
	"time"
)

// startLimiter bounds the starts in flight to what this process and its workers answer in time. The window grows by one
// with each prompt answer while it limits starts, and halves while late answers outnumber prompt ones, and while it is
// not used. A task that the window delays takes no resources on a worker. When more starts may be sent, the steps that
// are then first in the wait queue are placed.
//
// Without it, a thousand starts would be sent at once after a takeover. The holder would need longer to send them
// than it waits for their answers, so tasks that run would be taken for lost and started again.
//
// A start counts until its outcome is known. If no answer comes for overdueAfter, either this process is short of
// processor time or the worker is silent. A start sent after that decides: if it is answered promptly, it is the worker,
// whose start counts no longer. A few starts are always allowed beside overdue ones, so that there is such a start.
type startLimiter struct {
	window        int       // starts that may be in flight; 0: initialWindow
	available     int       // starts that the current plan may still add
	limited       bool      // the window kept the newest plan from adding a start
	limitedAt     time.Time // when the window last did, or was last halved for not being used
	inFlight      []*run    // runs whose start isn't answered, oldest first
	newestPrompt  time.Time // when the newest promptly answered start was sent
	answeredLate  time.Time // when a start was last answered late
	intervalStart time.Time // since when answers are counted
	promptAnswers int       // prompt answers since then
	lateAnswers   int       // late answers, and starts without one, since then
	baseline      baseline  // shortest time of recent answers

	lanes map[string]*startLane // by name; empty: lanes aren't known
}

const (
	initialWindow = 64
	minWindow     = 8
	maxWindow     = 1024
	// promptAnswer is the longest time that the answer to a start takes beyond the baseline when nothing delays it. An
	// answer that takes lateAnswer or longer beyond it was delayed.
	promptAnswer = 50 * time.Millisecond
	lateAnswer   = 150 * time.Millisecond
	// maxBaseline bounds what counts as the way to the workers and back. Beyond it, the delay is taken for a lack of
	// processor time.
	maxBaseline = 50 * time.Millisecond
	// baselinePeriod is the least time for which an answer counts in the baseline.
	baselinePeriod = 30 * time.Second
	// shrinkInterval is the least time between two reductions of the window.
	shrinkInterval = 200 * time.Millisecond
	// idleWindowLifetime is how long the window is kept while it limits no start. What the processor could do then tells
	// nothing of the load that it has later.
	idleWindowLifetime = time.Second
	// overdueAfter is the time from which on a start without an answer is overdue.
	overdueAfter = 300 * time.Millisecond
)

// refresh computes how many starts the next plan may add.
func (l *startLimiter) refresh(now time.Time) {
	if l.window == 0 {
		l.window = initialWindow
	}
	switch {
	case l.limited:
		l.limitedAt = now
	case now.Sub(l.limitedAt) >= idleWindowLifetime:
		l.window = max(l.window/2, min(l.window, initialWindow))
		l.limitedAt = now
	}
	recent, counted := 0, 0
	for _, lane := range l.lanes {
		lane.inFlight = 0
	}
	l.inFlight = slices.DeleteFunc(l.inFlight, func(r *run) bool {
		if r.state != RunSent || r.task == nil || r.task.run != r {
			return true
		}
		overdue := now.Sub(r.orderedAt) >= overdueAfter
		r.lane.recordInFlight(r, overdue)
		switch {
		case l.newestPrompt.Sub(r.orderedAt) >= overdueAfter:
			return r.lane == nil // counts for its lane only
		case r.lane.slow():
			return false
		}
		counted++
		if !overdue {
			recent++
		}
		return false
	})
	l.available = max(l.window-counted, minWindow-recent)
	l.limited = false
}

// allows reports whether n more starts may be sent. More than the window are allowed when no other start is in flight.
func (l *startLimiter) allows(n int) bool {
	if l.available >= min(n, l.window) {
		return true
	}
	l.limited = true
	return false
}

// add counts the start of a run.
func (l *startLimiter) add(r *run) {
	if !r.lane.slow() {
		l.available--
	}
	if r.lane != nil {
		r.lane.inFlight++
	}
	l.inFlight = append(l.inFlight, r)
}

// cancelNewest removes the newest n starts, which were planned but not sent.
func (l *startLimiter) cancelNewest(n int) {
	for _, r := range l.inFlight[len(l.inFlight)-n:] {
		if !r.lane.slow() {
			l.available++
		}
		if r.lane != nil {
			r.lane.inFlight--
		}
	}
	l.inFlight = l.inFlight[:len(l.inFlight)-n]
}

// recordAnswer adapts the window to the outcome of a start over a lane, which is nil if lanes aren't known, and to the time
// that its answer took.
func (l *startLimiter) recordAnswer(now time.Time, lane *startLane, took time.Duration, out Outcome) {
	overAgent := lane != nil && lane.overAgent
	if out == OutcomeUnsent && !(overAgent && took >= orderMargin/2) {
		return // it wasn't delayed on its way to an agent
	}
	if out != OutcomeUnknown && out != OutcomeUnsent {
		l.baseline.add(now, took)
	}
	delay := took - l.baseline.value()
	if overAgent {
		delay -= agentDelay
	}
	switch {
	case out == OutcomeUnknown || out == OutcomeUnsent || delay >= lateAnswer:
		l.recordLate(lane)
		if out != OutcomeUnknown && out != OutcomeUnsent {
			l.answeredLate = now
		}
	case delay < promptAnswer:
		l.recordPrompt(lane)
		l.newestPrompt = latest(l.newestPrompt, now.Add(-took))
	}
	if now.Sub(l.intervalStart) < shrinkInterval {
		return
	}
	if len(l.lanes) > 0 {
		l.promptAnswers, l.lateAnswers = l.endIntervals()
	}
	if l.lateAnswers > l.promptAnswers {
		l.window = max(l.window/2, minWindow)
	}
	l.intervalStart, l.promptAnswers, l.lateAnswers = now, 0, 0
}

// recordLate counts a late answer, or a start without one.
func (l *startLimiter) recordLate(lane *startLane) {
	l.lateAnswers++
	if lane != nil {
		lane.lateAnswers++
	}
}

// recordPrompt counts a prompt answer.
func (l *startLimiter) recordPrompt(lane *startLane) {
	l.promptAnswers++
	if l.limited {
		l.window = min(l.window+1, maxWindow)
	}
	if lane != nil {
		lane.recordPrompt(l.window / max(len(l.lanes), 1))
	}
}

// baseline is the shortest time of recent answers: what an answer takes that nothing delays.
type baseline struct {
	since            time.Time     // start of the current period
	current, earlier time.Duration // shortest time in the current period and in the one before
}

// add counts an answer that took a time.
func (b *baseline) add(now time.Time, took time.Duration) {
	switch {
	case b.since.IsZero():
		b.since, b.current, b.earlier = now, took, took
	case now.Sub(b.since) >= baselinePeriod:
		b.since, b.current, b.earlier = now, took, b.current
	default:
		b.current = min(b.current, took)
	}
}

// value returns the baseline, maxBaseline at most.
func (b *baseline) value() time.Duration {
	return min(b.current, b.earlier, maxBaseline)
}

// StartsLimited reports whether the newest plan left out tasks because the window of starts in flight was full.
func (c *Core) StartsLimited() bool {
	return c.startLimiter.limited
}
