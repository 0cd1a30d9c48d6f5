package interf

import (
	"math"
	"slices"
)

// State is what a model has learned of images, as it is stored.
type State struct {
	Score []float64 `json:"score"`
	Pairs []Pair    `json:"pairs"`
}

// Pair is the factor of a filling image for a serving one and its standard deviation.
type Pair struct {
	Serve  string  `json:"serve"`
	Fill   string  `json:"fill"`
	Factor float64 `json:"factor"`
	Spread float64 `json:"spread"`
}

// swing is the fit of a step's load for the period that tells best, its times counted from the
// Unix epoch.
type Swing struct {
	Level float64 `json:"level"`
	Cos   float64 `json:"cos"`
	Sin   float64 `json:"sin"`
}

// state returns what the model has learned of images.
func (p *Model) State() State {
	st := State{Score: slices.Clone(p.score[:])}
	for serve, f := range p.pairs {
		for i, fill := range f.fills {
			st.Pairs = append(st.Pairs, Pair{serve, fill, f.value[i], math.Sqrt(max(0, f.cov[i][i]))})
		}
	}
	return st
}

// restore makes the model one that has learned a state, as of a time.
func (p *Model) Restore(at float64, st State) {
	*p = Model{scored: at}
	if len(st.Score) == periods {
		copy(p.score[:], st.Score)
	}
	for _, x := range st.Pairs {
		f := p.Factors(x.Serve)
		f.set(x.Fill, x.Factor, x.Spread)
		f.at = at
	}
	p.choose()
}

// swing returns the fit of a load, if there are readings enough.
func (p *Model) Swing(k *Load) (Swing, bool) {
	if k.sums[p.period].w <= 1 {
		return Swing{}, false
	}
	f := k.fits[p.period]
	return Swing{f.level, f.cos, f.sin}, true
}

// seed has a load begin with a fit that another model found.
func (p *Model) Seed(k *Load, at float64, s Swing) {
	k.seed(at, p.period, harmonic{s.Level, s.Cos, s.Sin})
}
