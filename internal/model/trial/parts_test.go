package trial

import (
	"math"
	"testing"
	"time"
)

func TestParts(t *testing.T) {
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
				r.count(r.tally("k"), time.Duration(c.at*float64(second)), c.owed, c.earned)
			}
			r.weak = []float64{r.weakest()}
			if got := r.WorstWindows(); math.Abs(got-tt.windows) > 1e-9 {
				t.Errorf("worst windows %g, want %g", got, tt.windows)
			}
		})
	}
}

func TestWorstKind(t *testing.T) {
	r := &Result{Kinds: map[string]*Tally{"a": {Owed: 2, Earned: 2}, "b": {Owed: 4, Earned: 1}, "c": {Owed: 4, Earned: 2}}}
	if name, least := r.WorstKind(); name != "b" || least != 0.25 {
		t.Errorf("worst kind %s with %g, want b with 0.25", name, least)
	}
}
