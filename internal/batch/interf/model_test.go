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
	unloadedTail = target / 6 // tail latency without load
)

// tailForPressure returns the tail latency at a pressure.
func tailForPressure(pressure float64) time.Duration {
	return time.Duration(float64(unloadedTail) / (1 - pressure))
}

func TestPressureFromTail(t *testing.T) {
	for _, tt := range []struct {
		name         string
		tail, target time.Duration
		want         float64
	}{
		{"no measurement", 0, target, 0},
		{"no target", target, 0, 0},
		{"without load", unloadedTail, target, 0},
		{"below the unloaded tail", unloadedTail / 2, target, 0},
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
		{"even odds", 0, 0.5},
		{"certain", maxPressureError, 1},
		{"far above", 3 * maxPressureError, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := OverTargetRisk(tt.above); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("risk %.4f, want %.4f", got, tt.want)
			}
		})
	}
}

func TestCPUUsageAdd(t *testing.T) {
	var usage CPUUsage
	usage.Add("book", 0.1)
	usage.Add("audit", 0.2)
	usage.Add("book", 0.3)
	if want := []imageUsage{{"book", 0.4}, {"audit", 0.2}}; !reflect.DeepEqual(usage.images, want) {
		t.Errorf("usage %v, want %v", usage.images, want)
	}
}

// The zero values of Model, LoadForecast and Factors must be usable and return the priors before any measurement.
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
	if fit, ok := m.Fit(&l); ok {
		t.Errorf("fit %v without a measurement", fit)
	}
	var f Factors
	if factor, mean := f.FactorAndMean("book"); factor != priorFactor || mean != priorFactor {
		t.Errorf("factor %v, mean %v, want %v for both", factor, mean, priorFactor)
	}
	for i := range 20 {
		m.Observe(1e9+float64(i), &l, "feed", tailForPressure(0.7), target, CPUUsage{})
	}
	if got := m.ExpectedLoad(&l, 1e9+20); math.Abs(got-0.7) > 0.05 {
		t.Errorf("load %.2f after measurements of 0.70", got)
	}
}

// The factors of two best-effort images must be separated from the users' load, though each measurement shows only the
// sum of the three.
func TestFactorsConverge(t *testing.T) {
	truth := map[string]float64{"mild": 0.1, "harsh": 1.2}
	for _, tt := range []struct {
		name      string
		amplitude float64
	}{
		{"steady load", 0},
		{"oscillating load", 0.2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 4))
			var m Model
			l := NewLoadForecast(0)
			for at := 0.0; at < 120; at += 0.5 {
				pressure := 0.4 + tt.amplitude*math.Sin(2*math.Pi*(at-measurementLag)/10) + 0.03*rng.NormFloat64()
				var usage CPUUsage
				for _, image := range []string{"mild", "harsh"} {
					if share := 0.25 * float64(rng.IntN(2)); share > 0 {
						usage.Add(image, share)
						pressure += truth[image] * share
					}
				}
				m.Observe(at, l, "feed", tailForPressure(pressure), target, usage)
			}
			f := m.Factors("feed")
			for image, want := range truth {
				if got := f.Factor(image); math.Abs(got-want) > 0.2 {
					t.Errorf("factor of %s: %.2f, want %.2f", image, got, want)
				}
			}
			factor, mean := f.FactorAndMean("harsh")
			if factor != f.Factor("harsh") || mean != (f.Factor("mild")+f.Factor("harsh"))/2 {
				t.Errorf("FactorAndMean of harsh: factor %.2f, mean %.2f", factor, mean)
			}
			if got := f.Factor("unseen"); got != priorFactor {
				t.Errorf("factor of an unseen image: %.2f, want %.2f", got, priorFactor)
			}
		})
	}
}

// The cached result of FactorAndMean must be invalidated by a measurement that changes the factor.
func TestFactorAndMeanAfterObserve(t *testing.T) {
	var m Model
	l := NewLoadForecast(0)
	var usage CPUUsage
	usage.Add("book", 0.3)
	m.Restore(0, State{Pairs: []Pair{{"feed", "book", priorFactor, priorFactorStdDev}}})
	f := m.Factors("feed")
	f.FactorAndMean("book")
	m.Observe(1, l, "feed", tailForPressure(0.9), target, usage)
	factor, mean := f.FactorAndMean("book")
	if factor <= priorFactor || factor != f.Factor("book") || mean != factor {
		t.Errorf("factor %.3f, mean %.3f, want %.3f for both, above %.3f", factor, mean, f.Factor("book"), priorFactor)
	}
}

// Measurements without information must not change the model or the load forecast.
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
			var usage CPUUsage
			usage.Add("book", 0.5)
			before := *l
			m.Observe(1, l, "feed", tt.tail, target, usage)
			if *l != before {
				t.Error("the load forecast changed")
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
		{"no image known", nil, 1},
		{"one image known", []Pair{{"a", "book", 1, 0.1}}, 1},
		{"same factors", []Pair{{"a", "book", 1, 0.1}, {"b", "book", 1, 0.1}}, 0},
		{"one of two factors differs", []Pair{{"a", "book", 1, 0.1}, {"b", "book", 1, 0.1}, {"a", "audit", 0.1, 0.1}, {"b", "audit", 0.7, 0.1}}, 0.3},
		{"difference limited to 1", []Pair{{"a", "book", 0, 0.1}, {"b", "book", 3, 0.1}}, 1},
		{"best-effort image seen by one only", []Pair{{"a", "book", 0.8, 0.1}, {"b", "audit", 1, 0.1}}, 0.8 - priorFactor},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var m Model
			m.Restore(0, State{Pairs: tt.pairs})
			if got := m.Dissimilarity("a", "b"); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("dissimilarity %.3f, want %.3f", got, tt.want)
			}
		})
	}
}

// A holder may restore state that another version has stored, so the JSON keys must not change.
func TestStateEncoded(t *testing.T) {
	for _, tt := range []struct {
		name  string
		value any
		want  string
	}{
		{"state", State{SquaredErrors: []float64{1, 2}, Pairs: []Pair{{"feed", "book", 1.2, 0.1}}},
			`{"score":[1,2],"pairs":[{"serve":"feed","fill":"book","factor":1.2,"spread":0.1}]}`},
		{"load fit", LoadFit{0.5, 0.1, -0.2}, `{"level":0.5,"cos":0.1,"sin":-0.2}`},
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
	squaredErrors := make([]float64, periodCount)
	for i := range squaredErrors {
		squaredErrors[i] = 5
	}
	squaredErrors[4] = 1
	for _, tt := range []struct {
		name          string
		squaredErrors []float64
		period        float64
	}{
		{"errors of all candidate periods", squaredErrors, timeConstant[4]},
		{"errors of another number of periods", squaredErrors[:8], 0},
		{"no errors", nil, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var m Model
			m.Restore(9, State{SquaredErrors: tt.squaredErrors, Pairs: []Pair{{"feed", "book", 1.2, 0.1}}})
			if got := m.Period(); got != tt.period {
				t.Errorf("period %.2f, want %.2f", got, tt.period)
			}
			st := m.State()
			if want := []Pair{{"feed", "book", 1.2, 0.1}}; !reflect.DeepEqual(st.Pairs, want) {
				t.Errorf("pairs %v, want %v", st.Pairs, want)
			}
			// A model restored from its own state must not change.
			m.Restore(9, st)
			if got := m.State(); !reflect.DeepEqual(got, st) {
				t.Errorf("state %v, want %v", got, st)
			}
			if got := m.Period(); got != tt.period {
				t.Errorf("period %.2f after restoring its own state, want %.2f", got, tt.period)
			}
		})
	}
}

func TestPeakLoad(t *testing.T) {
	squaredErrors := make([]float64, periodCount)
	for i := range squaredErrors {
		squaredErrors[i] = 5
	}
	squaredErrors[4] = 1
	var m Model
	m.Restore(0, State{SquaredErrors: squaredErrors})
	var l LoadForecast
	m.SeedLoad(&l, 0, LoadFit{Level: 0.5, Sin: 0.2})
	quarter := m.Period() / 4 // time of the load's maximum
	for _, tt := range []struct {
		name              string
		at, ahead, peakAt float64
	}{
		{"empty interval", 0, 0, 0},
		{"rising", 0, quarter, quarter},
		{"over the maximum", quarter / 2, quarter, quarter},
		{"falling", quarter, quarter, quarter},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got, want := m.PeakLoad(&l, tt.at, tt.ahead), m.ExpectedLoad(&l, tt.peakAt); math.Abs(got-want) > 1e-9 {
				t.Errorf("peak load %.3f, want %.3f", got, want)
			}
		})
	}
}

// A load forecast seeded with the fit of a former model must forecast the same load.
func TestSeedLoad(t *testing.T) {
	for _, tt := range []struct {
		name      string
		amplitude float64
	}{
		{"steady", 0},
		{"oscillating", 0.24},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var former, restored Model
			l := NewLoadForecast(0)
			truth := func(at float64) float64 { return 0.5 + tt.amplitude*math.Sin(2*math.Pi*at/10) }
			for at := 0.0; at < 40; at += 0.2 {
				former.Observe(at+measurementLag, l, "feed", tailForPressure(truth(at)), target, CPUUsage{})
			}
			fit, ok := former.Fit(l)
			if !ok {
				t.Fatal("no fit after 200 measurements")
			}
			restored.Restore(40, former.State())
			if restored.Period() != former.Period() {
				t.Errorf("period %.2f, want %.2f", restored.Period(), former.Period())
			}
			var seeded LoadForecast
			restored.SeedLoad(&seeded, 40, fit)
			for _, at := range []float64{40, 42.5, 45, 47.5} {
				if got := restored.ExpectedLoad(&seeded, at); math.Abs(got-truth(at)) > 0.08 {
					t.Errorf("load at %.1f s: %.2f, want %.2f", at, got, truth(at))
				}
			}
		})
	}
}
