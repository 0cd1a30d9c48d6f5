package sched

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

// colocation is what is known of a worker on which tasks that fill run beside tasks that serve.
type colocation struct {
	lastMeasurement   time.Time // of the last reading that was used
	bestEffortActive  time.Time // when a filling task was last at work
	bestEffortBlocked bool      // a serving task is over its target for long: nothing more that fills
}

const (
	// usageTolerance is the share of a filling task's size by which a reading of its use may be off.
	usageTolerance = 0.2
	// minMeasurementInterval is the least time between two readings that are used: each covers half a second.
	minMeasurementInterval = 450 * time.Millisecond
	// overTargetEnter and overEnds are the shares of a target above which a serving task counts as
	// over and below which it no longer does.
	overTargetEnter = 0.9
	overTargetLeave = 0.75
	// maxMeasurementGap is how long ago at most the reading before counts.
	maxMeasurementGap = time.Second
	// measurementDelay is the time that a measurementDelay covers, and its way here.
	measurementDelay = 700 * time.Millisecond
)

// colocated reports whether filling tasks run beside serving ones.
func (w *worker) colocated() bool {
	return w.bestEffortCPU > 0 && w.longRunning.CPU > 0
}

// latencyCritical reports whether a run is one with a tail to keep.
func (r *run) latencyCritical() bool {
	return r.task != nil && r.task.step.spec.TailTarget > 0 && r.task.step.spec.LongRunning
}

func (r *run) bestEffort() bool {
	return r.task != nil && r.task.step.spec.BestEffort
}

// processMeasurements learns from a worker's reading and sets the paces of its filling tasks.
func (c *Core) processMeasurements(now time.Time, w *worker) {
	if now.Sub(w.colocation.lastMeasurement) < minMeasurementInterval {
		return
	}
	before := w.colocation.lastMeasurement
	w.colocation.lastMeasurement = now
	c.markStale(w)
	use := w.bestEffortUsage()
	if w.bestEffortActive() {
		w.colocation.bestEffortActive = now
	}
	w.colocation.bestEffortBlocked = false
	for _, r := range w.runList {
		if !r.latencyCritical() || r.state != RunLive {
			continue
		}
		if st := r.task.step; r.ready {
			c.interference.Observe(c.modelTime(now), c.loadOf(st), st.spec.Image, r.tailLatency, st.spec.TailTarget, use)
		}
		r.updateOverTarget(now, latest(before, now.Add(-maxMeasurementGap)), w.colocation.bestEffortActive)
		if !r.overTargetSince.IsZero() && now.Sub(r.overTargetSince) >= throttleAfter {
			w.colocation.bestEffortBlocked = true
		}
	}
	c.updateCPULimits(now, w)
}

// updateOverTarget keeps since when a serving run has been over its target with filling tasks at work
// beside it. It may have begun right after the reading before, at before: a updateOverTarget that began
// with the reading that shows it stopped the filling tasks up to a second late. Readings are
// rough: one below the target amid others above doesn't end it.
func (r *run) updateOverTarget(now, before, busy time.Time) {
	target := float64(r.task.step.spec.TailTarget)
	switch tail := float64(r.tailLatency); {
	case tail < overTargetLeave*target:
		r.overTargetSince = time.Time{}
	case r.overTargetSince.IsZero() && tail < overTargetEnter*target:
	case now.Sub(busy) > measurementDelay:
		// With nothing that fills at work, it is over by its own load.
		r.overTargetSince = now
	case r.overTargetSince.IsZero():
		r.overTargetSince = before
	}
}

// bestEffortActive reports whether a filling task is at work on the worker.
func (w *worker) bestEffortActive() bool {
	for _, r := range w.runList {
		if r.bestEffort() && (r.cpuLimit > 0 || r.state != RunLive) {
			return true
		}
	}
	return false
}

// exceedsCPULimit reports whether a filling run uses more than its pace allows. An earlier order for
// its pace that wasn't answered may have been carried out after the newest.
func (r *run) exceedsCPULimit(now time.Time) bool {
	if !r.bestEffort() || r.cpuLimit == unknownCPULimit || now.Sub(r.cpuLimitSetAt) < 2*measurementDelay {
		return false
	}
	size := float64(r.task.step.spec.Size.CPU)
	return r.cpuUsage > size*(float64(r.cpuLimit)/fullCPULimit+usageTolerance)
}

// overTarget reports whether a serving task of the worker counts as over its target.
func (w *worker) overTarget() bool {
	for _, r := range w.runList {
		if !r.overTargetSince.IsZero() && r.latencyCritical() {
			return true
		}
	}
	return false
}

// bestEffortUsage returns what each filling image uses on the worker.
func (w *worker) bestEffortUsage() interf.CPUUsage {
	var use interf.CPUUsage
	for _, r := range w.runList {
		if r.bestEffort() && r.state == RunLive && r.cpuUsage > 0 {
			use.Add(r.task.step.spec.Image, r.cpuUsage/float64(max(w.Size.CPU, 1)))
		}
	}
	return use
}
