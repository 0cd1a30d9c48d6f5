package sched

import (
	"sort"
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

const (
	// latencyCriticalWeight is how many seconds of a best-effort task one second of a latency-critical one is worth. A job
	// is as late as the last of its tasks, so throttling one costs more than its own time.
	latencyCriticalWeight = 1.5
	// throttleHorizon is how far ahead, in seconds, a CPU limit has to be suitable: the next poll sets it again.
	throttleHorizon = 1.0
	// cpuLimitStep is the most by which a CPU limit is raised at a time, in percent; it is lowered at once.
	cpuLimitStep = 25
	// throttleAfter is how long a latency-critical task may be over its target before the best-effort tasks that
	// interfere with it at all are throttled to overTargetCPULimit, and pauseAfter before all best-effort tasks beside
	// it are paused, whatever the model expects.
	throttleAfter      = 1700 * time.Millisecond
	pauseAfter         = 2 * time.Second
	overTargetCPULimit = 20
	// minInterference is the pressure from which a best-effort task is throttled for a latency-critical one that is over
	// its target. With less, it would be throttled for peaks of the load itself.
	minInterference = 0.03
)

// updateCPULimits sets the wanted CPU limits of a worker's best-effort tasks: by the model those that are worth most to the
// users and, whatever the model expects, lower ones beside a latency-critical task that has been over its target.
func (c *Core) updateCPULimits(now time.Time, w *worker) {
	runs := w.bestEffortRuns()
	if len(runs) == 0 {
		return
	}
	tradeoff := c.newTradeoff(now, w, runs)
	tradeoff.lowerLimits()
	for _, critical := range w.runList {
		if critical.latencyCritical() && critical.state == RunLive && !critical.overTargetSince.IsZero() {
			c.capCPULimits(now, w, critical, runs, tradeoff.limits)
		}
	}
	for i, r := range runs {
		r.wantedCPULimit = min(tradeoff.limits[i], r.wantedCPULimit+cpuLimitStep)
		switch {
		case r.wantedCPULimit >= minKeepCPULimit:
			r.throttledSince = time.Time{}
		case r.throttledSince.IsZero():
			r.throttledSince = now
		}
	}
}

// capCPULimits caps the limits of the best-effort runs beside a latency-critical one that has been over its target.
func (c *Core) capCPULimits(now time.Time, w *worker, critical *run, runs []*run, limits []int) {
	maxLimit := fullCPULimit
	switch overFor := now.Sub(critical.overTargetSince); {
	case overFor >= pauseAfter:
		maxLimit = 0
	case overFor >= throttleAfter:
		maxLimit = overTargetCPULimit
	}
	factors := c.interference.Factors(critical.task.step.spec.Image)
	for i, r := range runs {
		spec := r.task.step.spec
		if maxLimit == 0 || factors.Factor(spec.Image)*spec.cpuShare(w) > minInterference {
			limits[i] = min(limits[i], maxLimit)
		}
	}
}

// throttleTradeoff weighs the CPU limits of a worker's best-effort runs against the pressure on its latency-critical ones.
type throttleTradeoff struct {
	limits      []int       // CPU limit of each best-effort run, percent
	added       [][]float64 // pressure on each latency-critical run by each best-effort one if not throttled
	aboveTarget []float64   // of each latency-critical run: pressure with these limits less the pressure at its target
}

// newTradeoff returns the trade-off of a worker with no best-effort run throttled.
func (c *Core) newTradeoff(now time.Time, w *worker, runs []*run) *throttleTradeoff {
	b := &throttleTradeoff{limits: make([]int, len(runs))}
	for i := range b.limits {
		b.limits[i] = fullCPULimit
	}
	for _, critical := range w.runList {
		if !critical.latencyCritical() || critical.state != RunLive {
			continue
		}
		factors := c.interference.Factors(critical.task.step.spec.Image)
		aboveTarget := c.peakLoad(now, critical.task.step, throttleHorizon) - interf.TargetPressure
		added := make([]float64, len(runs))
		for i, r := range runs {
			spec := r.task.step.spec
			added[i] = factors.Factor(spec.Image) * spec.cpuShare(w)
			aboveTarget += added[i]
		}
		b.added = append(b.added, added)
		b.aboveTarget = append(b.aboveTarget, aboveTarget)
	}
	return b
}

// lowerLimits repeatedly lowers the limit whose lowering gains most, until none gains anything.
func (b *throttleTradeoff) lowerLimits() {
	for {
		best, bestLimit, bestGain := -1, 0, 0.0
		for i, limit := range b.limits {
			for lower := 0; lower < limit; lower += cpuLimitStep {
				if gain := b.gain(i, lower); gain > bestGain {
					best, bestLimit, bestGain = i, lower, gain
				}
			}
		}
		if best < 0 {
			return
		}
		for k := range b.aboveTarget {
			b.aboveTarget[k] += b.added[k][best] * float64(bestLimit-b.limits[best]) / fullCPULimit
		}
		b.limits[best] = bestLimit
	}
}

// gain returns what lowering the limit of the i-th best-effort run gains, in seconds of best-effort tasks.
func (b *throttleTradeoff) gain(i, limit int) float64 {
	reduction := float64(b.limits[i]-limit) / fullCPULimit
	sum := -reduction
	for k, above := range b.aboveTarget {
		sum += latencyCriticalWeight * (interf.OverTargetRisk(above) - interf.OverTargetRisk(above-reduction*b.added[k][i]))
	}
	return sum
}

// bestEffortRuns returns the worker's best-effort runs that are known to run, sorted by start time and task id.
func (w *worker) bestEffortRuns() []*run {
	var runs []*run
	for _, r := range w.runList {
		if r.bestEffort() && r.state == RunLive {
			runs = append(runs, r)
		}
	}
	sort.Slice(runs, func(i, k int) bool {
		if runs[i].startedAt.Equal(runs[k].startedAt) {
			return runs[i].runKey.task.String() < runs[k].runKey.task.String()
		}
		return runs[i].startedAt.Before(runs[k].startedAt)
	})
	return runs
}
