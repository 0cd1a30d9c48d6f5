package interf

import "math"

// LoadForecast forecasts the load that the users of a latency-critical step cause; all tasks of the step share it.
// It is a level plus an oscillation, fitted to the measurements by least squares with exponentially decaying weights.
// As the period isn't known at first, there is a fit for each candidate period; the Model chooses among them.
type LoadForecast struct {
	updatedAt float64                  // time up to which the sums have been decayed, in seconds
	sums      [periodCount]moments     // for each candidate period
	fits      [periodCount]harmonicFit // solutions of the sums
}

// moments holds the weighted sums of the least-squares problem of one candidate period: w is the sum of the weights;
// the other names are products of c (cosine), s (sine) and y (measured load).
type moments struct {
	w, c, s, cc, cs, ss, y, cy, sy float64
}

// harmonicFit is the load level + cos * cos(wt) + sin * sin(wt), with the angular frequency w of a candidate period.
// Its zero value is a fit without measurements.
type harmonicFit struct {
	level, cos, sin float64
	fitted          bool // whether there was a measurement or a seed
}

const (
	// periodCount is the number of candidate periods: one without oscillation, and a geometric series from
	// shortestPeriod with the ratio periodRatio, up to a minute. The level alone follows slower oscillations.
	periodCount    = 28
	shortestPeriod = 5.0 // seconds
	periodRatio    = 1.1
	// steadyTimeConstant is the time constant, in seconds, with which measurements decay in the fit without
	// oscillation. In the others it is one period, so that the phase error of a candidate period that is 5 % off
	// is at most a twentieth of a cycle.
	steadyTimeConstant = 2.0
	// errorTimeConstant is the time constant, in seconds, with which the squared forecast errors decay.
	errorTimeConstant = 30.0

	// loadMeasurementNoise is the standard deviation of a measured pressure.
	loadMeasurementNoise = 0.06
	// priorLoad and priorLoadStdDev are the mean and standard deviation assumed for the level before any measurement;
	// priorAmplitudeStdDev is the standard deviation of the cosine and sine coefficients, whose mean is 0.
	priorLoad            = 0.5
	priorLoadStdDev      = 0.1
	priorAmplitudeStdDev = 0.17
	// seedMeasurements is the number of measurements that a restored fit counts for. The hosts' clocks may differ,
	// so new measurements have to outweigh it within seconds.
	seedMeasurements = 12.0
	// outlierThreshold is the residual, in standard deviations, above which a measurement gets less weight.
	outlierThreshold = 2.0
)

// Weights of the priors relative to one measurement.
const (
	levelPriorWeight     = loadMeasurementNoise * loadMeasurementNoise / (priorLoadStdDev * priorLoadStdDev)
	amplitudePriorWeight = loadMeasurementNoise * loadMeasurementNoise / (priorAmplitudeStdDev * priorAmplitudeStdDev)
)

// angularFrequency is the angular frequency of each candidate period in radians per second, 0 without oscillation;
// timeConstant is the time constant in seconds with which measurements decay in its fit.
var angularFrequency, timeConstant = func() (angularFrequency, timeConstant [periodCount]float64) {
	timeConstant[0] = steadyTimeConstant
	period := shortestPeriod
	for i := 1; i < periodCount; i++ {
		angularFrequency[i] = 2 * math.Pi / period
		timeConstant[i] = period
		period *= periodRatio
	}
	return angularFrequency, timeConstant
}()

// NewLoadForecast returns a LoadForecast for measurements made at or after a time.
func NewLoadForecast(at float64) *LoadForecast {
	return &LoadForecast{updatedAt: at}
}

// forecast returns the load expected at a time by the fit of a candidate period.
func (l *LoadForecast) forecast(at float64, period int) float64 {
	f := &l.fits[period]
	if !f.fitted {
		return priorLoad
	}
	if angularFrequency[period] == 0 {
		return f.level
	}
	sin, cos := math.Sincos(angularFrequency[period] * at)
	return f.level + f.cos*cos + f.sin*sin
}

// stdDev returns the standard deviation of the load expected by the fit of a candidate period.
func (l *LoadForecast) stdDev(period int) float64 {
	prior := priorLoadStdDev
	if angularFrequency[period] != 0 {
		prior = priorAmplitudeStdDev
	}
	return prior / math.Sqrt(1+l.sums[period].w)
}

// update adds a measurement of the load to the fits of all candidate periods and the squared forecast error of each to
// squaredErrors. The weight is 1 for a measurement whose only noise is loadMeasurementNoise.
func (l *LoadForecast) update(at, load, weight float64, squaredErrors *[periodCount]float64) {
	elapsed := max(0, at-l.updatedAt)
	l.updatedAt = max(l.updatedAt, at)
	for i := range l.sums {
		residual := (load - l.forecast(at, i)) / loadMeasurementNoise
		squaredErrors[i] += weight * min(residual*residual, outlierThreshold*outlierThreshold)
		w := weight * min(1, outlierThreshold/max(math.Abs(residual), outlierThreshold))
		l.sums[i].scale(math.Exp(-elapsed / timeConstant[i]))
		l.sums[i].add(angularFrequency[i]*at, load, w)
		l.fits[i] = l.sums[i].solve(angularFrequency[i] != 0)
	}
}

// scale multiplies all sums by a decay factor.
func (s *moments) scale(x float64) {
	s.w *= x
	s.c *= x
	s.s *= x
	s.cc *= x
	s.cs *= x
	s.ss *= x
	s.y *= x
	s.cy *= x
	s.sy *= x
}

// add adds a measurement y with the weight w at a phase angle of the oscillation.
func (s *moments) add(angle, y, w float64) {
	sin, cos := math.Sincos(angle)
	s.w += w
	s.c += w * cos
	s.s += w * sin
	s.cc += w * cos * cos
	s.cs += w * cos * sin
	s.ss += w * sin * sin
	s.y += w * y
	s.cy += w * cos * y
	s.sy += w * sin * y
}

// solve returns the least-squares fit. The priors enter as further measurements; without them, the first few
// measurements would fit an arbitrary oscillation.
func (s *moments) solve(oscillates bool) harmonicFit {
	w, y := s.w+levelPriorWeight, s.y+levelPriorWeight*priorLoad
	if !oscillates {
		return harmonicFit{level: y / w, fitted: true}
	}
	cc, ss := s.cc+amplitudePriorWeight, s.ss+amplitudePriorWeight
	// Eliminate the level first, which leaves two equations for the cosine and sine coefficients.
	a, b, d := cc-s.c*s.c/w, s.cs-s.c*s.s/w, ss-s.s*s.s/w
	p, q := s.cy-s.c*y/w, s.sy-s.s*y/w
	det := a*d - b*b
	f := harmonicFit{cos: (p*d - q*b) / det, sin: (q*a - p*b) / det, fitted: true}
	f.level = (y - f.cos*s.c - f.sin*s.s) / w
	return f
}

// seed starts the forecast of a candidate period from a restored fit, as if it came from seedMeasurements measurements
// spread evenly over a whole period.
func (l *LoadForecast) seed(at float64, period int, fit LoadFit) {
	l.updatedAt = at
	s := &l.sums[period]
	*s = moments{w: seedMeasurements, y: seedMeasurements * fit.Level}
	if angularFrequency[period] != 0 {
		s.cc, s.ss = seedMeasurements/2, seedMeasurements/2
		s.cy, s.sy = s.cc*fit.Cos, s.ss*fit.Sin
	}
	l.fits[period] = s.solve(angularFrequency[period] != 0)
}
