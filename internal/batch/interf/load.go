package interf

import "math"

// Load is the forecast of the load that a serving step's users bring: a level and a swing around it, fitted to the
// readings by least squares in which older readings count less. All tasks of a step share it. As the period of the
// swing isn't known at first, one is fitted for each period tried; the Model says which counts.
type Load struct {
	at   float64 // seconds; as of when the sums are
	sums [periods]moments
	fits [periods]harmonic
}

// moments are the weighted sums of least squares: of the weights, the swing's two parts and the load.
type moments struct {
	w, c, s, cc, cs, ss, y, cy, sy float64
}

// harmonic is level + cos x c(t) + sin x s(t). The zero value stands for a forecast without a reading.
type harmonic struct {
	level, cos, sin float64
	fitted          bool
}

const (
	// periods is how many periods are tried: none, and from shortestPeriod on by periodStep, up to a minute. What
	// swings more slowly is followed by the level alone.
	periods        = 28
	shortestPeriod = 5.0 // seconds
	periodStep     = 1.1
	// steadyMemory is how long, in seconds, the level remembers where no swing is assumed. With a
	// swing it remembers for a period: a period that is 5 % off is then a twentieth of a
	// turn off at most.
	steadyMemory = 2.0
	// scoreMemory is how long, in seconds, a period's errors count.
	scoreMemory = 30.0

	// readingNoise is the standard deviation of the pressure that a reading shows.
	readingNoise = 0.06
	// priorLoad and priorSpread are the level assumed before any reading and how far it may be off; swingSpread is
	// the same of a swing's parts.
	priorLoad   = 0.5
	priorSpread = 0.1
	swingSpread = 0.17
	// seedReadings is how many readings a fit that was handed on stands for. The hosts' clocks may differ, so
	// readings have to outweigh it within seconds.
	seedReadings = 12.0
	// outlierBound is the error, in standard deviations, from which a reading counts less.
	outlierBound = 2.0
)

// Weights of the assumptions against one reading.
const (
	levelWeight = readingNoise * readingNoise / (priorSpread * priorSpread)
	swingWeight = readingNoise * readingNoise / (swingSpread * swingSpread)
)

// angularFrequency is the angle a second of each period tried; 0: no swing. memory is how long it remembers.
var angularFrequency, memory = func() (angularFrequency, memory [periods]float64) {
	memory[0] = steadyMemory
	length := shortestPeriod
	for i := 1; i < periods; i++ {
		angularFrequency[i] = 2 * math.Pi / length
		memory[i] = length
		length *= periodStep
	}
	return angularFrequency, memory
}()

// NewLoad returns a load without a reading, for readings from a time on.
func NewLoad(at float64) *Load {
	return &Load{at: at}
}

// expect returns the load expected at a time, for a period.
func (l *Load) expect(at float64, period int) float64 {
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

// spread returns the standard deviation of the load that is expected.
func (l *Load) spread(period int) float64 {
	most := priorSpread
	if angularFrequency[period] != 0 {
		most = swingSpread
	}
	return most / math.Sqrt(1+l.sums[period].w)
}

// learn takes a reading of the load, with a weight of 1 where nothing but readingNoise blurs it, and adds each
// period's squared error to score.
func (l *Load) learn(at, load, weight float64, score *[periods]float64) {
	elapsed := max(0, at-l.at)
	l.at = max(l.at, at)
	for i := range l.sums {
		residual := (load - l.expect(at, i)) / readingNoise
		score[i] += weight * min(residual*residual, outlierBound*outlierBound)
		w := weight * min(1, outlierBound/max(math.Abs(residual), outlierBound))
		l.sums[i].scale(math.Exp(-elapsed / memory[i]))
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
func (s *moments) solve(swings bool) harmonic {
	w, y := s.w+levelWeight, s.y+levelWeight*priorLoad
	if !swings {
		return harmonic{level: y / w, fitted: true}
	}
	cc, ss := s.cc+swingWeight, s.ss+swingWeight
	// The level is eliminated first; what is left are two equations for the swing's parts.
	a, b, d := cc-s.c*s.c/w, s.cs-s.c*s.s/w, ss-s.s*s.s/w
	p, q := s.cy-s.c*y/w, s.sy-s.s*y/w
	det := a*d - b*b
	f := harmonic{cos: (p*d - q*b) / det, sin: (q*a - p*b) / det, fitted: true}
	f.level = (y - f.cos*s.c - f.sin*s.s) / w
	return f
}

// seed has the forecast of a period begin with a fit found elsewhere, as if it came from some readings spread over a
// whole swing.
func (l *Load) seed(at float64, period int, f Swing) {
	l.at = at
	s := &l.sums[period]
	*s = moments{w: seedReadings, y: seedReadings * f.Level}
	if angularFrequency[period] != 0 {
		s.cc, s.ss = seedReadings/2, seedReadings/2
		s.cy, s.sy = s.cc*f.Cos, s.ss*f.Sin
	}
	l.fits[period] = s.solve(angularFrequency[period] != 0)
}
