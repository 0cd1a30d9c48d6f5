package sched

import (
	"math"
	"slices"
)

// interferenceState is what a model has learned of images, as it is stored.
type interferenceState struct {
	Score []float64     `json:"score"`
	Pairs []factorState `json:"pairs"`
}

// factorState is the factor of a filling image for a serving one and its standard deviation.
type factorState struct {
	Serve  string  `json:"serve"`
	Fill   string  `json:"fill"`
	Factor float64 `json:"factor"`
	Spread float64 `json:"spread"`
}

// swing is the fit of a step's load for the period that tells best, its times counted from the
// Unix epoch.
type swing struct {
	Level float64 `json:"level"`
	Cos   float64 `json:"cos"`
	Sin   float64 `json:"sin"`
}

// state returns what the model has learned of images.
func (p *interference) state() interferenceState {
	st := interferenceState{Score: slices.Clone(p.score[:])}
	for serve, f := range p.pairs {
		for i, fill := range f.fills {
			st.Pairs = append(st.Pairs, factorState{serve, fill, f.value[i], math.Sqrt(max(0, f.cov[i][i]))})
		}
	}
	return st
}

// restore makes the model one that has learned a state, as of a time.
func (p *interference) restore(at float64, st interferenceState) {
	*p = interference{scored: at}
	if len(st.Score) == periods {
		copy(p.score[:], st.Score)
	}
	for _, x := range st.Pairs {
		f := p.factors(x.Serve)
		f.set(x.Fill, x.Factor, x.Spread)
		f.at = at
	}
	p.choose()
}

// swing returns the fit of a load, if there are readings enough.
func (p *interference) swing(k *loadForecast) (swing, bool) {
	if k.sums[p.period].w <= 1 {
		return swing{}, false
	}
	f := k.fits[p.period]
	return swing{f.level, f.cos, f.sin}, true
}

// seed has a load begin with a fit that another model found.
func (p *interference) seed(k *loadForecast, at float64, s swing) {
	k.seed(at, p.period, harmonic{s.Level, s.Cos, s.Sin})
}
