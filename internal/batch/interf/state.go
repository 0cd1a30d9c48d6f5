package interf

import (
	"math"
	"slices"
)

// State is what a model has learned of images, as it is stored.
type State struct {
	Score []float64 `json:"score"` // squared forecast errors of each period
	Pairs []Pair    `json:"pairs"`
}

// Pair is the factor of a filling image for a serving one and its standard deviation.
type Pair struct {
	Serve  string  `json:"serve"`
	Fill   string  `json:"fill"`
	Factor float64 `json:"factor"`
	Spread float64 `json:"spread"`
}

// Swing is the fit of a load for the Model's period.
type Swing struct {
	Level float64 `json:"level"`
	Cos   float64 `json:"cos"`
	Sin   float64 `json:"sin"`
}

// State returns what the model has learned of images.
func (m *Model) State() State {
	st := State{Score: slices.Clone(m.score[:])}
	for serve, f := range m.pairs {
		for i, fill := range f.fills {
			st.Pairs = append(st.Pairs, Pair{serve, fill, f.value[i], math.Sqrt(max(0, f.cov[i][i]))})
		}
	}
	return st
}

// Restore makes the model one that has learned a state, as of a time.
func (m *Model) Restore(at float64, st State) {
	*m = Model{scored: at}
	if len(st.Score) == periods {
		copy(m.score[:], st.Score)
	}
	for _, x := range st.Pairs {
		f := m.Factors(x.Serve)
		f.set(x.Fill, x.Factor, x.Spread)
		f.at = at
	}
	m.choose()
}

// Swing returns the fit of a load, if it has readings enough.
func (m *Model) Swing(l *Load) (Swing, bool) {
	if l.sums[m.period].w <= 1 {
		return Swing{}, false
	}
	f := l.fits[m.period]
	return Swing{f.level, f.cos, f.sin}, true
}

// Seed has a load begin with a fit that a model found whose state this one was restored from.
func (m *Model) Seed(l *Load, at float64, s Swing) {
	l.seed(at, m.period, s)
}
