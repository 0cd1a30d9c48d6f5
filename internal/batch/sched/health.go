package sched

import (
	"time"
)

// health is what a worker's ends say of it.
type health struct {
	jobs  map[string]bool // that failed there since its last success
	rest  time.Time
	turns int // rests in a row
}

const (
	// restAfter is how many jobs must fail on a worker, with no success between, before it
	// rests: one job that always fails mustn't take workers out.
	restAfter = 3
	// restFirst is the first rest; it doubles, as a worker that fails all it starts would
	// otherwise get the tries of one job after another.
	restFirst = 3 * time.Second
	// restMost is below the 7 s after which a lasting task has to run where only this worker has room, from when it is
	// sound again.
	restMost = 6 * time.Second
)

func (h *health) failed(now time.Time, job string) {
	if h.jobs == nil {
		h.jobs = map[string]bool{}
	}
	h.jobs[job] = true
	if h.resting(now) {
		return // what began before the rest says nothing of how the worker is after it
	}
	if len(h.jobs) < restAfter && h.turns == 0 {
		return
	}
	h.rest = now.Add(min(restFirst<<h.turns, restMost))
	h.turns = min(h.turns+1, 3)
}

func (h *health) good() {
	h.jobs = nil
	h.turns = 0
}

func (h *health) resting(now time.Time) bool {
	return now.Before(h.rest)
}

// learner keeps for each queue how long its tasks take against the callers' estimates.
type learner struct {
	ratio map[string]float64
}

const (
	// learnShare is the weight of a new figure: some twenty ends are remembered.
	learnShare = 0.05
	// guess stands in for a task's time where there is no estimate.
	guess = time.Second
)

func (l *learner) note(queue string, est, took time.Duration) {
	if est <= 0 {
		return
	}
	if l.ratio == nil {
		l.ratio = map[string]float64{}
	}
	x := float64(took) / float64(est)
	old, ok := l.ratio[queue]
	if !ok {
		old = 1
	}
	l.ratio[queue] = old + learnShare*(x-old)
}

// expect returns how long a task with that estimate will take.
func (l *learner) expect(queue string, est time.Duration) time.Duration {
	if est <= 0 {
		est = guess
	}
	if r, ok := l.ratio[queue]; ok {
		return time.Duration(r * float64(est))
	}
	return est
}
