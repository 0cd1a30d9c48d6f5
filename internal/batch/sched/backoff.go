package sched

import "time"

const (
	// stopDelay is the least time between the newest order to a run and a stop.
	stopDelay = 300 * time.Millisecond
	// maxUnknown is how long after an unanswered start its run stays in state RunUnknown before it is stopped. It covers
	// the longest time until a poll shows the run, including a poll that is in flight when the start is sent.
	maxUnknown = pollIdle + stopDelay
	// minThrottleInterval is the least time between the newest order to a run and a throttle.
	minThrottleInterval = 200 * time.Millisecond
	// minBackoff is the pause after the first order to a run that got no answer, and maxBackoff is the
	// longest to which the pause grows.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff spaces out the orders of one verb to a run. With its zero value the first order may be sent at once.
//
// It prevents a storm of orders. If a worker or the holder is busy, orders get no answer in time. Each order that is
// repeated too early needs another connection and more time of both, until workers refuse
// connections and polls get no answer either. With one order in flight at a time and growing
// pauses, a run gets fewer orders the longer none is answered.
type backoff struct {
	inFlight  bool          // an order awaits its answer
	notBefore time.Time     // earliest time of the next order
	pause     time.Duration // pause after the newest order; 0: it was carried out
}

// ready reports whether an order may be sent.
func (b *backoff) ready(now time.Time) bool {
	return !b.inFlight && !now.Before(b.notBefore)
}

// markSent records that an order is in flight.
func (b *backoff) markSent() {
	b.inFlight = true
}

// markSettled records that the order in flight was carried out (done), or that it was not sent or got no usable answer.
func (b *backoff) markSettled(now time.Time, done bool) {
	b.inFlight = false
	if done {
		b.pause = 0
		return
	}
	b.pause = min(max(2*b.pause, minBackoff), maxBackoff)
	b.notBefore = now.Add(b.pause)
}
