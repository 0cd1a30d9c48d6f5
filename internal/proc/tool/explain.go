package tool

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bramleysail.example/bramleysail/internal/proc/joblog"
)

func explainCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "tell from the hosts' logs what became of a job: where it is, why it waited, what was decided",
		ArgsUsage:   "JOB [LOGFILE ...]",
		Description: "Reads standard input without a file. Example: bramleysail explain 5c0e7a21d94b36f8 host-*.log",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "for programs"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 1 {
				return exitError{errors.Errorf("bramleysail: %s takes a job's id, see --help", c.Name), ExitInvalid}
			}
			lines, err := readLogs(c.Args().Tail(), errOut)
			if err != nil {
				return err
			}
			s, err := joblog.NewHistory(c.Args().First(), lines)
			switch {
			case errors.Is(err, joblog.ErrJobNotFound):
				return exitError{err, ExitInvalid}
			case err != nil:
				return err
			case c.Bool("json"):
				return s.WriteJSON(out)
			}
			return s.WriteText(out)
		},
	}
}

// readLogs reads the log files, or standard input if there are none.
func readLogs(files []string, errOut io.Writer) ([]joblog.Line, error) {
	if len(files) == 0 {
		return readLog("standard input", os.Stdin, errOut)
	}
	var all []joblog.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, exitError{errors.Wrap(err, "bramleysail"), ExitInvalid}
		}
		lines, err := readLog(name, f, errOut)
		if closeErr := f.Close(); err == nil {
			err = errors.Wrap(closeErr, "bramleysail")
		}
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads one log and reports on errOut how many of its lines are unreadable.
func readLog(name string, in io.Reader, errOut io.Writer) ([]joblog.Line, error) {
	lines, skipped, err := joblog.ReadLines(in)
	if skipped > 0 {
		fmt.Fprintf(errOut, "%s: skipped %d unreadable lines\n", name, skipped)
	}
	return lines, err
}
