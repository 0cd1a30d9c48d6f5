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
		Usage:       "simulate scenarios of workers and their load, in virtual time, under several policies",
		Description: "Example: bramleysail model --day wildheart --load 0.85 --load 1.2 --seeds 8",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "day", Usage: "scenario: association, wildheart or backlog, a long one with more work than the workers have capacity for", Value: "association"},
			&cli.FloatSliceFlag{Name: "load", Usage: "factor of the measured arrival rates; may be given several times", Value: []float64{1}},
			&cli.IntFlag{Name: "seeds", Usage: "number of simulations for each load and policy", Value: 4},
			&cli.StringSliceFlag{Name: "policy", Usage: "product, first or ideal; may be given several times", Value: []string{trial.PolicyFirstFit, trial.PolicyProduct, trial.PolicyIdeal}},
			&cli.StringSliceFlag{Name: "fault", Usage: "slow, hang, fail or leave (faults of workers) or burst (of arrivals), drawn from the seed; may be given several times"},
			&cli.StringFlag{Name: "plot", Usage: "also plot the value share against the load into `FILE`, as SVG; needs at least two loads"},
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
