package rack

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// worker is one worker as its rack's holder knows it.
type worker struct {
	addr   string
	size   wire.Size
	fenced bool
	busy   bool // a fence or renewal is under way
	tried  time.Time
	// clock was the worker's own time when an answer came in at heard.
	clock wire.WorkerTime
	heard time.Time
	// seen is when it last answered anything, a lagging report included.
	seen time.Time
	// over is when its tasks have certainly stopped unless it is renewed again.
	over time.Time
	// poor counts failures in a row, of different jobs; from tired on it rests.
	poor  int
	rests time.Time
}

// at returns the worker's own time at a local time after heard, or a little earlier:
// the answer that carried the clock was under way for a while before it was heard.
//
// Commands carry moments reckoned by this, so that one which is late, because this
// process or the network stood still after it was decided, is refused or changes nothing.
func (w *worker) at(local time.Time) wire.WorkerTime {
	return w.clock + wire.WorkerTime(local.Sub(w.heard))
}

func (w *worker) hear(now time.Time, r wire.Report) {
	w.clock, w.heard, w.seen, w.size = r.Now, now, now, r.Size
}

const (
	poorLimit = 5                // failures in a row that make a worker rest
	restFor   = 10 * time.Second // after which one task is tried there
)

// failed notes a task that failed on the worker; a worker on which everything fails is
// always free and would draw all work to itself.
func (w *worker) failed(now time.Time) {
	w.poor++
	if w.poor >= poorLimit {
		w.rests = now.Add(restFor)
	}
}

func (w *worker) well() {
	w.poor, w.rests = 0, time.Time{}
}
