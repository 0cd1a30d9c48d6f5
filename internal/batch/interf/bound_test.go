package interf

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// observeBuilds feeds a model with measurements of n latency-critical images, beside one best-effort image that stays and one that
// is new each time.
func observeBuilds(m *Model, critical, builds int) {
	loads := map[int]*LoadForecast{}
	for i := range builds {
		for k := range critical {
			if loads[k] == nil {
				loads[k] = NewLoadForecast(0)
			}
			var usage CPUUsage
			usage.Add("steady", 0.3)
			usage.Add(fmt.Sprintf("build-%d", i), 0.1)
			m.Observe(float64(i), loads[k], fmt.Sprintf("feed-%d", k), tailForPressure(0.5+0.3*1.2), 24*time.Millisecond, usage)
		}
	}
}

// Guards against a model without a bound: each build has an image of its own, and its pairs were kept for good.
func TestOldImagesAreForgotten(t *testing.T) {
	var m Model
	observeBuilds(&m, 3, 5*maxBestEffortImages)
	st := m.State()
	if got, most := len(st.Pairs), 3*maxBestEffortImages; got > most {
		t.Errorf("%d pairs are kept, want %d at most", got, most)
	}
	f := m.Factors("feed-0")
	if got := f.Factor(fmt.Sprintf("build-%d", 5*maxBestEffortImages-1)); f.index("steady") < 0 || got == priorFactor {
		t.Errorf("factor %.2f of the newest image, and that of the steady one is known: %t; want both learned", got, f.index("steady") >= 0)
	}
	if got := f.Factor("build-0"); got != priorFactor {
		t.Errorf("factor %.2f of a forgotten image, want that of an unknown one, %.2f", got, priorFactor)
	}
	if len(f.covariance) != len(f.images) || len(f.estimates) != len(f.images) {
		t.Errorf("%d images, %d estimates, %d rows of the covariance", len(f.images), len(f.estimates), len(f.covariance))
	}
	for i := range f.covariance {
		for k := range f.covariance {
			if len(f.covariance[i]) != len(f.images) || math.Abs(f.covariance[i][k]-f.covariance[k][i]) > 1e-9 {
				t.Fatalf("the covariance of %d and %d isn't symmetric", i, k)
			}
		}
	}
}

// Guards against the same by latency-critical images.
func TestOldCriticalImagesAreForgotten(t *testing.T) {
	var m Model
	load := NewLoadForecast(0)
	for i := range 3 * maxLatencyCriticalImages {
		var usage CPUUsage
		usage.Add("book", 0.3)
		m.Observe(float64(i), load, fmt.Sprintf("feed-%d", i), tailForPressure(0.7), 24*time.Millisecond, usage)
		m.Observe(float64(i), load, "steady", tailForPressure(0.7), 24*time.Millisecond, usage)
		m.Factors(fmt.Sprintf("asked-%d", i)) // without a measurement
	}
	if got := len(m.factors); got > maxLatencyCriticalImages {
		t.Errorf("%d latency-critical images are kept, want %d at most", got, maxLatencyCriticalImages)
	}
	if m.factors["steady"] == nil || m.factors[fmt.Sprintf("feed-%d", 3*maxLatencyCriticalImages-1)] == nil {
		t.Error("an image that was measured last is forgotten")
	}
}

// Guards against a holder that restores a record without the bound, as a former version has stored it. The pairs that are known
// best are kept.
func TestRestoreIsBounded(t *testing.T) {
	st := State{}
	for i := range 10 * maxBestEffortImages {
		st.Pairs = append(st.Pairs, Pair{"feed", fmt.Sprintf("build-%d", i), 0.9, priorFactorStdDev})
	}
	st.Pairs = append(st.Pairs, Pair{"feed", "steady", 1.2, 0.05})
	for i := range 10 * maxLatencyCriticalImages {
		st.Pairs = append(st.Pairs, Pair{fmt.Sprintf("old-%d", i), "book", 0.9, priorFactorStdDev})
	}
	var m Model
	m.Restore(0, st)
	if len(m.factors) > maxLatencyCriticalImages || len(m.Factors("feed").images) > maxBestEffortImages {
		t.Errorf("%d latency-critical images, %d best-effort ones beside one of them", len(m.factors), len(m.Factors("feed").images))
	}
	if got := m.Factors("feed").Factor("steady"); got != 1.2 {
		t.Errorf("factor %.2f, want the one that is known best, 1.20", got)
	}
}

// Guards against a worker with more best-effort images than are kept.
func TestMoreImagesThanKept(t *testing.T) {
	var m Model
	load := NewLoadForecast(0)
	for at := range 20 {
		var usage CPUUsage
		for i := range 2 * maxBestEffortImages {
			usage.Add(fmt.Sprintf("build-%d", i), 0.005)
		}
		m.Observe(float64(at), load, "feed", tailForPressure(0.7), 24*time.Millisecond, usage)
	}
	if got := len(m.Factors("feed").images); got != maxBestEffortImages {
		t.Errorf("%d images are kept, want %d", got, maxBestEffortImages)
	}
}
