package sched

import "time"

const (
	// resendStop is how long a run is left alone after an order before a stop follows.
	resendStop = 300 * time.Millisecond
	// unsureMost is how long a poll may take to tell of a start without an answer, one that is under way included.
	unsureMost = pollIdle + resendStop
	// resendPace is the least time between two paces for a task.
	resendPace = 200 * time.Millisecond
	// resendFirst is the pause after the first of a run's orders without an answer, and
	// resendMost the longest to which it grows.
	resendFirst = 300 * time.Millisecond
	resendMost  = 2 * time.Second
)

// repeat spaces out the orders of one kind about a run. Its zero value lets one be sent at once.
//
// Against a storm of orders: a worker that is busy, or a holder that is, leaves orders unanswered, and each one
// sent anew before that needs another connection and more time of both. It shows as workers that
// refuse connections and as polls without an answer. With one order under way at a time and
// longer pauses, the orders to a run become fewer the longer nothing is answered.
type repeat struct {
	open  bool          // one is under way
	from  time.Time     // none is sent before
	pause time.Duration // after the newest one without an answer
}

func (p *repeat) due(now time.Time) bool {
	return !p.open && !now.Before(p.from)
}

func (p *repeat) begin() {
	p.open = true
}

// over notes that the order under way is settled, done or not.
func (p *repeat) over(now time.Time, done bool) {
	p.open = false
	if done {
		p.pause = 0
		return
	}
	p.pause = min(max(2*p.pause, resendFirst), resendMost)
	p.from = now.Add(p.pause)
}
