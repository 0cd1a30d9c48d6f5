package trial

import (
	"math"
	"testing"
	"time"
)

func TestMeanWorstWindowShare(t *testing.T) {
	second := time.Second
	for _, tt := range []struct {
		name    string
		counts  []struct{ at, owed, earned float64 }
		windows float64
	}{
		{"nothing owed", nil, 0},
		{"one window", []struct{ at, owed, earned float64 }{{1, 2, 1}, {2, 2, 2}}, 0.75},
		{"the two worst", []struct{ at, owed, earned float64 }{{0, 4, 4}, {9, 4, 1}, {17, 4, 3}, {25, 4, 2}}, 0.375},
		{"a window without jobs", []struct{ at, owed, earned float64 }{{0, 1, 1}, {30, 1, 0}}, 0.5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := &Result{}
			for _, c := range tt.counts {
				r.addValue(r.tallyOf("k"), time.Duration(c.at*float64(second)), c.owed, c.earned)
			}
			r.worstWindowShares = []float64{r.worstWindowShare()}
			if got := r.MeanWorstWindowShare(); math.Abs(got-tt.windows) > 1e-9 {
				t.Errorf("worst windows %g, want %g", got, tt.windows)
			}
		})
	}
}

func TestWorstKind(t *testing.T) {
	r := &Result{Kinds: map[string]*Tally{"a": {PossibleValue: 2, EarnedValue: 2}, "b": {PossibleValue: 4, EarnedValue: 1}, "c": {PossibleValue: 4, EarnedValue: 2}}}
	if name, least := r.WorstKind(); name != "b" || least != 0.25 {
		t.Errorf("worst kind %s with %g, want b with 0.25", name, least)
	}
}
