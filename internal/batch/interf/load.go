package interf

import "math"

// LoadForecast is the forecast of the load that a serving step's users bring: a level and a swing around it, fitted to the
// readings by least squares in which older readings count less. All tasks of a step share it. As the period of the
// swing isn't known at first, one is fitted for each period tried; the Model says which counts.
type LoadForecast struct {
	updatedAt float64 // seconds; as of when the sums are
	sums      [periodCount]moments
	fits      [periodCount]harmonicFit
}

// moments are the weighted sums of least squares: of the weights, the swing's two parts and the load.
type moments struct {
	w, c, s, cc, cs, ss, y, cy, sy float64
}

// harmonicFit is level + cos x c(t) + sin x s(t). The zero value stands for a forecast without a reading.
type harmonicFit struct {
	level, cos, sin float64
	fitted          bool
}

const (
	// periodCount is how many periodCount are tried: none, and from shortestPeriod on by periodStep, up to a minute. What
	// swings more slowly is followed by the level alone.
	periodCount    = 28
	shortestPeriod = 5.0 // seconds
	periodRatio    = 1.1
	// steadyTimeConstant is how long, in seconds, the level remembers where no swing is assumed. With a
	// swing it remembers for a period: a period that is 5 % off is then a twentieth of a
	// turn off at most.
	steadyTimeConstant = 2.0
	// errorTimeConstant is how long, in seconds, a period's errors count.
	errorTimeConstant = 30.0

	// loadMeasurementNoise is the standard deviation of the pressure that a reading shows.
	loadMeasurementNoise = 0.06
	// priorLoad and priorSpread are the level assumed before any reading and how far it may be off; swingSpread is
	// the same of a swing's parts.
	priorLoad            = 0.5
	priorLoadStdDev      = 0.1
	priorAmplitudeStdDev = 0.17
	// seedMeasurements is how many readings a fit that was handed on stands for. The hosts' clocks may differ, so
	// readings have to outweigh it within seconds.
	seedMeasurements = 12.0
	// outlierThreshold is the error, in standard deviations, from which a reading counts less.
	outlierThreshold = 2.0
)

// Weights of the assumptions against one reading.
const (
	levelPriorWeight     = loadMeasurementNoise * loadMeasurementNoise / (priorLoadStdDev * priorLoadStdDev)
	amplitudePriorWeight = loadMeasurementNoise * loadMeasurementNoise / (priorAmplitudeStdDev * priorAmplitudeStdDev)
)

// angularFrequency is the angle a second of each period tried; 0: no swing. timeConstant is how long it remembers.
var angularFrequency, timeConstant = func() (angularFrequency, memory [periodCount]float64) {
	memory[0] = steadyTimeConstant
	length := shortestPeriod
	for i := 1; i < periodCount; i++ {
		angularFrequency[i] = 2 * math.Pi / length
		memory[i] = length
		length *= periodRatio
	}
	return angularFrequency, memory
}()

// NewLoadForecast returns a load without a reading, for readings from a time on.
func NewLoadForecast(at float64) *LoadForecast {
	return &LoadForecast{updatedAt: at}
}

// forecast returns the load expected at a time, for a period.
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

// stdDev returns the standard deviation of the load that is expected.
func (l *LoadForecast) stdDev(period int) float64 {
	most := priorLoadStdDev
	if angularFrequency[period] != 0 {
		most = priorAmplitudeStdDev
	}
	return most / math.Sqrt(1+l.sums[period].w)
}

// update takes a reading of the load, with a weight of 1 where nothing but readingNoise blurs it, and adds each
// period's squared error to score.
func (l *LoadForecast) update(at, load, weight float64, score *[periodCount]float64) {
	elapsed := max(0, at-l.updatedAt)
	l.updatedAt = max(l.updatedAt, at)
	for i := range l.sums {
		residual := (load - l.forecast(at, i)) / loadMeasurementNoise
		score[i] += weight * min(residual*residual, outlierThreshold*outlierThreshold)
		w := weight * min(1, outlierThreshold/max(math.Abs(residual), outlierThreshold))
		l.sums[i].scale(math.Exp(-elapsed / timeConstant[i]))
		l.sums[i].add(angularFrequency[i]*at, load, w)
		l.fits[i] = l.sums[i].solve(angularFrequency[i] != 0)
	}
}

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

// solve returns the fit of least squares, with the assumptions before any reading as further
// readings: without them the first few would give any swing.
func (s *moments) solve(swings bool) harmonicFit {
	w, y := s.w+levelPriorWeight, s.y+levelPriorWeight*priorLoad
	if !swings {
		return harmonicFit{level: y / w, fitted: true}
	}
	cc, ss := s.cc+amplitudePriorWeight, s.ss+amplitudePriorWeight
	// The level is eliminated first; what is left are two equations for the swing's parts.
	a, b, d := cc-s.c*s.c/w, s.cs-s.c*s.s/w, ss-s.s*s.s/w
	p, q := s.cy-s.c*y/w, s.sy-s.s*y/w
	det := a*d - b*b
	f := harmonicFit{cos: (p*d - q*b) / det, sin: (q*a - p*b) / det, fitted: true}
	f.level = (y - f.cos*s.c - f.sin*s.s) / w
	return f
}

// seed has the forecast of a period begin with a fit found elsewhere, as if it came from some readings spread over a
// whole swing.
func (l *LoadForecast) seed(at float64, period int, f LoadFit) {
	l.updatedAt = at
	s := &l.sums[period]
	*s = moments{w: seedMeasurements, y: seedMeasurements * f.Level}
	if angularFrequency[period] != 0 {
		s.cc, s.ss = seedMeasurements/2, seedMeasurements/2
		s.cy, s.sy = s.cc*f.Cos, s.ss*f.Sin
	}
	l.fits[period] = s.solve(angularFrequency[period] != 0)
}
