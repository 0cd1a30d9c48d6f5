package interf

import (
	"math"
	"slices"
)

// State is what a model has learned of images, as it is stored.
type State struct {
	SquaredErrors []float64 `json:"score"` // squared forecast errors of each period
	Pairs         []Pair    `json:"pairs"`
}

// Pair is the factor of a filling image for a serving one and its standard deviation.
type Pair struct {
	LatencyCritical string  `json:"serve"`
	BestEffort      string  `json:"fill"`
	Factor          float64 `json:"factor"`
	StdDev          float64 `json:"spread"`
}

// LoadFit is the fit of a load for the Model's period.
type LoadFit struct {
	Level float64 `json:"level"`
	Cos   float64 `json:"cos"`
	Sin   float64 `json:"sin"`
}

// State returns what the model has learned of images.
func (m *Model) State() State {
	st := State{SquaredErrors: slices.Clone(m.squaredErrors[:])}
	for serve, f := range m.factors {
		for i, fill := range f.images {
			st.Pairs = append(st.Pairs, Pair{serve, fill, f.estimates[i], math.Sqrt(max(0, f.covariance[i][i]))})
		}
	}
	return st
}

// Restore makes the model one that has learned a state, as of a time.
func (m *Model) Restore(at float64, st State) {
	*m = Model{decayedAt: at}
	if len(st.SquaredErrors) == periodCount {
		copy(m.squaredErrors[:], st.SquaredErrors)
	}
	for _, x := range st.Pairs {
		f := m.Factors(x.LatencyCritical)
		f.setFactor(x.BestEffort, x.Factor, x.StdDev)
		f.updatedAt = at
	}
	m.choosePeriod()
}

// Fit returns the fit of a load, if it has readings enough.
func (m *Model) Fit(l *LoadForecast) (LoadFit, bool) {
	if l.sums[m.bestPeriod].w <= 1 {
		return LoadFit{}, false
	}
	f := l.fits[m.bestPeriod]
	return LoadFit{f.level, f.cos, f.sin}, true
}

// SeedLoad has a load begin with a fit that a model found whose state this one was restored from.
func (m *Model) SeedLoad(l *LoadForecast, at float64, s LoadFit) {
	l.seed(at, m.bestPeriod, s)
}
