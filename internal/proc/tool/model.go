package tool

import (
	"context"
	"io"

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
		},
		Action: func(_ context.Context, c *cli.Command) error {
			rows, err := trial.Run(trial.Plan{
				Day: c.String("day"), Loads: c.FloatSlice("load"), Seeds: c.Int("seeds"), Policies: c.StringSlice("policy"),
			})
			if errors.Is(err, trial.ErrPlan) {
				return exit{err, ExitInvalid}
			}
			if err != nil {
				return err
			}
			return trial.Write(out, rows)
		},
	}
}
