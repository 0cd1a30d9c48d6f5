package drive

import (
	"sync/atomic"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
)

const (
	// behindThreshold is the plan lag from which on a holder counts as behind. With enough processor time a plan
	// follows its event within a few milliseconds.
	behindThreshold = 100 * time.Millisecond
	// maxPollPause is the longest pause between two polls of a worker while the holder is behind. One report then
	// covers all runs that ended in the pause.
	maxPollPause = 200 * time.Millisecond
)

// planLag measures how far plans lag behind the events that they cover.
type planLag struct {
	started     time.Time    // origin of the times below; differences use the monotonic clock, as the wall clock may be set
	oldestEvent atomic.Int64 // time of the oldest event not covered by a plan, in nanoseconds since started; 0: none
	latest      atomic.Int64 // lag of the latest plan behind the oldest event that it covers, in nanoseconds
}

// requestPlan records an event and wakes planLoop.
func (h *Holder) requestPlan() {
	h.planLag.oldestEvent.CompareAndSwap(0, max(1, int64(time.Since(h.planLag.started))))
	wait.Wake(h.planWake)
}

// markPlanned records that a plan covers all events so far, and returns its lag behind the oldest of them.
func (l *planLag) markPlanned(now time.Time) time.Duration {
	lag := time.Duration(0)
	if at := l.oldestEvent.Swap(0); at != 0 {
		lag = max(0, now.Sub(l.started)-time.Duration(at))
	}
	l.latest.Store(int64(lag))
	return lag
}

// pollPause returns the pause between two polls of a worker: none unless the holder is behind.
func (l *planLag) pollPause() time.Duration {
	lag := time.Duration(l.latest.Load())
	if lag < behindThreshold {
		return 0
	}
	return min(lag, maxPollPause)
}
