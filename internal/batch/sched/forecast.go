package sched

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

const (
	// maxExpectedViolations bounds the expected number of latency-critical tasks that a placement pushes over target.
	maxExpectedViolations = 0.3
	// placementHorizon is for how long, in seconds, a place has to suit a filling task, which stays
	// there for some 2 s.
	placementHorizon = 2.0
)

// interferenceExposure is the pressure on a serving run of a worker.
type interferenceExposure struct {
	factors     *interf.Factors
	aboveTarget float64 // pressure less the one at its target
}

// forecast is what placing looks at on a worker; it is kept until a run comes, goes or is
// read anew, or the loads have moved, as every waiting step asks for it.
type forecast struct {
	valid      bool
	computedAt time.Time
	unused     int // millicores likely to be unused
	exposures  []interferenceExposure
}

// maxForecastAge is how long a forecast is kept. A load that swings within 10 s by half moves by
// 0.03 meanwhile, half of a reading's noise.
const maxForecastAge = 200 * time.Millisecond

func (c *Core) forecast(now time.Time, w *worker) *forecast {
	o := &w.forecast
	if o.valid && now.Sub(o.computedAt) < maxForecastAge {
		return o
	}
	o.valid, o.computedAt = true, now
	o.exposures = o.exposures[:0]
	fill, lasting := 0, 0.0
	for _, r := range w.runList {
		if r.task != nil && r.task.step.spec.LongRunning {
			lasting += c.expectedUtilization(now, r) * float64(r.task.step.spec.Size.CPU)
		}
		if r.bestEffort() && !r.starved {
			fill += r.task.step.spec.Size.CPU * r.wantedCPULimit / fullCPULimit
		}
		if r.latencyCritical() && r.state == RunLive {
			o.exposures = append(o.exposures, interferenceExposure{c.interference.Factors(r.task.step.spec.Image), c.expectedPressure(now, w, r) - interf.TargetPressure})
		}
	}
	o.unused = w.Size.CPU - int(lasting) - (w.allocated.CPU - w.longRunning.CPU) - fill
	return o
}

// expectedPressure returns the pressure expected on a serving run while a task placed now would run.
func (c *Core) expectedPressure(now time.Time, w *worker, r *run) float64 {
	f := c.interference.Factors(r.task.step.spec.Image)
	sum := c.peakLoad(now, r.task.step, placementHorizon)
	for _, o := range w.runList {
		if o.bestEffort() {
			z := o.task.step.spec
			sum += f.Factor(z.Image) * z.cpuShare(w) * float64(o.wantedCPULimit) / fullCPULimit
		}
	}
	return sum
}

// expectedUtilization returns the share of its declared processors that a lasting run is expected to expectedUtilization while a task placed now
// would run: what its users' load makes of it, as far as that shows.
func (c *Core) expectedUtilization(now time.Time, r *run) float64 {
	if !r.latencyCritical() {
		return defaultUtilization
	}
	return min(1, c.interference.ExpectedLoad(c.loadOf(r.task.step), c.modelTime(now)+placementHorizon/2))
}

// cpuShare returns the cpuShare of a worker's processors that a task of the step asks for.
func (s *Step) cpuShare(w *worker) float64 {
	return float64(s.Size.CPU) / float64(max(w.Size.CPU, 1))
}

// interferenceOf returns what a further filling task of a step would do on a worker: the expected number of serving
// runs that it would bring over their target, and how much less it disturbs them than filling images do on
// average. Placing by this advantage leaves the workers on which nothing serves, and those whose serving tasks
// bear more, to the images that have no other place.
func (c *Core) interferenceOf(now time.Time, w *worker, s *Step) (harm, advantage float64) {
	share := s.cpuShare(w)
	for _, k := range c.forecast(now, w).exposures {
		of, mean := k.factors.FactorAndMean(s.Image)
		harm += interf.OverTargetRisk(k.aboveTarget+of*share) - interf.OverTargetRisk(k.aboveTarget)
		advantage += mean - of
	}
	return harm, advantage * share
}

// modelTime returns a time as interf counts it: from the Unix epoch, so that a fit can be handed on
// to another host, by the clock as it was when the term began. A clock that is set while this
// process holds would shift every swing against the loads.
func (c *Core) modelTime(at time.Time) float64 {
	return time.Duration(c.termStart.UnixNano()).Seconds() + at.Sub(c.termStart).Seconds()
}

// loadOf returns the load of a serving step.
func (c *Core) loadOf(s *stepInstance) *interf.LoadForecast {
	if s.load == nil {
		s.load = interf.NewLoadForecast(c.modelTime(s.releasedAt))
	}
	return s.load
}

// peakLoad returns the most load expected of a serving step within some seconds.
func (c *Core) peakLoad(now time.Time, s *stepInstance, ahead float64) float64 {
	return c.interference.PeakLoad(c.loadOf(s), c.modelTime(now), ahead)
}
