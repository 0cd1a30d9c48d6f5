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

// ErrPlan wraps every error about what a trial is to play.
var ErrPlan = errors.New("trial: invalid plan")

// Names of the policies.
const (
	Product = "product" // the product's own core
	First   = "first"   // first come first served, first fit
	Ideal   = "ideal"   // one worker, perfect knowledge, no disturbance: the limit
)

// Plan is what to play.
type Plan struct {
	Day      string
	Loads    []float64 // against the day's own; 1: as measured
	Seeds    int
	Policies []string
	Faults   []string // kinds; none: all workers are sound
}

// Check returns an error that names the first thing wrong with the plan.
func (p *Plan) Check() error {
	if trace.Days[p.Day] == nil {
		return errors.Wrapf(ErrPlan, "no day %q; there are association, wildheart and backlog", p.Day)
	}
	if p.Seeds < 1 || p.Seeds > 1000 {
		return errors.Wrapf(ErrPlan, "%d seeds, allowed are 1 to 1000", p.Seeds)
	}
	for _, l := range p.Loads {
		if !(l > 0 && l <= 10) {
			return errors.Wrapf(ErrPlan, "load %g, allowed is above 0 and up to 10", l)
		}
	}
	for _, name := range p.Policies {
		if name != Product && name != First && name != Ideal {
			return errors.Wrapf(ErrPlan, "no policy %q; there are %s, %s and %s", name, Product, First, Ideal)
		}
	}
	for _, name := range p.Faults {
		if !slices.Contains(trace.FaultKinds(), trace.FaultKind(name)) {
			return errors.Wrapf(ErrPlan, "no fault %q; there are %v", name, trace.FaultKinds())
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

// parallel is how many days are played at once.
const parallel = 4

// Run plays the plan; the same plan gives the same rows.
func Run(p Plan) ([]Row, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	var rows []Row
	for _, load := range p.Loads {
		for _, name := range p.Policies {
			rows = append(rows, Row{load, name, p.seeds(load, name)})
		}
	}
	return rows, nil
}

func (p *Plan) seeds(load float64, policy string) *Result {
	days := make([]*Result, p.Seeds)
	var wg sync.WaitGroup
	turns := make(chan struct{}, parallel)
	for i := range days {
		wg.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			days[i] = p.one(load, policy, uint64(i))
		})
	}
	wg.Wait()
	sum := &Result{}
	for _, r := range days {
		sum.Add(r)
	}
	return sum
}

func (p *Plan) one(load float64, policy string, seed uint64) *Result {
	d := trace.Days[p.Day]()
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var kinds []trace.FaultKind
	for _, name := range p.Faults {
		kinds = append(kinds, trace.FaultKind(name))
	}
	faults := d.Faults(kinds, seed)
	jobs := d.Jobs(start, load, seed, faults)
	slices.SortStableFunc(jobs, func(a, b *trace.Job) int { return int(a.At - b.At) })
	switch policy {
	case First:
		return play(d, jobs, faults, start, seed, newFirst)
	case Ideal:
		return ideal(d, jobs, start)
	}
	return play(d, jobs, faults, start, seed, newProduct)
}

// Write writes the rows as a table: for each kind of job the share of the worth that was earned,
// and how long the jobs took.
func Write(out io.Writer, rows []Row) error {
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
			fmt.Fprintf(w, "%.2f\t%s\t%.3f\t%s\t%.3f\t%d\t%d\t%d\t%s\t%s\t%.0f\t%d\n", r.Load, r.Policy, r.Result.Worth(), name,
				t.Earned/max(t.Owed, 1e-9), t.OnTime, t.Late, t.Jobs, t.quantile(0.5), t.quantile(0.99), r.Result.Waste, r.Result.Moves)
		}
	}
	return errors.Wrap(w.Flush(), "trial")
}

func (t *Tally) quantile(q float64) time.Duration {
	if len(t.Waits) == 0 {
		return 0
	}
	slices.Sort(t.Waits)
	return t.Waits[int(q*float64(len(t.Waits)-1))].Round(10 * time.Millisecond)
}
