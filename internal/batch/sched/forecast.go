package sched

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

const (
	// maxHarm bounds the expected number of latency-critical tasks that a placement pushes over target.
	maxHarm = 0.3
	// placeAhead is for how long, in seconds, a place has to suit a filling task, which stays
	// there for some 2 s.
	placeAhead = 2.0
)

// exposure is the pressure on a serving run of a worker.
type exposure struct {
	factors *interf.Factors
	above   float64 // pressure less the one at its target
}

// forecast is what placing looks at on a worker; it is kept until a run comes, goes or is
// read anew, or the loads have moved, as every waiting step asks for it.
type forecast struct {
	fresh   bool
	at      time.Time
	left    int // millicores likely to be unused
	exposed []exposure
}

// forecastAge is how long a forecast is kept. A load that swings within 10 s by half moves by
// 0.03 meanwhile, half of a reading's noise.
const forecastAge = 200 * time.Millisecond

func (c *Core) forecast(now time.Time, w *worker) *forecast {
	o := &w.forecast
	if o.fresh && now.Sub(o.at) < forecastAge {
		return o
	}
	o.fresh, o.at = true, now
	o.exposed = o.exposed[:0]
	fill, lasting := 0, 0.0
	for _, r := range w.list {
		if r.task != nil && r.task.stage.spec.Lasting {
			lasting += c.use(now, r) * float64(r.task.stage.spec.Size.CPU)
		}
		if r.fills() && !r.starved {
			fill += r.task.stage.spec.Size.CPU * r.want / fullPace
		}
		if r.serves() && r.state == RunLive {
			o.exposed = append(o.exposed, exposure{c.interference.Factors(r.task.stage.spec.Image), c.expectedPressure(now, w, r) - interf.TargetPressure})
		}
	}
	o.left = w.Size.CPU - int(lasting) - (w.used.CPU - w.lasting.CPU) - fill
	return o
}

// expectedPressure returns the pressure expected on a serving run while a task placed now would run.
func (c *Core) expectedPressure(now time.Time, w *worker, r *run) float64 {
	f := c.interference.Factors(r.task.stage.spec.Image)
	sum := c.peakLoad(now, r.task.stage, placeAhead)
	for _, o := range w.list {
		if o.fills() {
			z := o.task.stage.spec
			sum += f.Factor(z.Image) * z.share(w) * float64(o.want) / fullPace
		}
	}
	return sum
}

// use returns the share of its declared processors that a lasting run is expected to use while a task placed now
// would run: what its users' load makes of it, as far as that shows.
func (c *Core) use(now time.Time, r *run) float64 {
	if !r.serves() {
		return baseLoad
	}
	return min(1, c.interference.ExpectedLoad(c.loadOf(r.task.stage), c.seconds(now)+placeAhead/2))
}

// share returns the share of a worker's processors that a task of the step asks for.
func (s *Step) share(w *worker) float64 {
	return float64(s.Size.CPU) / float64(max(w.Size.CPU, 1))
}

// effect returns what a further filling task of a step would do on a worker: the expected number of serving
// runs that it would bring over their target, and how much less it disturbs them than filling images do on
// average. Placing by this advantage leaves the workers on which nothing serves, and those whose serving tasks
// bear more, to the images that have no other place.
func (c *Core) effect(now time.Time, w *worker, s *Step) (harm, advantage float64) {
	share := s.share(w)
	for _, k := range c.forecast(now, w).exposed {
		of, mean := k.factors.FactorAndMean(s.Image)
		harm += interf.OverTargetRisk(k.above+of*share) - interf.OverTargetRisk(k.above)
		advantage += mean - of
	}
	return harm, advantage * share
}

// seconds returns a time as interf counts it: from the Unix epoch, so that a fit can be handed on
// to another host, by the clock as it was when the term began. A clock that is set while this
// process holds would shift every swing against the loads.
func (c *Core) seconds(at time.Time) float64 {
	return time.Duration(c.began.UnixNano()).Seconds() + at.Sub(c.began).Seconds()
}

// loadOf returns the load of a serving step.
func (c *Core) loadOf(s *stage) *interf.LoadForecast {
	if s.load == nil {
		s.load = interf.NewLoadForecast(c.seconds(s.at))
	}
	return s.load
}

// peakLoad returns the most load expected of a serving step within some seconds.
func (c *Core) peakLoad(now time.Time, s *stage, ahead float64) float64 {
	return c.interference.PeakLoad(c.loadOf(s), c.seconds(now), ahead)
}
