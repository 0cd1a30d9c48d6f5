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
	// window is the part of a day whose worth is told by itself, and worstOf how many of the worst count.
	window  = 8 * time.Second
	worstOf = 2
	// closing is the end of a day for Tally.StillAtEnd. Jobs that can be on time may hold others back until some seconds
	// after the last has come.
	closing = 5 * time.Second
)

// stand notes how long the jobs have had nothing running.
func (p *day) stand(now, end time.Time) {
	for _, k := range p.world.Workers {
		for _, t := range k.Tasks {
			p.ran[t.ID.Job] = now
		}
	}
	for _, j := range p.open {
		if j.Kind.Lasting || p.policy.Failed(j.Job.ID) {
			continue
		}
		t, still := p.res.tally(j.Kind.Name), now.Sub(p.ran[j.Job.ID])
		t.Still = max(t.Still, still)
		if end.Sub(now) <= closing {
			t.StillAtEnd = max(t.StillAtEnd, still)
		}
	}
}

// count adds to a tally and to the window of a time of the day.
func (r *Result) count(t *Tally, at time.Duration, owed, earned float64) {
	t.Owed += owed
	t.Earned += earned
	i := int(at / window)
	for len(r.windows) <= i {
		r.windows = append(r.windows, Tally{})
	}
	r.windows[i].Owed += owed
	r.windows[i].Earned += earned
}

func (t *Tally) share() float64 { return t.Earned / max(t.Owed, 1e-9) }

// weakest returns the share of the worth that the worst windows of a day earned.
func (r *Result) weakest() float64 {
	var all []Tally
	for _, w := range r.windows {
		if w.Owed > 0 {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b Tally) int { return cmp.Compare(a.share(), b.share()) })
	sum := 0.0
	all = all[:min(len(all), worstOf)]
	for _, w := range all {
		sum += w.share()
	}
	return sum / float64(max(len(all), 1))
}

// WorstWindows returns the mean share that the worst windows of a day earned.
func (r *Result) WorstWindows() float64 {
	sum := 0.0
	for _, x := range r.weak {
		sum += x
	}
	return sum / float64(max(len(r.weak), 1))
}

// WorstKind returns the kind of job that earned the least share, and that share.
func (r *Result) WorstKind() (string, float64) {
	worst, least := "", 0.0
	for name, t := range r.Kinds {
		if x := t.share(); worst == "" || x < least || x == least && name < worst {
			worst, least = name, x
		}
	}
	return worst, least
}

// WriteParts writes the parts of the measure of each row as a table.
func WriteParts(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tpolicy\twhole day\tworst windows\tworst kind\tstands still\tat the end")
	for _, r := range rows {
		name, least := r.Result.WorstKind()
		day, end := "-", "-" // the limit has no workers on which a job could lack a place
		if r.Policy != Ideal {
			day = r.Result.longest(func(t *Tally) time.Duration { return t.Still })
			end = r.Result.longest(func(t *Tally) time.Duration { return t.StillAtEnd })
		}
		fmt.Fprintf(w, "%.2f\t%s\t%.3f\t%.3f\t%.3f %s\t%s\t%s\n", r.Load, r.Policy, r.Result.Worth(), r.Result.WorstWindows(), least, name, day, end)
	}
	return errors.Wrap(w.Flush(), "trial")
}

// longest returns the longest of the kinds' times with its kind.
func (r *Result) longest(of func(*Tally) time.Duration) string {
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
