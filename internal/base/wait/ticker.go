package wait

import (
	"sync"
	"time"
)

// Ticker delivers ticks at intervals. Like a time.Ticker it drops ticks for slow receivers.
//
// It differs in that a tick is delivered by a goroutine, not by the receiver. In a synctest bubble, receivers deliver ticks
// that came due while they were busy, and two that do so at once crash the race detector's runtime.
type Ticker struct {
	interval time.Duration
	c        chan time.Time

	mu      sync.Mutex
	due     time.Time // of the next tick
	timer   *time.Timer
	stopped bool
}

// NewTicker returns a ticker with the given interval, which must be positive. Stop must be called.
func NewTicker(interval time.Duration) *Ticker {
	if interval <= 0 {
		panic("wait: the interval of a ticker must be positive")
	}
	t := &Ticker{interval: interval, c: make(chan time.Time, 1), due: time.Now().Add(interval)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(interval, t.tick)
	return t
}

// C returns the channel of the ticks, each the time at which it was due. It isn't closed.
func (t *Ticker) C() <-chan time.Time { return t.c }

// Stop ends the ticks. A tick that wasn't received yet stays in the channel.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// tick delivers the tick that is due and schedules the next one.
func (t *Ticker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	select {
	case t.c <- t.due:
	default:
	}
	missed := time.Since(t.due) / t.interval
	t.due = t.due.Add((1 + missed) * t.interval)
	t.timer.Reset(time.Until(t.due))
}
