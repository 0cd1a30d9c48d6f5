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

// ErrInvalidConfig wraps every error about what a trial is to play.
var ErrInvalidConfig = errors.New("trial: invalid plan")

// Names of the policies.
const (
	PolicyProduct  = "product" // the product's own core
	PolicyFirstFit = "first"   // first come first served, first fit
	PolicyIdeal    = "ideal"   // one worker, perfect knowledge, no disturbance: the limit
)

// Config is what to play.
type Config struct {
	Scenario string
	Loads    []float64 // against the day's own; 1: as measured
	Seeds    int
	Policies []string
	Faults   []string // kinds; none: all workers are sound
}

// Validate returns an error that names the first thing wrong with the plan.
func (p *Config) Validate() error {
	if trace.Scenarios[p.Scenario] == nil {
		return errors.Wrapf(ErrInvalidConfig, "no day %q; there are association, wildheart and backlog", p.Scenario)
	}
	if p.Seeds < 1 || p.Seeds > 1000 {
		return errors.Wrapf(ErrInvalidConfig, "%d seeds, allowed are 1 to 1000", p.Seeds)
	}
	for _, l := range p.Loads {
		if !(l > 0 && l <= 10) {
			return errors.Wrapf(ErrInvalidConfig, "load %g, allowed is above 0 and up to 10", l)
		}
	}
	for _, name := range p.Policies {
		if name != PolicyProduct && name != PolicyFirstFit && name != PolicyIdeal {
			return errors.Wrapf(ErrInvalidConfig, "no policy %q; there are %s, %s and %s", name, PolicyProduct, PolicyFirstFit, PolicyIdeal)
		}
	}
	for _, name := range p.Faults {
		if !slices.Contains(trace.FaultKinds(), trace.FaultKind(name)) {
			return errors.Wrapf(ErrInvalidConfig, "no fault %q; there are %v", name, trace.FaultKinds())
		}
	}
	return nil
}

// Row is the result of a policy at a load, over all seeds.
type Row struct {
	Load   float64
	Policy string
	Result *Result
}

// maxParallelRuns is how many days are played at once.
const maxParallelRuns = 4

// Run plays the plan; the same plan gives the same rows.
func Run(p Config) ([]Row, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	var rows []Row
	for _, load := range p.Loads {
		for _, name := range p.Policies {
			rows = append(rows, Row{load, name, p.runSeeds(load, name)})
		}
	}
	return rows, nil
}

func (p *Config) runSeeds(load float64, policy string) *Result {
	days := make([]*Result, p.Seeds)
	var wg sync.WaitGroup
	turns := make(chan struct{}, maxParallelRuns)
	for i := range days {
		wg.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			days[i] = p.runSeed(load, policy, uint64(i))
		})
	}
	wg.Wait()
	sum := &Result{}
	for _, r := range days {
		sum.Add(r)
	}
	return sum
}

func (p *Config) runSeed(load float64, policy string, seed uint64) *Result {
	d := trace.Scenarios[p.Scenario]()
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var kinds []trace.FaultKind
	for _, name := range p.Faults {
		kinds = append(kinds, trace.FaultKind(name))
	}
	faults := d.GenerateFaults(kinds, seed)
	jobs := d.GenerateJobs(start, load, seed, faults)
	slices.SortStableFunc(jobs, func(a, b *trace.Job) int { return int(a.SubmittedAt - b.SubmittedAt) })
	switch policy {
	case PolicyFirstFit:
		return simulate(d, jobs, faults, start, seed, newFirstFitPolicy)
	case PolicyIdeal:
		return simulateIdeal(d, jobs, start)
	}
	return simulate(d, jobs, faults, start, seed, newProductPolicy)
}

// WriteSummary writes the rows as a table: for each kind of job the share of the worth that was earned,
// and how long the jobs took.
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

func (t *Tally) turnaroundQuantile(q float64) time.Duration {
	if len(t.TurnaroundTimes) == 0 {
		return 0
	}
	slices.Sort(t.TurnaroundTimes)
	return t.TurnaroundTimes[int(q*float64(len(t.TurnaroundTimes)-1))].Round(10 * time.Millisecond)
}
