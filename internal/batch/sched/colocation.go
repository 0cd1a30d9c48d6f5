package sched

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

// colocation is the state of a worker on which best-effort tasks run beside latency-critical ones.
type colocation struct {
	lastMeasurement    time.Time // when the last measurements that were used arrived
	bestEffortActiveAt time.Time // when a best-effort task was last known to be active
	bestEffortBlocked  bool      // no more best-effort tasks are placed: a latency-critical one has long been over its target
}

const (
	// usageTolerance is the share of a best-effort task's declared CPU by which a measurement of its use may be off.
	usageTolerance = 0.2
	// minMeasurementInterval is the least time between two measurements that are used, as each covers half a second.
	minMeasurementInterval = 450 * time.Millisecond
	// overTargetEnter and overTargetLeave are the shares of its target above which the tail latency of a
	// latency-critical task counts as over target, and below which it no longer does (hysteresis).
	overTargetEnter = 0.9
	overTargetLeave = 0.75
	// maxMeasurementGap bounds how far back the previous measurement is taken to be.
	maxMeasurementGap = time.Second
	// measurementDelay is the time that a measurement covers plus the time until it arrives here.
	measurementDelay = 700 * time.Millisecond
)

// colocated reports whether best-effort tasks run beside long-running ones.
func (w *worker) colocated() bool {
	return w.bestEffortCPU > 0 && w.longRunning.CPU > 0
}

// latencyCritical reports whether a run is of a long-running task with a target for its tail latency.
func (r *run) latencyCritical() bool {
	return r.task != nil && r.task.step.spec.TailTarget > 0 && r.task.step.spec.LongRunning
}

// bestEffort reports whether a run is of a best-effort task.
func (r *run) bestEffort() bool {
	return r.task != nil && r.task.step.spec.BestEffort
}

// processMeasurements learns interference from the measurements in a worker's report, updates which latency-critical runs
// are over target, and sets the wanted CPU limits of the best-effort ones.
func (c *Core) processMeasurements(now time.Time, w *worker) {
	if now.Sub(w.colocation.lastMeasurement) < minMeasurementInterval {
		return
	}
	previous := w.colocation.lastMeasurement
	w.colocation.lastMeasurement = now
	c.markStale(w)
	usage := w.bestEffortUsage()
	if w.bestEffortActive() {
		w.colocation.bestEffortActiveAt = now
	}
	w.colocation.bestEffortBlocked = false
	for _, r := range w.runList {
		if !r.latencyCritical() || r.state != RunLive {
			continue
		}
		if step := r.task.step; r.ready && w.Size.CPU > 0 { // otherwise the shares in use aren't known
			c.interference.Observe(c.modelTime(now), c.loadOf(step), step.spec.Image, r.tailLatency, step.spec.TailTarget, usage)
		}
		r.updateOverTarget(now, latest(previous, now.Add(-maxMeasurementGap)), w.colocation.bestEffortActiveAt)
		if !r.overTargetSince.IsZero() && now.Sub(r.overTargetSince) >= throttleAfter {
			w.colocation.bestEffortBlocked = true
		}
	}
	c.updateCPULimits(now, w)
}

// updateOverTarget updates since when a latency-critical run has been over its target with best-effort tasks active beside
// it. The run may have gone over its target right after the previous measurement: counting from the measurement that shows
// it would stop the best-effort tasks up to a second late. As measurements are noisy, one below the target ends the time
// over target only if it is also below overTargetLeave times the target.
func (r *run) updateOverTarget(now, previous, bestEffortActiveAt time.Time) {
	target := float64(r.task.step.spec.TailTarget)
	switch tail := float64(r.tailLatency); {
	case tail < overTargetLeave*target:
		r.overTargetSince = time.Time{}
	case r.overTargetSince.IsZero() && tail < overTargetEnter*target:
	case now.Sub(bestEffortActiveAt) > measurementDelay:
		// No best-effort task is active, so the run is over its target by its own load.
		r.overTargetSince = now
	case r.overTargetSince.IsZero():
		r.overTargetSince = previous
	}
}

// bestEffortActive reports whether a best-effort task of the worker may be active: its CPU limit isn't known to be 0, or the
// task isn't known to run.
func (w *worker) bestEffortActive() bool {
	for _, r := range w.runList {
		if r.bestEffort() && (r.cpuLimit.mayRun() || r.state != RunLive) {
			return true
		}
	}
	return false
}

// overTarget reports whether a latency-critical task of the worker counts as over its target.
func (w *worker) overTarget() bool {
	for _, r := range w.runList {
		if !r.overTargetSince.IsZero() && r.latencyCritical() {
			return true
		}
	}
	return false
}

// bestEffortUsage returns the share of the worker's CPU that each best-effort image uses.
func (w *worker) bestEffortUsage() interf.CPUUsage {
	var usage interf.CPUUsage
	for _, r := range w.runList {
		if r.bestEffort() && r.state == RunLive && r.cpuUsage > 0 {
			usage.Add(r.task.step.spec.Image, r.cpuUsage/float64(max(w.Size.CPU, 1)))
		}
	}
	return usage
}
