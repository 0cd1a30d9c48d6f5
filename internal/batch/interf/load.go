package interf

import "math"

// Users' load on a serving step swings, and all of its tasks show the same load at a time. So the load is kept for
// the step, from the readings of all its tasks, and is told some seconds ahead: a filling task has to be slowed, or
// be placed elsewhere, before the load has risen.

// Load is the load of a serving step: a level and a swing around it, fitted to the readings by
// least squares in which older readings count less. It is fitted for each period tried, as the
// period isn't known at first; pressure.period says which one tells best.
type Load struct {
	at   float64 // seconds; as of when the sums are
	sums [periods]moments
	fits [periods]harmonic
}

// sums are the weighted sums of least squares: of the weights, the swing's two parts and the load.
type moments struct {
	w, c, s, cc, cs, ss, y, cy, sy float64
}

// fit is level + cos x c(t) + sin x s(t).
type harmonic struct {
	level, cos, sin float64
}

const (
	// periods is how many periods are tried: none, and from shortest on by periodStep, up to a minute. What swings
	// more slowly is followed by the level alone.
	periods    = 28
	shortest   = 5.0 // seconds
	periodStep = 1.1
	// steadyMemory is how long, in seconds, the level remembers where no swing is assumed. With a
	// swing it remembers for a period: a period that is 5 % off is then a twentieth of a
	// turn off at most.
	steadyMemory = 2.0
	// scoreMemory is how long, in seconds, a period's errors count.
	scoreMemory = 30.0

	// readingNoise is the standard deviation of the pressure that a reading shows.
	readingNoise = 0.06
	// firstLoad and firstSpread are the level assumed before any reading and how far it may be off; swingSpread is
	// the same of a swing's parts.
	firstLoad   = 0.5
	firstSpread = 0.1
	swingSpread = 0.17
	// seedReadings is how many readings a fit that was handed on stands for. The hosts' clocks
	// may differ, so readings have to outweigh it within seconds.
	seedReadings = 12.0
	// roughness is the error, in standard deviations, from which a reading counts less: one in
	// twenty is far off.
	roughness = 2.0
)

// Weights of the assumptions against one reading.
const (
	levelWeight = readingNoise * readingNoise / (firstSpread * firstSpread)
	swingWeight = readingNoise * readingNoise / (swingSpread * swingSpread)
)

// angularFrequency is the angle a second of each period tried; 0: no swing. memory is how long it remembers.
var angularFrequency, memory = func() (angularFrequency, memory [periods]float64) {
	memory[0] = steadyMemory
	length := shortest
	for i := 1; i < periods; i++ {
		angularFrequency[i] = 2 * math.Pi / length
		memory[i] = length
		length *= periodStep
	}
	return angularFrequency, memory
}()

// NewLoad returns the forecast for a step without a reading; what was read before a time isn't aged.
func NewLoad(at float64) *Load {
	return &Load{at: at}
}

// load returns the load expected at a time, for a period.
func (k *Load) load(at float64, period int) float64 {
	if k.sums[period].w == 0 {
		return firstLoad
	}
	f := k.fits[period]
	if angularFrequency[period] == 0 {
		return f.level
	}
	sin, cos := math.Sincos(angularFrequency[period] * at)
	return f.level + f.cos*cos + f.sin*sin
}

// spread returns the standard deviation of the load that is expected.
func (k *Load) spread(period int) float64 {
	most := firstSpread
	if angularFrequency[period] != 0 {
		most = swingSpread
	}
	return most / math.Sqrt(1+k.sums[period].w)
}

// learn takes a reading of the load, with a weight of sure against a plain one (1), and adds each
// period's squared error to score.
func (k *Load) learn(at, load, sure float64, score *[periods]float64) {
	aged := max(0, at-k.at)
	k.at = max(k.at, at)
	for i := range k.sums {
		miss := (load - k.load(at, i)) / readingNoise
		score[i] += sure * min(miss*miss, roughness*roughness)
		weight := sure * min(1, roughness/max(math.Abs(miss), roughness))
		k.sums[i].scale(math.Exp(-aged / memory[i]))
		k.sums[i].add(angularFrequency[i]*at, load, weight)
		k.fits[i] = k.sums[i].solve(angularFrequency[i] != 0)
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
	w, y := s.w+levelWeight, s.y+levelWeight*firstLoad
	if !swings {
		return harmonic{level: y / w}
	}
	cc, ss := s.cc+swingWeight, s.ss+swingWeight
	// The level is eliminated first; what is left are two equations for the swing's parts.
	a, b, d := cc-s.c*s.c/w, s.cs-s.c*s.s/w, ss-s.s*s.s/w
	p, q := s.cy-s.c*y/w, s.sy-s.s*y/w
	det := a*d - b*b
	f := harmonic{cos: (p*d - q*b) / det, sin: (q*a - p*b) / det}
	f.level = (y - f.cos*s.c - f.sin*s.s) / w
	return f
}

// seed has the forecast of a period begin with a fit that a former holder found, as if it
// came from some readings spread over a whole swing.
func (k *Load) seed(at float64, period int, f harmonic) {
	k.at = at
	s := &k.sums[period]
	*s = moments{w: seedReadings, y: seedReadings * f.level}
	if angularFrequency[period] != 0 {
		s.cc, s.ss = seedReadings/2, seedReadings/2
		s.cy, s.sy = s.cc*f.cos, s.ss*f.sin
	}
	k.fits[period] = s.solve(angularFrequency[period] != 0)
}
