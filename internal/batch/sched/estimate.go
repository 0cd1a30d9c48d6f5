package sched

import "time"

// durationEstimator corrects the callers' estimates of task durations by what tasks of the same queue took.
type durationEstimator struct {
	ratios map[string]float64 // by queue: moving average of actual duration over estimate
}

const (
	// smoothing is the weight of a new value in the moving average, which so covers about the last twenty tasks.
	smoothing = 0.05
	// defaultEstimate replaces a missing estimate.
	defaultEstimate = time.Second
)

// observe adds what a task with an estimate took.
func (e *durationEstimator) observe(queue string, est, took time.Duration) {
	if est <= 0 {
		return
	}
	if e.ratios == nil {
		e.ratios = map[string]float64{}
	}
	ratio := float64(took) / float64(est)
	old, ok := e.ratios[queue]
	if !ok {
		old = 1
	}
	e.ratios[queue] = old + smoothing*(ratio-old)
}

// estimate returns the expected duration of a task with the caller's estimate est.
func (e *durationEstimator) estimate(queue string, est time.Duration) time.Duration {
	if est <= 0 {
		est = defaultEstimate
	}
	if r, ok := e.ratios[queue]; ok {
		return time.Duration(r * float64(est))
	}
	return est
}
