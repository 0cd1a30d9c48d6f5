package tool

import (
	"bytes"
	"context"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bramleysail.example/bramleysail/internal/proc/report"
)

func reportCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "report",
		Usage:       "tell from the hosts' logs where the time of all jobs went: refused, waiting and for what, at work, begun again",
		ArgsUsage:   "[LOGFILE ...]",
		Description: "Reads standard input without a file. Example: bramleysail report --from 10s --to 40s --plot time.svg host-*.log",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "from", Usage: "leave out jobs first seen before this, counted from the first line"},
			&cli.DurationFlag{Name: "to", Usage: "leave out jobs first seen after this; 0: none"},
			&cli.BoolFlag{Name: "json", Usage: "for programs"},
			&cli.StringFlag{Name: "plot", Usage: "also draw into `FILE`, as SVG, how many jobs are in each phase over time"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			lines, err := readLogs(c.Args().Slice(), errOut)
			if err != nil {
				return err
			}
			r, err := report.New(lines, c.Duration("from"), c.Duration("to"))
			if err != nil {
				return exitError{err, ExitInvalid}
			}
			if file := c.String("plot"); file != "" {
				if err := writeReportPlot(file, r); err != nil {
					return err
				}
			}
			if c.Bool("json") {
				return r.WriteJSON(out)
			}
			return r.WriteText(out)
		},
	}
}

// writeReportPlot writes the plot of a report to a file.
func writeReportPlot(file string, r *report.Report) error {
	var svg bytes.Buffer // the complete plot, so that a failed one leaves the file unchanged
	err := r.WritePlot(&svg)
	if err == nil {
		err = errors.Wrap(os.WriteFile(file, svg.Bytes(), 0o644), "bramleysail")
	}
	if err != nil {
		return exitError{err, ExitInvalid}
	}
	return nil
}
