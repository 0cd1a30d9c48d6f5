package tool

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/proc/node"
)

// writeJobTable writes the rows of a job for printResult.
func writeJobTable(w io.Writer, j node.JobView) {
	fmt.Fprintf(w, "job\t%s\nkind\t%s\nstate\t%s\ndone\t%d of %d\nplaced\t%d\n", j.Spec.ID, j.Spec.Kind, j.State, j.FinishedTasks, j.Spec.N, j.PlacedTasks)
	if j.Reason != "" {
		fmt.Fprintf(w, "why\t%s\n", j.Reason)
	}
}

func jobCommand(out io.Writer) *cli.Command {
	byID := func(name, usage, method, suffix string) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: "ID", Flags: adminFlags(),
			Description: "Example: bramleysail job " + name + " audit-7",
			Action: func(ctx context.Context, c *cli.Command) error {
				id, err := singleArgument(c, "ID")
				if err != nil {
					return err
				}
				v, err := callAdmin[node.JobView](ctx, c, method, "/v1/jobs/"+url.PathEscape(id)+suffix, nil)
				if err != nil {
					return err
				}
				return printResult(c, out, v, writeJobTable)
			},
		}
	}
	return &cli.Command{
		Name: "job", Usage: "submit, show or cancel a job",
		Commands: []*cli.Command{
			submitCommand(out),
			byID("show", "show a job as the store holds it", http.MethodGet, ""),
			byID("cancel", "end a job; what has finished before stays finished", http.MethodPost, "/cancel"),
		},
	}
}

func submitCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "submit a job; repeating it with the same id and content changes nothing",
		ArgsUsage:   "ID",
		Description: "Example: bramleysail job submit --kind audit --n 3 --run 2s audit-7",
		Flags: adminFlags(
			&cli.StringFlag{Name: "kind", Usage: "kind of job as declared in the sheet"},
			&cli.StringFlag{Name: "team"},
			&cli.StringFlag{Name: "rank", Usage: "urgent, normal or low"},
			&cli.IntFlag{Name: "n", Value: 1, Usage: "number of equal tasks"},
			&cli.IntFlag{Name: "cpu", Value: 1000, Usage: "millicores of a task"},
			&cli.IntFlag{Name: "mem", Value: 1024, Usage: "MiB of a task"},
			&cli.IntFlag{Name: "accel", Usage: "accelerators of a task"},
			&cli.DurationFlag{Name: "run", Value: time.Second, Usage: "declared run time of a task"},
			&cli.BoolFlag{Name: "standing", Usage: "the tasks never finish and are restarted first"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			id, err := singleArgument(c, "ID")
			if err != nil {
				return err
			}
			s := jobs.Spec{
				ID: id, Kind: c.String("kind"), Team: c.String("team"), Rank: jobs.Rank(c.String("rank")),
				N: c.Int("n"), Size: wire.Size{CPU: c.Int("cpu"), Mem: c.Int("mem"), Accel: c.Int("accel")},
				Run: c.Duration("run"), Standing: c.Bool("standing"),
			}
			if err := s.Validate(); err != nil {
				return exitError{err, ExitInvalid}
			}
			v, err := callAdmin[node.JobView](ctx, c, http.MethodPost, "/v1/jobs", s)
			if err != nil {
				return err
			}
			return printResult(c, out, v, writeJobTable)
		},
	}
}
