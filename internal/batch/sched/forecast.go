package sched

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

const (
	// maxExpectedViolations bounds the expected number of latency-critical tasks that placing a best-effort task pushes
	// over their targets.
	maxExpectedViolations = 0.3
	// placementHorizon is how far ahead, in seconds, a placement of a best-effort task has to be suitable: such a task
	// runs for some 2 s.
	placementHorizon = 2.0
)

// interferenceExposure is the pressure on a latency-critical run and its sensitivity to best-effort images.
type interferenceExposure struct {
	factors     *interf.Factors // of the best-effort images for the run's image
	aboveTarget float64         // expected pressure less the pressure at the target
}

// forecast is the expected state of a worker by which tasks are placed. As every waiting step asks for it, it is cached
// until a run is added or removed, new measurements arrive, or it is so old (maxForecastAge) that the loads have changed.
type forecast struct {
	valid      bool                   // not invalidated since it was computed
	computedAt time.Time              // when it was computed
	unused     int                    // millicores expected to be unused; starved runs count as using none
	exposures  []interferenceExposure // of each latency-critical run
}

// maxForecastAge is how long a forecast is cached. A load that oscillates by half within 10 s changes by 0.03 meanwhile,
// half of a measurement's noise.
const maxForecastAge = 200 * time.Millisecond

// forecast returns a worker's forecast, computing it if the cached one is out of date.
func (c *Core) forecast(now time.Time, w *worker) *forecast {
	f := &w.forecast
	if f.valid && now.Sub(f.computedAt) < maxForecastAge {
		return f
	}
	f.valid, f.computedAt = true, now
	f.exposures = f.exposures[:0]
	bestEffort, longRunning := 0, 0.0
	for _, r := range w.runList {
		if r.task != nil && r.task.step.spec.LongRunning {
			longRunning += c.expectedUtilization(now, r) * float64(r.task.step.spec.Size.CPU)
		}
		if r.bestEffort() && !r.starved {
			bestEffort += r.task.step.spec.Size.CPU * r.wantedCPULimit / fullCPULimit
		}
		if r.latencyCritical() && r.state == RunLive {
			f.exposures = append(f.exposures, interferenceExposure{c.interference.Factors(r.task.step.spec.Image), c.expectedPressure(now, w, r) - interf.TargetPressure})
		}
	}
	f.unused = w.Size.CPU - int(longRunning) - (w.allocated.CPU - w.longRunning.CPU) - bestEffort
	return f
}

// expectedPressure returns the pressure expected on a latency-critical run while a task placed now would run: its load's
// peak and the interference of the best-effort runs.
func (c *Core) expectedPressure(now time.Time, w *worker, r *run) float64 {
	factors := c.interference.Factors(r.task.step.spec.Image)
	sum := c.peakLoad(now, r.task.step, placementHorizon)
	for _, other := range w.runList {
		if other.bestEffort() {
			spec := other.task.step.spec
			sum += factors.Factor(spec.Image) * spec.cpuShare(w) * float64(other.wantedCPULimit) / fullCPULimit
		}
	}
	return sum
}

// expectedUtilization returns the share of its declared CPU that a long-running run is expected to use while a task placed
// now would run: its forecast load, or a default if its load isn't measured.
func (c *Core) expectedUtilization(now time.Time, r *run) float64 {
	if !r.latencyCritical() {
		return defaultUtilization
	}
	return min(1, c.interference.ExpectedLoad(c.loadOf(r.task.step), c.modelTime(now)+placementHorizon/2))
}

// cpuShare returns the share of a worker's CPU that a task of the step declares.
func (s *Step) cpuShare(w *worker) float64 {
	return float64(s.Size.CPU) / float64(max(w.Size.CPU, 1))
}

// interferenceOf returns the interference of one more best-effort task of a step with the latency-critical runs on a worker:
// the expected number of them that it pushes over their targets, and by how much its pressure on them is below that of the
// average best-effort image. Placing by this advantage leaves the workers without latency-critical tasks, and those whose
// latency-critical tasks are less sensitive, to the images that can be placed nowhere else.
func (c *Core) interferenceOf(now time.Time, w *worker, s *Step) (violations, advantage float64) {
	share := s.cpuShare(w)
	for _, exposure := range c.forecast(now, w).exposures {
		factor, mean := exposure.factors.FactorAndMean(s.Image)
		violations += interf.OverTargetRisk(exposure.aboveTarget+factor*share) - interf.OverTargetRisk(exposure.aboveTarget)
		advantage += mean - factor
	}
	return violations, advantage * share
}

// modelTime returns a time in the interference model's unit, seconds since the Unix epoch, so that a fitted load forecast
// can be handed over to another host. It counts from the wall clock at the start of the term, as setting the clock during
// the term would shift every forecast oscillation against the load.
func (c *Core) modelTime(at time.Time) float64 {
	return time.Duration(c.termStart.UnixNano()).Seconds() + at.Sub(c.termStart).Seconds()
}

// loadOf returns the load forecast of a latency-critical step.
func (c *Core) loadOf(s *stepInstance) *interf.LoadForecast {
	if s.load == nil {
		s.load = interf.NewLoadForecast(c.modelTime(s.releasedAt))
	}
	return s.load
}

// peakLoad returns the highest load expected of a latency-critical step within the next ahead seconds.
func (c *Core) peakLoad(now time.Time, s *stepInstance, ahead float64) float64 {
	return c.interference.PeakLoad(c.loadOf(s), c.modelTime(now), ahead)
}
