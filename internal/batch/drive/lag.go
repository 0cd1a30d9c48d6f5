package drive

import (
	"sync/atomic"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
)

const (
	// behindThreshold is from when on a holder counts as behind its work. A plan follows its event within a few
	// milliseconds where the processor is there.
	behindThreshold = 100 * time.Millisecond
	// maxPollPause is the most that a holder that is behind leaves between two polls of a worker: what ends
	// meanwhile is told by one of them.
	maxPollPause = 200 * time.Millisecond
)

// planLag is how far a holder is behind the events that it has to decide about.
type planLag struct {
	started     time.Time    // by its steady clock: the time of day may be set meanwhile
	oldestEvent atomic.Int64 // of the oldest event without a plan, in nanoseconds from began; 0: there is none
	latest      atomic.Int64 // nanoseconds by which the newest plan came after its oldest event
}

// requestPlan has a plan made for an requestPlan.
func (h *Holder) requestPlan() {
	h.planLag.oldestEvent.CompareAndSwap(0, max(1, int64(time.Since(h.planLag.started))))
	wait.Kick(h.planWake)
}

// markPlanned notes that a plan covers all events so far, and returns by how much it came after the oldest.
func (l *planLag) markPlanned(now time.Time) time.Duration {
	behind := time.Duration(0)
	if at := l.oldestEvent.Swap(0); at != 0 {
		behind = max(0, now.Sub(l.started)-time.Duration(at))
	}
	l.latest.Store(int64(behind))
	return behind
}

// pollPause returns how long a worker is left alone after a poll.
func (l *planLag) pollPause() time.Duration {
	behind := time.Duration(l.latest.Load())
	if behind < behindThreshold {
		return 0
	}
	return min(behind, maxPollPause)
}
