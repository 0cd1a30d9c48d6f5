package trial

import (
	"io"
	"slices"

	"github.com/pkg/errors"
	"github.com/wcharczuk/go-chart/v2"
)

// Space around the plot in pixels; the legend is above it.
const (
	legendHeight = 50
	margin       = 20
)

// Plot draws the value share of each policy against the load, as SVG. It needs rows of at least two loads for each
// policy.
func Plot(out io.Writer, rows []Row) error {
	var names []string
	lines := map[string]*chart.ContinuousSeries{}
	for _, r := range rows {
		s := lines[r.Policy]
		if s == nil {
			s = &chart.ContinuousSeries{Name: r.Policy}
			lines[r.Policy] = s
			names = append(names, r.Policy)
		}
		s.XValues = append(s.XValues, r.Load)
		s.YValues = append(s.YValues, r.Result.ValueShare())
	}
	slices.Sort(names)
	graph := chart.Chart{
		Background: chart.Style{Padding: chart.Box{Top: legendHeight, Left: margin, Right: margin, Bottom: margin}},
		XAxis:      chart.XAxis{Name: "load"},
		YAxis:      chart.YAxis{Name: "worth earned, of what was owed", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
	}
	for _, name := range names {
		if len(lines[name].XValues) < 2 {
			return errors.Wrap(ErrInvalidConfig, "a plot needs at least two loads")
		}
		graph.Series = append(graph.Series, *lines[name])
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	return errors.Wrap(graph.Render(chart.SVG, out), "trial")
}
