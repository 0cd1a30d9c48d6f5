package trial

import (
	"math"
	"testing"
	"time"
)

func TestMeanWorstWindowShare(t *testing.T) {
	second := time.Second
	for _, tt := range []struct {
		name   string
		values []struct{ at, possible, earned float64 }
		want   float64
	}{
		{"no possible value", nil, 0},
		{"one window", []struct{ at, possible, earned float64 }{{1, 2, 1}, {2, 2, 2}}, 0.75},
		{"the two worst of four windows", []struct{ at, possible, earned float64 }{{0, 4, 4}, {9, 4, 1}, {17, 4, 3}, {25, 4, 2}}, 0.375},
		{"a window without jobs", []struct{ at, possible, earned float64 }{{0, 1, 1}, {30, 1, 0}}, 0.5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := &Result{}
			for _, c := range tt.values {
				r.addValue(r.tallyOf("k"), time.Duration(c.at*float64(second)), c.possible, c.earned)
			}
			r.worstWindowShares = []float64{r.worstWindowShare()}
			if got := r.MeanWorstWindowShare(); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("value share of the worst windows %g, want %g", got, tt.want)
			}
		})
	}
}

func TestWorstKind(t *testing.T) {
	r := &Result{Kinds: map[string]*Tally{"a": {PossibleValue: 2, EarnedValue: 2}, "b": {PossibleValue: 4, EarnedValue: 1}, "c": {PossibleValue: 4, EarnedValue: 2}}}
	if name, least := r.WorstKind(); name != "b" || least != 0.25 {
		t.Errorf("worst kind %s with value share %g, want b with 0.25", name, least)
	}
}
