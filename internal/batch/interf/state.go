package interf

import (
	"cmp"
	"math"
	"slices"
)

// State is what a model has learned, in the form in which it is stored.
type State struct {
	SquaredErrors []float64 `json:"score"` // squared forecast errors of each candidate period
	Pairs         []Pair    `json:"pairs"` // learned interference factors
}

// Pair is the factor of a best-effort image for a latency-critical image.
type Pair struct {
	LatencyCritical string  `json:"serve"`  // the latency-critical image
	BestEffort      string  `json:"fill"`   // the best-effort image
	Factor          float64 `json:"factor"` // pressure that the best-effort image adds when it uses all CPUs of a worker
	StdDev          float64 `json:"spread"` // standard deviation of Factor
}

// LoadFit is the fit of a load for the Model's period.
type LoadFit struct {
	Level float64 `json:"level"` // load without the oscillation
	Cos   float64 `json:"cos"`   // coefficient of the cosine
	Sin   float64 `json:"sin"`   // coefficient of the sine
}

// State returns what the model has learned, without the forecasts of the loads.
func (m *Model) State() State {
	st := State{SquaredErrors: slices.Clone(m.squaredErrors[:])}
	for latencyCritical, f := range m.factors {
		for i, bestEffort := range f.images {
			st.Pairs = append(st.Pairs, Pair{latencyCritical, bestEffort, f.estimates[i], math.Sqrt(max(0, f.covariance[i][i]))})
		}
	}
	return st
}

// Restore replaces what the model has learned by a state, as of a time. Of more pairs than a model keeps, it takes those that are
// known best. Squared errors are ignored if their number isn't that of this version's candidate periods.
func (m *Model) Restore(at float64, st State) {
	*m = Model{decayedAt: at}
	if len(st.SquaredErrors) == periodCount {
		copy(m.squaredErrors[:], st.SquaredErrors)
	}
	for _, pair := range bestKnown(st.Pairs) {
		if m.factors[pair.LatencyCritical] == nil && len(m.factors) >= maxLatencyCriticalImages {
			continue
		}
		f := m.Factors(pair.LatencyCritical)
		if len(f.images) >= maxBestEffortImages && f.index(pair.BestEffort) < 0 {
			continue
		}
		f.setFactor(at, pair.BestEffort, pair.Factor, pair.StdDev)
		f.updatedAt = at
	}
	m.choosePeriod()
}

// bestKnown returns the pairs in the order of their standard deviation, the least first.
func bestKnown(pairs []Pair) []Pair {
	return slices.SortedStableFunc(slices.Values(pairs), func(a, b Pair) int { return cmp.Compare(a.StdDev, b.StdDev) })
}

// KeepBestKnown leaves out all but the n pairs that are known best.
func (s *State) KeepBestKnown(n int) {
	if n < len(s.Pairs) {
		s.Pairs = bestKnown(s.Pairs)[:n]
	}
}

// Fit returns the fit of a load for the model's period, and false if it has too few measurements.
func (m *Model) Fit(l *LoadForecast) (LoadFit, bool) {
	if l.sums[m.bestPeriod].w <= 1 {
		return LoadFit{}, false
	}
	f := l.fits[m.bestPeriod]
	return LoadFit{f.level, f.cos, f.sin}, true
}

// SeedLoad starts a load forecast from a fit, as of a time. The fit must come from the model whose State this model was
// restored from, as it belongs to that model's period.
func (m *Model) SeedLoad(l *LoadForecast, at float64, fit LoadFit) {
	l.seed(at, m.bestPeriod, fit)
}
