package sched

import (
	"time"
)

// sharing is what is known of a worker on which tasks that fill run beside tasks that serve.
type sharing struct {
	clock clock
	pace  int // percent at which the filling tasks may work; 0 is full, see limit
	slow  time.Time
	last  time.Time
}

const (
	fullPace = 100
	// overNear is the share of a serving task's target from which the filling tasks beside it
	// are slowed: readings are rough, and over the target they must not stay for long.
	overNear = 0.85
	// overEasy is the share below which they may work faster again.
	overEasy = 0.6
	// paceStep is added at each easy reading, in percent.
	paceStep = 15
	// paceLeast is the lowest pace other than standing still, in percent.
	paceLeast = 10
	// paceEvery is the least time between two changes: a reading covers half a second, and
	// one that was taken before the last change says nothing of it.
	paceEvery = 650 * time.Millisecond
)

// shared reports whether filling tasks run beside serving ones.
func (w *worker) shared() bool {
	if w.fill == 0 || w.base == 0 {
		return false
	}
	return true
}

// watch sets the pace of a worker's filling tasks by the tails of its serving tasks.
func (w *worker) watch(now time.Time) {
	if w.calm.pace == 0 && w.calm.last.IsZero() {
		w.calm.pace = fullPace
	}
	worst := 0.0
	for _, r := range w.runs {
		if r.task == nil || r.state != RunLive {
			continue
		}
		if target := r.task.stage.spec.Target; target > 0 && r.task.stage.spec.Lasting {
			worst = max(worst, float64(r.tail)/float64(target))
		}
	}
	if now.Sub(w.calm.last) < paceEvery {
		return
	}
	old := w.calm.pace
	switch {
	case worst >= 1:
		w.calm.pace /= 3
	case worst >= overNear:
		w.calm.pace = w.calm.pace * 2 / 3
	case worst < overEasy:
		w.calm.pace = min(fullPace, w.calm.pace+paceStep)
	}
	if w.calm.pace < paceLeast {
		w.calm.pace = 0
	}
	if w.calm.pace != old {
		w.calm.last = now
	}
	if w.calm.pace < old {
		w.calm.slow = now
	}
}
