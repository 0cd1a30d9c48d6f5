package drive

import (
	"sync/atomic"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
)

const (
	// behindAfter is from when on a holder counts as behind its work. A plan follows its event within a few
	// milliseconds where the processor is there.
	behindAfter = 100 * time.Millisecond
	// pollRest is the most that a holder that is behind leaves between two polls of a worker: what ends
	// meanwhile is told by one of them.
	pollRest = 200 * time.Millisecond
)

// lag is how far a holder is behind the events that it has to decide about.
type lag struct {
	began  time.Time    // by its steady clock: the time of day may be set meanwhile
	since  atomic.Int64 // of the oldest event without a plan, in nanoseconds from began; 0: there is none
	behind atomic.Int64 // nanoseconds by which the newest plan came after its oldest event
}

// event has a plan made for an event.
func (h *Holder) event() {
	h.lag.since.CompareAndSwap(0, max(1, int64(time.Since(h.lag.began))))
	wait.Kick(h.plan)
}

// planned notes that a plan covers all events so far, and returns by how much it came after the oldest.
func (l *lag) planned(now time.Time) time.Duration {
	behind := time.Duration(0)
	if at := l.since.Swap(0); at != 0 {
		behind = max(0, now.Sub(l.began)-time.Duration(at))
	}
	l.behind.Store(int64(behind))
	return behind
}

// rest returns how long a worker is left alone after a poll.
func (l *lag) rest() time.Duration {
	behind := time.Duration(l.behind.Load())
	if behind < behindAfter {
		return 0
	}
	return min(behind, pollRest)
}
