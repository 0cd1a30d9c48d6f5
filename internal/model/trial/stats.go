package trial

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

const (
	// valueWindow is the length of the windows of a simulation whose value is also counted separately, and
	// worstWindowCount the number of worst windows that are averaged.
	valueWindow      = 8 * time.Second
	worstWindowCount = 2
	// finalPeriod is the last part of a simulation, for Tally.MaxStallAtEnd. It begins some seconds after the last
	// arrival, because until then jobs that can still be on time may take precedence over others.
	finalPeriod = 5 * time.Second
)

// recordStalls records how long the unfinished jobs have had no running task.
func (s *simulation) recordStalls(now, end time.Time) {
	for _, k := range s.world.Workers {
		for _, t := range k.Tasks {
			s.lastRan[t.ID.Job] = now
		}
	}
	for _, j := range s.unfinished {
		if j.Kind.LongRunning || s.policy.Failed(j.Spec.ID) {
			continue
		}
		t, stall := s.result.tallyOf(j.Kind.Name), now.Sub(s.lastRan[j.Spec.ID])
		t.MaxStall = max(t.MaxStall, stall)
		if end.Sub(now) <= finalPeriod {
			t.MaxStallAtEnd = max(t.MaxStallAtEnd, stall)
		}
	}
}

// addValue adds possible and earned value to a tally and to the window that contains a time since the start.
func (r *Result) addValue(t *Tally, at time.Duration, possible, earned float64) {
	t.PossibleValue += possible
	t.EarnedValue += earned
	i := int(at / valueWindow)
	for len(r.windows) <= i {
		r.windows = append(r.windows, Tally{})
	}
	r.windows[i].PossibleValue += possible
	r.windows[i].EarnedValue += earned
}

// valueShare returns the earned value as a share of the possible value.
func (t *Tally) valueShare() float64 { return t.EarnedValue / max(t.PossibleValue, 1e-9) }

// worstWindowShare returns the mean value share of the worst windows of one simulation.
func (r *Result) worstWindowShare() float64 {
	var windows []Tally
	for _, w := range r.windows {
		if w.PossibleValue > 0 {
			windows = append(windows, w)
		}
	}
	slices.SortFunc(windows, func(a, b Tally) int { return cmp.Compare(a.valueShare(), b.valueShare()) })
	sum := 0.0
	windows = windows[:min(len(windows), worstWindowCount)]
	for _, w := range windows {
		sum += w.valueShare()
	}
	return sum / float64(max(len(windows), 1))
}

// MeanWorstWindowShare returns the mean value share of the worst windows, over all simulations.
func (r *Result) MeanWorstWindowShare() float64 {
	sum := 0.0
	for _, x := range r.worstWindowShares {
		sum += x
	}
	return sum / float64(max(len(r.worstWindowShares), 1))
}

// WorstKind returns the kind of jobs with the lowest value share, and that share.
func (r *Result) WorstKind() (string, float64) {
	worst, least := "", 0.0
	for name, t := range r.Kinds {
		if x := t.valueShare(); worst == "" || x < least || x == least && name < worst {
			worst, least = name, x
		}
	}
	return worst, least
}

// WriteDetails writes the value shares of each row as a table: overall, of the worst windows and of the worst
// kind of jobs, with the longest stalls.
func WriteDetails(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tpolicy\twhole day\tworst windows\tworst kind\tstands still\tat the end")
	for _, r := range rows {
		name, least := r.Result.WorstKind()
		maxStall, maxStallAtEnd := "-", "-" // the upper bound has no workers on which a job could fail to find room
		if r.Policy != PolicyIdeal {
			maxStall = r.Result.longestByKind(func(t *Tally) time.Duration { return t.MaxStall })
			maxStallAtEnd = r.Result.longestByKind(func(t *Tally) time.Duration { return t.MaxStallAtEnd })
		}
		fmt.Fprintf(w, "%.2f\t%s\t%.3f\t%.3f\t%.3f %s\t%s\t%s\n", r.Load, r.Policy, r.Result.ValueShare(), r.Result.MeanWorstWindowShare(), least, name, maxStall, maxStallAtEnd)
	}
	return errors.Wrap(w.Flush(), "trial")
}

// longestByKind returns the longest duration over all kinds of jobs, followed by the kind.
func (r *Result) longestByKind(duration func(*Tally) time.Duration) string {
	worst, longest := "", time.Duration(0)
	for name, t := range r.Kinds {
		if x := duration(t); x > longest || x == longest && name < worst {
			worst, longest = name, x
		}
	}
	if longest == 0 {
		return "0s"
	}
	return fmt.Sprintf("%s %s", longest, worst)
}
