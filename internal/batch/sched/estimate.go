package sched

import "time"

// durationEstimator keeps for each queue how long its tasks take against the callers' estimates.
type durationEstimator struct {
	ratios map[string]float64
}

const (
	// smoothing is the weight of a new figure: some twenty ends are remembered.
	smoothing = 0.05
	// defaultEstimate stands in for a task's time where there is no estimate.
	defaultEstimate = time.Second
)

func (l *durationEstimator) observe(queue string, est, took time.Duration) {
	if est <= 0 {
		return
	}
	if l.ratios == nil {
		l.ratios = map[string]float64{}
	}
	x := float64(took) / float64(est)
	old, ok := l.ratios[queue]
	if !ok {
		old = 1
	}
	l.ratios[queue] = old + smoothing*(x-old)
}

// estimate returns how long a task with that estimate will take.
func (l *durationEstimator) estimate(queue string, est time.Duration) time.Duration {
	if est <= 0 {
		est = defaultEstimate
	}
	if r, ok := l.ratios[queue]; ok {
		return time.Duration(r * float64(est))
	}
	return est
}
