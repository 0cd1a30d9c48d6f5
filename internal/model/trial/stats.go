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
	// valueWindow is the part of a day whose worth is told by itself, and worstOf how many of the worst count.
	valueWindow      = 8 * time.Second
	worstWindowCount = 2
	// finalPeriod is the end of a day for Tally.StillAtEnd. Jobs that can be on time may hold others back until some seconds
	// after the last has come.
	finalPeriod = 5 * time.Second
)

// recordStalls notes how long the jobs have had nothing running.
func (p *simulation) recordStalls(now, end time.Time) {
	for _, k := range p.world.Workers {
		for _, t := range k.Tasks {
			p.lastRan[t.ID.Job] = now
		}
	}
	for _, j := range p.unfinished {
		if j.Kind.LongRunning || p.policy.Failed(j.Spec.ID) {
			continue
		}
		t, still := p.result.tallyOf(j.Kind.Name), now.Sub(p.lastRan[j.Spec.ID])
		t.MaxStall = max(t.MaxStall, still)
		if end.Sub(now) <= finalPeriod {
			t.MaxStallAtEnd = max(t.MaxStallAtEnd, still)
		}
	}
}

// addValue adds to a tally and to the window of a time of the day.
func (r *Result) addValue(t *Tally, at time.Duration, owed, earned float64) {
	t.PossibleValue += owed
	t.EarnedValue += earned
	i := int(at / valueWindow)
	for len(r.windows) <= i {
		r.windows = append(r.windows, Tally{})
	}
	r.windows[i].PossibleValue += owed
	r.windows[i].EarnedValue += earned
}

func (t *Tally) valueShare() float64 { return t.EarnedValue / max(t.PossibleValue, 1e-9) }

// worstWindowShare returns the share of the worth that the worst windows of a day earned.
func (r *Result) worstWindowShare() float64 {
	var all []Tally
	for _, w := range r.windows {
		if w.PossibleValue > 0 {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b Tally) int { return cmp.Compare(a.valueShare(), b.valueShare()) })
	sum := 0.0
	all = all[:min(len(all), worstWindowCount)]
	for _, w := range all {
		sum += w.valueShare()
	}
	return sum / float64(max(len(all), 1))
}

// MeanWorstWindowShare returns the mean share that the worst windows of a day earned.
func (r *Result) MeanWorstWindowShare() float64 {
	sum := 0.0
	for _, x := range r.worstWindowShares {
		sum += x
	}
	return sum / float64(max(len(r.worstWindowShares), 1))
}

// WorstKind returns the kind of job that earned the least share, and that share.
func (r *Result) WorstKind() (string, float64) {
	worst, least := "", 0.0
	for name, t := range r.Kinds {
		if x := t.valueShare(); worst == "" || x < least || x == least && name < worst {
			worst, least = name, x
		}
	}
	return worst, least
}

// WriteDetails writes the parts of the measure of each row as a table.
func WriteDetails(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tpolicy\twhole day\tworst windows\tworst kind\tstands still\tat the end")
	for _, r := range rows {
		name, least := r.Result.WorstKind()
		day, end := "-", "-" // the limit has no workers on which a job could lack a place
		if r.Policy != PolicyIdeal {
			day = r.Result.longestByKind(func(t *Tally) time.Duration { return t.MaxStall })
			end = r.Result.longestByKind(func(t *Tally) time.Duration { return t.MaxStallAtEnd })
		}
		fmt.Fprintf(w, "%.2f\t%s\t%.3f\t%.3f\t%.3f %s\t%s\t%s\n", r.Load, r.Policy, r.Result.ValueShare(), r.Result.MeanWorstWindowShare(), least, name, day, end)
	}
	return errors.Wrap(w.Flush(), "trial")
}

// longestByKind returns the longestByKind of the kinds' times with its kind.
func (r *Result) longestByKind(of func(*Tally) time.Duration) string {
	worst, most := "", time.Duration(0)
	for name, t := range r.Kinds {
		if x := of(t); x > most || x == most && name < worst {
			worst, most = name, x
		}
	}
	if most == 0 {
		return "0s"
	}
	return fmt.Sprintf("%s %s", most, worst)
}
