package trial_test

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/model/trial"
)

func TestValidate(t *testing.T) {
	for _, tt := range []struct {
		name   string
		config trial.Config
		want   string
	}{
		{"unknown scenario", trial.Config{Scenario: "x", Seeds: 1}, `no day "x"`},
		{"no seeds", trial.Config{Scenario: "wildheart"}, "0 seeds"},
		{"load of zero", trial.Config{Scenario: "wildheart", Seeds: 1, Loads: []float64{0}}, "load 0"},
		{"load that is not a number", trial.Config{Scenario: "wildheart", Seeds: 1, Loads: []float64{math.NaN()}}, "load NaN"},
		{"unknown fault", trial.Config{Scenario: "wildheart", Seeds: 1, Faults: []string{"slow", "fire"}}, `no fault "fire"`},
		{"unknown policy", trial.Config{Scenario: "wildheart", Seeds: 1, Policies: []string{"best"}}, `no policy "best"`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := trial.Run(tt.config)
			if !errors.Is(err, trial.ErrInvalidConfig) || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
		})
	}
}

// Guards the scheduler's value share in the scenarios of both users against the first-fit baseline and the upper
// bound. The same seeds give the same shares on every machine.
//
// Long-running tasks lose value while they are over their latency target, four times as much if best-effort tasks are
// the cause. Without a forecast of the load the product falls behind: 0.82 for first fit and 0.76 for the product.
func TestValueShare(t *testing.T) {
	for _, tt := range []struct {
		scenario string
		// minGain is the least by which the product's value share exceeds that of first fit, and minShareOfIdeal the
		// least ratio of its value share to that of the upper bound.
		minGain, minShareOfIdeal float64
	}{
		{"association", 0.05, 0.85},
		{"wildheart", 0.05, 0.85},
	} {
		t.Run(tt.scenario, func(t *testing.T) {
			t.Parallel()
			rows, err := trial.Run(trial.Config{Scenario: tt.scenario, Loads: []float64{0.85}, Seeds: 2, Policies: []string{trial.PolicyFirstFit, trial.PolicyProduct, trial.PolicyIdeal}})
			if err != nil {
				t.Fatal(err)
			}
			first, product, ideal := rows[0].Result.ValueShare(), rows[1].Result.ValueShare(), rows[2].Result.ValueShare()
			t.Logf("value shares: first fit %.3f, product %.3f, upper bound %.3f", first, product, ideal)
			if product < first+tt.minGain {
				t.Errorf("value share of the product %.3f, of first fit %.3f: gain too small", product, first)
			}
			if product < tt.minShareOfIdeal*ideal {
				t.Errorf("value share of the product %.3f, of the upper bound %.3f: ratio too small", product, ideal)
			}
		})
	}
}

func TestSameSeedSameResult(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults []string
	}{
		{"no faults", nil},
		{"all faults", []string{"slow", "hang", "fail", "leave", "burst"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out [2]bytes.Buffer
			for i := range out {
				rows, err := trial.Run(trial.Config{Scenario: "wildheart", Loads: []float64{0.7}, Seeds: 1, Policies: []string{trial.PolicyFirstFit, trial.PolicyProduct}, Faults: tt.faults})
				if err != nil {
					t.Fatal(err)
				}
				if err := trial.WriteSummary(&out[i], rows); err != nil {
					t.Fatal(err)
				}
				if err := trial.WriteDetails(&out[i], rows); err != nil {
					t.Fatal(err)
				}
			}
			if out[0].String() != out[1].String() {
				t.Errorf("output differs between two simulations of the same seed, first:\n%ssecond:\n%s", &out[0], &out[1])
			}
		})
	}
}

func TestPlot(t *testing.T) {
	row := func(load float64, policy string, earned float64) trial.Row {
		return trial.Row{Load: load, Policy: policy, Result: &trial.Result{Kinds: map[string]*trial.Tally{"book": {PossibleValue: 1, EarnedValue: earned}}}}
	}
	var out bytes.Buffer
	rows := []trial.Row{row(0.7, trial.PolicyFirstFit, 0.8), row(0.7, trial.PolicyProduct, 1), row(1.2, trial.PolicyFirstFit, 0.5), row(1.2, trial.PolicyProduct, 0.75)}
	if err := trial.Plot(&out, rows); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", trial.PolicyFirstFit, trial.PolicyProduct} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the plot doesn't contain %q", want)
		}
	}
	if err := trial.Plot(&out, rows[:1]); !errors.Is(err, trial.ErrInvalidConfig) {
		t.Errorf("error %v for one load, want ErrInvalidConfig", err)
	}
}

// With more best-effort work than the workers can run, late jobs must not be starved until the scenario ends: once no
// job can be on time any more, the late ones have to run.
func TestBestEffortJobsNotStalledAtEnd(t *testing.T) {
	const maxStall = 3 * time.Second
	for _, tt := range []struct {
		name   string
		load   float64
		faults []string
	}{
		{"no faults", 1, nil},
		{"slow and hanging tasks", 1, []string{"slow", "hang"}},
		{"failing workers", 1, []string{"fail"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			rows, err := trial.Run(trial.Config{Scenario: "backlog", Loads: []float64{tt.load}, Seeds: 2, Policies: []string{trial.PolicyProduct}, Faults: tt.faults})
			if err != nil {
				t.Fatal(err)
			}
			audit := rows[0].Result.Kinds["audit"]
			if audit.MaxStall <= maxStall {
				t.Errorf("the longest stall is %s: the load is too low for this test", audit.MaxStall)
			}
			if audit.MaxStallAtEnd > maxStall {
				t.Errorf("a best-effort job is stalled for %s at the end of the scenario, want %s at most", audit.MaxStallAtEnd, maxStall)
			}
		})
	}
}
