package sched

import (
	"sort"
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

const (
	// fullCPULimit is the pace of a task that is not slowed, in percent.
	fullCPULimit = 100
	// unknownCPULimit has a pace ordered anew.
	unknownCPULimit = -1
	// latencyCriticalWeight is how many seconds of a filling task a second of a serving one is worth. A job is as late as the last
	// of its tasks, so slowing one costs more than its own time.
	latencyCriticalWeight = 1.5
	// throttleHorizon is until when, in seconds, a pace has to suit: it is set anew with the next poll.
	throttleHorizon = 1.0
	// cpuLimitStep is the most that a pace is raised at a time, in percent; it is lowered at once.
	cpuLimitStep = 25
	// throttleAfter and overLong are how long a serving task may be over its target before the
	// filling tasks beside it that disturb it at all are slowed and, then, all of them stand
	// still, whatever the model says.
	throttleAfter      = 1700 * time.Millisecond
	pauseAfter         = 2 * time.Second
	overTargetCPULimit = 20
	// minInterference is the pressure from which a filling task is slowed for a serving one that is
	// over its target: below, it would be slowed for the load's own peaks.
	minInterference = 0.03
)

// updateCPULimits sets the paces of a worker's filling tasks: those that are worth most to the users, and,
// whatever the model says, lower ones beside a serving task that has been over its target.
func (c *Core) updateCPULimits(now time.Time, w *worker) {
	fills := w.bestEffortRuns()
	if len(fills) == 0 {
		return
	}
	b := c.newTradeoff(now, w, fills)
	b.lowerLimits()
	for _, s := range w.runList {
		if s.latencyCritical() && s.state == RunLive && !s.overTargetSince.IsZero() {
			c.capCPULimits(now, w, s, fills, b.limits)
		}
	}
	for i, r := range fills {
		r.wantedCPULimit = min(b.limits[i], r.wantedCPULimit+cpuLimitStep)
		switch {
		case r.wantedCPULimit >= minKeepCPULimit:
			r.throttledSince = time.Time{}
		case r.throttledSince.IsZero():
			r.throttledSince = now
		}
	}
}

// capCPULimits bounds the paces beside a serving task that has been over its target.
func (c *Core) capCPULimits(now time.Time, w *worker, s *run, fills []*run, paces []int) {
	most := fullCPULimit
	switch d := now.Sub(s.overTargetSince); {
	case d >= pauseAfter:
		most = 0
	case d >= throttleAfter:
		most = overTargetCPULimit
	}
	f := c.interference.Factors(s.task.step.spec.Image)
	for i, r := range fills {
		z := r.task.step.spec
		if most == 0 || f.Factor(z.Image)*z.cpuShare(w) > minInterference {
			paces[i] = min(paces[i], most)
		}
	}
}

// throttleTradeoff weighs the paces of a worker's filling tasks against the pressure on its serving ones.
type throttleTradeoff struct {
	limits      []int       // of each filling task, percent
	added       [][]float64 // pressure on each serving task by each filling one at full pace
	aboveTarget []float64   // of each serving task: pressure with these paces less the one at its target
}

// newTradeoff returns the balance of a worker with all paces full.
func (c *Core) newTradeoff(now time.Time, w *worker, fills []*run) *throttleTradeoff {
	b := &throttleTradeoff{limits: make([]int, len(fills))}
	for i := range b.limits {
		b.limits[i] = fullCPULimit
	}
	for _, s := range w.runList {
		if !s.latencyCritical() || s.state != RunLive {
			continue
		}
		f := c.interference.Factors(s.task.step.spec.Image)
		above := c.peakLoad(now, s.task.step, throttleHorizon) - interf.TargetPressure
		adds := make([]float64, len(fills))
		for i, r := range fills {
			z := r.task.step.spec
			adds[i] = f.Factor(z.Image) * z.cpuShare(w)
			above += adds[i]
		}
		b.added = append(b.added, adds)
		b.aboveTarget = append(b.aboveTarget, above)
	}
	return b
}

// lowerLimits lowers the pace whose lowering gains most, until none gains.
func (b *throttleTradeoff) lowerLimits() {
	for {
		best, to, most := -1, 0, 0.0
		for i, pace := range b.limits {
			for p := 0; p < pace; p += cpuLimitStep {
				if g := b.gain(i, p); g > most {
					best, to, most = i, p, g
				}
			}
		}
		if best < 0 {
			return
		}
		for k := range b.aboveTarget {
			b.aboveTarget[k] += b.added[k][best] * float64(to-b.limits[best]) / fullCPULimit
		}
		b.limits[best] = to
	}
}

// gain returns what lowering a filling task's pace gains, in seconds of filling tasks.
func (b *throttleTradeoff) gain(i, pace int) float64 {
	part := float64(b.limits[i]-pace) / fullCPULimit
	sum := -part
	for k, x := range b.aboveTarget {
		sum += latencyCriticalWeight * (interf.OverTargetRisk(x) - interf.OverTargetRisk(x-part*b.added[k][i]))
	}
	return sum
}

// bestEffortRuns returns the worker's bestEffortRuns runs in a fixed order.
func (w *worker) bestEffortRuns() []*run {
	var fills []*run
	for _, r := range w.runList {
		if r.bestEffort() && r.state == RunLive {
			fills = append(fills, r)
		}
	}
	sort.Slice(fills, func(i, k int) bool {
		if fills[i].startedAt.Equal(fills[k].startedAt) {
			return fills[i].runKey.task.String() < fills[k].runKey.task.String()
		}
		return fills[i].startedAt.Before(fills[k].startedAt)
	})
	return fills
}
