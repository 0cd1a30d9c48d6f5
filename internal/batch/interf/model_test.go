package interf

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const (
	target       = 24 * time.Millisecond
	unloadedTail = target / 6 // tail without any load
)

// tailForPressure returns the tail that shows a pressure.
func tailForPressure(pressure float64) time.Duration {
	return time.Duration(float64(unloadedTail) / (1 - pressure))
}

func TestPressureFromTail(t *testing.T) {
	for _, tt := range []struct {
		name         string
		tail, target time.Duration
		want         float64
	}{
		{"no reading", 0, target, 0},
		{"no target", target, 0, 0},
		{"without any load", unloadedTail, target, 0},
		{"below what is possible", unloadedTail / 2, target, 0},
		{"half of the target", target / 2, target, 2.0 / 3},
		{"at the target", target, target, TargetPressure},
		{"twice the target", 2 * target, target, 11.0 / 12},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := pressureFromTail(tt.tail, tt.target); math.Abs(got-tt.want) > 1e-6 {
				t.Errorf("pressure %.4f, want %.4f", got, tt.want)
			}
		})
	}
}

func TestOverTargetRisk(t *testing.T) {
	for _, tt := range []struct {
		name  string
		above float64
		want  float64
	}{
		{"far below", -0.5, 0},
		{"just as likely as not", 0, 0.5},
		{"surely", maxPressureError, 1},
		{"far above", 3 * maxPressureError, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := OverTargetRisk(tt.above); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("%.4f, want %.4f", got, tt.want)
			}
		})
	}
}

func TestCPUUsageAdd(t *testing.T) {
	var use CPUUsage
	use.Add("book", 0.1)
	use.Add("audit", 0.2)
	use.Add("book", 0.3)
	if want := []imageUsage{{"book", 0.4}, {"audit", 0.2}}; !reflect.DeepEqual(use.images, want) {
		t.Errorf("%v, want %v", use.images, want)
	}
}

// A model, a load and factors need no construction: without a reading they tell the priors.
func TestZeroValues(t *testing.T) {
	var m Model
	var l LoadForecast
	if got := m.ExpectedLoad(&l, 7); got != priorLoad {
		t.Errorf("load %v, want %v", got, priorLoad)
	}
	if got := m.PeakLoad(&l, 7, 2); got != priorLoad {
		t.Errorf("peak %v, want %v", got, priorLoad)
	}
	if got := m.Period(); got != 0 {
		t.Errorf("period %v, want none", got)
	}
	if s, ok := m.Fit(&l); ok {
		t.Errorf("swing %v without a reading", s)
	}
	var f Factors
	if of, mean := f.FactorAndMean("book"); of != priorFactor || mean != priorFactor {
		t.Errorf("factor %v of %v, want %v of both", of, mean, priorFactor)
	}
	for i := range 20 {
		m.Observe(1e9+float64(i), &l, "feed", tailForPressure(0.7), target, CPUUsage{})
	}
	if got := m.ExpectedLoad(&l, 1e9+20); math.Abs(got-0.7) > 0.05 {
		t.Errorf("load %.2f after readings of 0.70", got)
	}
}

// The factors of two filling images are told apart from the users' load, though each reading shows only the sum of all.
func TestFactorsConverge(t *testing.T) {
	truth := map[string]float64{"mild": 0.1, "harsh": 1.2}
	for _, tt := range []struct {
		name  string
		swing float64
	}{
		{"steady load", 0},
		{"swinging load", 0.2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 4))
			var m Model
			l := NewLoadForecast(0)
			for at := 0.0; at < 120; at += 0.5 {
				pressure := 0.4 + tt.swing*math.Sin(2*math.Pi*(at-measurementLag)/10) + 0.03*rng.NormFloat64()
				var use CPUUsage
				for _, image := range []string{"mild", "harsh"} {
					if share := 0.25 * float64(rng.IntN(2)); share > 0 {
						use.Add(image, share)
						pressure += truth[image] * share
					}
				}
				m.Observe(at, l, "feed", tailForPressure(pressure), target, use)
			}
			f := m.Factors("feed")
			for image, want := range truth {
				if got := f.Factor(image); math.Abs(got-want) > 0.2 {
					t.Errorf("factor of %s: %.2f, want %.2f", image, got, want)
				}
			}
			of, mean := f.FactorAndMean("harsh")
			if of != f.Factor("harsh") || mean != (f.Factor("mild")+f.Factor("harsh"))/2 {
				t.Errorf("harsh is %.2f beside %.2f", of, mean)
			}
			if got := f.Factor("unseen"); got != priorFactor {
				t.Errorf("factor of an image never seen: %.2f, want %.2f", got, priorFactor)
			}
		})
	}
}

// The cached comparison of an image must not outlive a reading that changes its factor.
func TestFactorAndMeanAfterObserve(t *testing.T) {
	var m Model
	l := NewLoadForecast(0)
	var use CPUUsage
	use.Add("book", 0.3)
	m.Restore(0, State{Pairs: []Pair{{"feed", "book", priorFactor, priorFactorStdDev}}})
	f := m.Factors("feed")
	f.FactorAndMean("book")
	m.Observe(1, l, "feed", tailForPressure(0.9), target, use)
	of, mean := f.FactorAndMean("book")
	if of <= priorFactor || of != f.Factor("book") || mean != of {
		t.Errorf("factor %.3f beside %.3f, want %.3f of both, above %.3f", of, mean, f.Factor("book"), priorFactor)
	}
}

// Readings that say nothing change nothing.
func TestMeasurementIgnored(t *testing.T) {
	for _, tt := range []struct {
		name string
		tail time.Duration
	}{
		{"no tail", 0},
		{"far over the target, as expected", time.Minute},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var m Model
			l := NewLoadForecast(0)
			m.Restore(0, State{Pairs: []Pair{{"feed", "book", 2, 0.1}}})
			var use CPUUsage
			use.Add("book", 0.5)
			before := *l
			m.Observe(1, l, "feed", tt.tail, target, use)
			if *l != before {
				t.Error("the load changed")
			}
			if got := m.Factors("feed").Factor("book"); got != 2 {
				t.Errorf("factor %.2f, want 2.00", got)
			}
		})
	}
}

func TestDissimilarity(t *testing.T) {
	for _, tt := range []struct {
		name  string
		pairs []Pair
		want  float64
	}{
		{"nothing known", nil, 1},
		{"one known", []Pair{{"a", "book", 1, 0.1}}, 1},
		{"the same", []Pair{{"a", "book", 1, 0.1}, {"b", "book", 1, 0.1}}, 0},
		{"half of the images", []Pair{{"a", "book", 1, 0.1}, {"b", "book", 1, 0.1}, {"a", "audit", 0.1, 0.1}, {"b", "audit", 0.7, 0.1}}, 0.3},
		{"a difference counts 1 at most", []Pair{{"a", "book", 0, 0.1}, {"b", "book", 3, 0.1}}, 1},
		{"an image that only one has seen", []Pair{{"a", "book", 0.8, 0.1}, {"b", "audit", 1, 0.1}}, 0.8 - priorFactor},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var m Model
			m.Restore(0, State{Pairs: tt.pairs})
			if got := m.Dissimilarity("a", "b"); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("%.3f, want %.3f", got, tt.want)
			}
		})
	}
}

// Holders of two versions hand the state to each other, so the names of its fields are fixed.
func TestStateEncoded(t *testing.T) {
	for _, tt := range []struct {
		name  string
		value any
		want  string
	}{
		{"state", State{SquaredErrors: []float64{1, 2}, Pairs: []Pair{{"feed", "book", 1.2, 0.1}}},
			`{"score":[1,2],"pairs":[{"serve":"feed","fill":"book","factor":1.2,"spread":0.1}]}`},
		{"swing", LoadFit{0.5, 0.1, -0.2}, `{"level":0.5,"cos":0.1,"sin":-0.2}`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, err := json.Marshal(tt.value)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != tt.want {
				t.Errorf("%s, want %s", got, tt.want)
			}
		})
	}
}

func TestRestore(t *testing.T) {
	score := make([]float64, periodCount)
	for i := range score {
		score[i] = 5
	}
	score[4] = 1
	for _, tt := range []struct {
		name   string
		score  []float64
		period float64
	}{
		{"scores of all periods", score, timeConstant[4]},
		{"scores of other periods", score[:8], 0},
		{"no scores", nil, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var m Model
			m.Restore(9, State{SquaredErrors: tt.score, Pairs: []Pair{{"feed", "book", 1.2, 0.1}}})
			if got := m.Period(); got != tt.period {
				t.Errorf("period %.2f, want %.2f", got, tt.period)
			}
			st := m.State()
			if want := []Pair{{"feed", "book", 1.2, 0.1}}; !reflect.DeepEqual(st.Pairs, want) {
				t.Errorf("pairs %v, want %v", st.Pairs, want)
			}
			// A model restored from its own state is the same one.
			m.Restore(9, st)
			if got := m.State(); !reflect.DeepEqual(got, st) {
				t.Errorf("%v, want %v", got, st)
			}
			if got := m.Period(); got != tt.period {
				t.Errorf("period %.2f after its own state, want %.2f", got, tt.period)
			}
		})
	}
}

func TestPeakLoad(t *testing.T) {
	score := make([]float64, periodCount)
	for i := range score {
		score[i] = 5
	}
	score[4] = 1
	var m Model
	m.Restore(0, State{SquaredErrors: score})
	var l LoadForecast
	m.SeedLoad(&l, 0, LoadFit{Level: 0.5, Sin: 0.2})
	quarter := m.Period() / 4 // the load's maximum
	for _, tt := range []struct {
		name             string
		at, ahead, where float64
	}{
		{"nothing ahead", 0, 0, 0},
		{"rising", 0, quarter, quarter},
		{"over the maximum", quarter / 2, quarter, quarter},
		{"falling", quarter, quarter, quarter},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got, want := m.PeakLoad(&l, tt.at, tt.ahead), m.ExpectedLoad(&l, tt.where); math.Abs(got-want) > 1e-9 {
				t.Errorf("%.3f, want %.3f", got, want)
			}
		})
	}
}

// A load seeded with another's swing tells the same as the other.
func TestSeedLoad(t *testing.T) {
	for _, tt := range []struct {
		name  string
		swing float64
	}{
		{"steady", 0},
		{"swinging", 0.24},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var former, next Model
			l := NewLoadForecast(0)
			truth := func(at float64) float64 { return 0.5 + tt.swing*math.Sin(2*math.Pi*at/10) }
			for at := 0.0; at < 40; at += 0.2 {
				former.Observe(at+measurementLag, l, "feed", tailForPressure(truth(at)), target, CPUUsage{})
			}
			s, ok := former.Fit(l)
			if !ok {
				t.Fatal("no swing after 200 readings")
			}
			next.Restore(40, former.State())
			if next.Period() != former.Period() {
				t.Errorf("period %.2f, want %.2f", next.Period(), former.Period())
			}
			var seeded LoadForecast
			next.SeedLoad(&seeded, 40, s)
			for _, at := range []float64{40, 42.5, 45, 47.5} {
				if got := next.ExpectedLoad(&seeded, at); math.Abs(got-truth(at)) > 0.08 {
					t.Errorf("load at %.1f s: %.2f, want %.2f", at, got, truth(at))
				}
			}
		})
	}
}
