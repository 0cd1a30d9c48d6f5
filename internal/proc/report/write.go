package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/wcharczuk/go-chart/v2"
)

// WriteJSON writes the report as JSON, for programs.
func (r *Report) WriteJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(r), "report")
}

// WriteText writes the report as tables, for people.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "from %s, %s, changes of holder: %d\n\n", r.Start.Format(time.RFC3339Nano), r.Length.Round(time.Millisecond), r.HolderChanges)
	fmt.Fprintln(w, "queue\tjobs\ton time\tlate\ttoo late\tfailed\tcancelled\topen\trefused")
	for _, q := range r.Queues {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", q.Name, q.Jobs, q.OnTime, q.LateUseful, q.LateUseless, q.Failed, q.Cancelled, q.Unfinished, q.Refused)
	}
	fmt.Fprintf(w, "\nseconds of a job, on average\n")
	r.writePhaseTable(w, func(q *QueueStats, p Phase) string { return fmt.Sprintf("%.3f", q.PhaseSeconds[p]/float64(q.Jobs)) })
	fmt.Fprintf(w, "\njobs not on time, by what took most beside the work\n")
	r.writePhaseTable(w, func(q *QueueStats, p Phase) string { return fmt.Sprint(q.DelayCauses[p]) })
	if len(r.UnplacedCauses) > 0 {
		fmt.Fprintf(w, "\nsteps without a place for long\n")
	}
	for _, c := range r.UnplacedCauses {
		fmt.Fprintf(w, "%s\t%d\n", c.Cause, c.Steps)
	}
	if len(r.Refusals) > 0 {
		fmt.Fprintf(w, "\nrefused requests\n")
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(w, "%s\t%d\n", reason, r.Refusals[reason])
	}
	return errors.Wrap(w.Flush(), "report")
}

// writePhaseTable writes a table with a row for each queue and a column for each phase.
func (r *Report) writePhaseTable(w io.Writer, cell func(*QueueStats, Phase) string) {
	fmt.Fprint(w, "queue")
	for _, p := range phases {
		fmt.Fprintf(w, "\t%s", p)
	}
	fmt.Fprintln(w)
	for _, q := range r.Queues {
		fmt.Fprint(w, q.Name)
		for _, p := range phases {
			fmt.Fprintf(w, "\t%s", cell(q, p))
		}
		fmt.Fprintln(w)
	}
}

// Space around the plot, in pixels.
const (
	legendHeight = 50 // above the plot, for the legend
	margin       = 20 // on the other sides
)

// WritePlot writes an SVG chart of the number of jobs in each phase over time. It returns ErrNoData if the timeline covers
// less than two seconds: a line needs two points.
func (r *Report) WritePlot(out io.Writer) error {
	if len(r.Timeline) < 2 {
		return errors.Wrap(ErrNoData, "a plot needs a timeline of at least two seconds")
	}
	graph := chart.Chart{
		Background: chart.Style{Padding: chart.Box{Top: legendHeight, Left: margin, Right: margin, Bottom: margin}},
		XAxis:      chart.XAxis{Name: "seconds"},
		YAxis:      chart.YAxis{Name: "jobs"},
		// It has no series. Without ticks its range is empty and its positions are divisions by 0; if it isn't drawn, the
		// legend is rotated like the name of the first one.
		YAxisSecondary: chart.YAxis{Ticks: []chart.Tick{{Value: 0}, {Value: 1}}},
	}
	for _, p := range phases {
		s := chart.ContinuousSeries{Name: string(p)}
		for _, t := range r.Timeline {
			s.XValues = append(s.XValues, float64(t.Second))
			s.YValues = append(s.YValues, t.PhaseSeconds[p])
		}
		graph.Series = append(graph.Series, s)
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	return errors.Wrap(graph.Render(chart.SVG, out), "report")
}
