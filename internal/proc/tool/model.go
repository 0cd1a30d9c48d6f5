package tool

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bramleysail.example/bramleysail/internal/model/trial"
)

func modelCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "model",
		Usage:       "play days of a model of the workers and their load, in virtual time, with several policies",
		Description: "Example: bramleysail model --day wildheart --load 0.85 --load 1.2 --seeds 8",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "day", Usage: "association, wildheart or backlog, a long one with more work than there is room for", Value: "association"},
			&cli.FloatSliceFlag{Name: "load", Usage: "arrivals against those measured; may be given several times", Value: []float64{1}},
			&cli.IntFlag{Name: "seeds", Usage: "days to play for each load and policy", Value: 4},
			&cli.StringSliceFlag{Name: "policy", Usage: "product, first or ideal; may be given several times", Value: []string{trial.PolicyFirstFit, trial.PolicyProduct, trial.PolicyIdeal}},
			&cli.StringSliceFlag{Name: "fault", Usage: "slow, hang, fail or leave, of workers, or burst, of arrivals, drawn from the seed; may be given several times"},
			&cli.StringFlag{Name: "plot", Usage: "also draw worth against load into `FILE`, as SVG; needs two loads or more"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			rows, err := trial.Run(trial.Config{
				Scenario: c.String("day"), Loads: c.FloatSlice("load"), Seeds: c.Int("seeds"), Policies: c.StringSlice("policy"),
				Faults: c.StringSlice("fault"),
			})
			if err != nil {
				return withExitCode(err)
			}
			if file := c.String("plot"); file != "" {
				if err := writeModelPlot(file, rows); err != nil {
					return err
				}
			}
			if err := trial.WriteSummary(out, rows); err != nil {
				return err
			}
			fmt.Fprintln(out)
			return trial.WriteDetails(out, rows)
		},
	}
}

// withExitCode gives the error for an invalid configuration the exit code ExitInvalid.
func withExitCode(err error) error {
	if errors.Is(err, trial.ErrInvalidConfig) {
		return exitError{err, ExitInvalid}
	}
	return err
}

// writeModelPlot writes the plot of a simulation's rows to a file.
func writeModelPlot(file string, rows []trial.Row) error {
	var svg bytes.Buffer // the complete plot, so that a failed one leaves the file unchanged
	if err := trial.Plot(&svg, rows); err != nil {
		return withExitCode(err)
	}
	if err := os.WriteFile(file, svg.Bytes(), 0o644); err != nil {
		return exitError{errors.Wrap(err, "bramleysail"), ExitInvalid}
	}
	return nil
}
