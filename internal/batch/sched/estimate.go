package sched

import "time"

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
