package sched

import "time"

const (
	// stopDelay is how long a run is left alone after an order before a stop follows.
	stopDelay = 300 * time.Millisecond
	// maxUnsure is how long a poll may take to tell of a start without an answer, one that is under way included.
	maxUnsure = pollIdle + stopDelay
	// minThrottleInterval is the least time between two paces for a task.
	minThrottleInterval = 200 * time.Millisecond
	// minBackoff is the pause after the first of a run's orders without an answer, and
	// resendMost the longest to which it grows.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff spaces out the orders of one kind about a run. Its zero value lets one be sent at once.
//
// Against a storm of orders: a worker that is busy, or a holder that is, leaves orders unanswered, and each one
// sent anew before that needs another connection and more time of both. It shows as workers that
// refuse connections and as polls without an answer. With one order under way at a time and
// longer pauses, the orders to a run become fewer the longer nothing is answered.
type backoff struct {
	inFlight  bool          // one is under way
	notBefore time.Time     // none is sent before
	pause     time.Duration // after the newest one without an answer
}

func (p *backoff) ready(now time.Time) bool {
	return !p.inFlight && !now.Before(p.notBefore)
}

func (p *backoff) markSent() {
	p.inFlight = true
}

// markSettled notes that the order under way is settled, done or not.
func (p *backoff) markSettled(now time.Time, done bool) {
	p.inFlight = false
	if done {
		p.pause = 0
		return
	}
	p.pause = min(max(2*p.pause, minBackoff), maxBackoff)
	p.notBefore = now.Add(p.pause)
}
