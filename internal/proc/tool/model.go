package tool

import (
	"context"
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
			&cli.StringFlag{Name: "day", Usage: "association or wildheart", Value: "association"},
			&cli.FloatSliceFlag{Name: "load", Usage: "arrivals against those measured; may be given several times", Value: []float64{1}},
			&cli.IntFlag{Name: "seeds", Usage: "days to play for each load and policy", Value: 4},
			&cli.StringSliceFlag{Name: "policy", Usage: "product, first or ideal; may be given several times", Value: []string{trial.First, trial.Product, trial.Ideal}},
			&cli.StringFlag{Name: "plot", Usage: "also draw worth against load into `FILE`, as SVG; needs two loads or more"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			rows, err := trial.Run(trial.Plan{
				Day: c.String("day"), Loads: c.FloatSlice("load"), Seeds: c.Int("seeds"), Policies: c.StringSlice("policy"),
			})
			if err != nil {
				return invalid(err)
			}
			if file := c.String("plot"); file != "" {
				if err := plot(file, rows); err != nil {
					return err
				}
			}
			return trial.Write(out, rows)
		},
	}
}

// invalid gives an error about what was asked for its exit code.
func invalid(err error) error {
	if errors.Is(err, trial.ErrPlan) {
		return exit{err, ExitInvalid}
	}
	return err
}

func plot(file string, rows []trial.Row) error {
	f, err := os.Create(file)
	if err != nil {
		return exit{errors.Wrap(err, "bramleysail"), ExitInvalid}
	}
	err = trial.Plot(f, rows)
	if cerr := f.Close(); err == nil {
		err = errors.Wrap(cerr, "bramleysail")
	}
	return invalid(err)
}
