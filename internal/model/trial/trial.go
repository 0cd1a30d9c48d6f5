package trial

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/model/trace"
)

// ErrInvalidConfig is wrapped by every error about an invalid configuration.
var ErrInvalidConfig = errors.New("trial: invalid configuration")

// The names of the policies.
const (
	PolicyProduct  = "product" // the scheduler of this project
	PolicyFirstFit = "first"   // baseline: first come first served, each task on the first worker with room
	PolicyIdeal    = "ideal"   // upper bound: one large worker, perfect knowledge, no interference, no faults
)

// Config says what to simulate.
type Config struct {
	Scenario string    // name of the scenario
	Loads    []float64 // factors of the scenario's arrival rates; 1: unchanged
	Seeds    int       // number of seeds to simulate for each load and policy
	Policies []string  // names of the policies
	Faults   []string  // kinds of faults; empty: no faults
}

// Validate returns an error that names the first invalid setting, or nil.
func (c *Config) Validate() error {
	if trace.Scenarios[c.Scenario] == nil {
		return errors.Wrapf(ErrInvalidConfig, "no day %q; known are association, wildheart and backlog", c.Scenario)
	}
	if c.Seeds < 1 || c.Seeds > 1000 {
		return errors.Wrapf(ErrInvalidConfig, "%d seeds, must be 1 to 1000", c.Seeds)
	}
	for _, l := range c.Loads {
		if !(l > 0 && l <= 10) {
			return errors.Wrapf(ErrInvalidConfig, "load %g, must be above 0 and at most 10", l)
		}
	}
	for _, name := range c.Policies {
		if name != PolicyProduct && name != PolicyFirstFit && name != PolicyIdeal {
			return errors.Wrapf(ErrInvalidConfig, "no policy %q; known are %s, %s and %s", name, PolicyProduct, PolicyFirstFit, PolicyIdeal)
		}
	}
	for _, name := range c.Faults {
		if !slices.Contains(trace.FaultKinds(), trace.FaultKind(name)) {
			return errors.Wrapf(ErrInvalidConfig, "no fault %q; known are %v", name, trace.FaultKinds())
		}
	}
	return nil
}

// Row holds the result of a policy at a load.
type Row struct {
	Load   float64 // factor of the arrival rates
	Policy string  // name of the policy
	Result *Result // sum over all seeds
}

// maxParallelRuns is how many seeds are simulated at once.
const maxParallelRuns = 4

// Run simulates each policy at each load. The same configuration gives the same rows.
func Run(c Config) ([]Row, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	var rows []Row
	for _, load := range c.Loads {
		for _, name := range c.Policies {
			rows = append(rows, Row{load, name, c.runSeeds(load, name)})
		}
	}
	return rows, nil
}

// runSeeds simulates all seeds and returns the sum of their results.
func (c *Config) runSeeds(load float64, policy string) *Result {
	results := make([]*Result, c.Seeds)
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelRuns)
	for i := range results {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = c.runSeed(load, policy, uint64(i))
		})
	}
	wg.Wait()
	sum := &Result{}
	for _, r := range results {
		sum.Add(r)
	}
	return sum
}

// runSeed simulates one seed.
func (c *Config) runSeed(load float64, policy string, seed uint64) *Result {
	s := trace.Scenarios[c.Scenario]()
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var kinds []trace.FaultKind
	for _, name := range c.Faults {
		kinds = append(kinds, trace.FaultKind(name))
	}
	faults := s.GenerateFaults(kinds, seed)
	jobs := s.GenerateJobs(start, load, seed, faults)
	slices.SortStableFunc(jobs, func(a, b *trace.Job) int { return int(a.SubmittedAt - b.SubmittedAt) })
	switch policy {
	case PolicyFirstFit:
		return simulate(s, jobs, faults, start, seed, newFirstFitPolicy)
	case PolicyIdeal:
		return simulateIdeal(s, jobs, start)
	}
	return simulate(s, jobs, faults, start, seed, newProductPolicy)
}

// WriteSummary writes the rows as a table: for each kind of jobs the share of its value that was earned,
// and the quantiles of the turnaround time.
func WriteSummary(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tpolicy\tworth\tkind\tearned\ton time\tlate\tof\tp50\tp99\twasted core-s\tmoves")
	for _, r := range rows {
		names := make([]string, 0, len(r.Result.Kinds))
		for name := range r.Result.Kinds {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			t := r.Result.Kinds[name]
			fmt.Fprintf(w, "%.2f\t%s\t%.3f\t%s\t%.3f\t%d\t%d\t%d\t%s\t%s\t%.0f\t%d\n", r.Load, r.Policy, r.Result.ValueShare(), name,
				t.EarnedValue/max(t.PossibleValue, 1e-9), t.OnTime, t.Late, t.Jobs, t.turnaroundQuantile(0.5), t.turnaroundQuantile(0.99), r.Result.WastedCoreSeconds, r.Result.StopOrders)
		}
	}
	return errors.Wrap(w.Flush(), "trial")
}

// turnaroundQuantile returns a quantile of the turnaround times, rounded to 10 ms; 0 if there are none.
func (t *Tally) turnaroundQuantile(q float64) time.Duration {
	if len(t.TurnaroundTimes) == 0 {
		return 0
	}
	slices.Sort(t.TurnaroundTimes)
	return t.TurnaroundTimes[int(q*float64(len(t.TurnaroundTimes)-1))].Round(10 * time.Millisecond)
}
