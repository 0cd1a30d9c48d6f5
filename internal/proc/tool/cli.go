package tool

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/base/telem"
	"bramleysail.example/bramleysail/internal/ctrl/sheet"
	"bramleysail.example/bramleysail/internal/proc/demo"
	"bramleysail.example/bramleysail/internal/proc/node"
)

// Exit codes of the command line.
const (
	ExitOK                = 0
	ExitFailed            = 1 // the command could not be carried out
	ExitInvalid           = 2 // the input is invalid; nothing was changed
	ExitConflict          = 3 // the configuration or job was changed by someone else; the command changed nothing
	ExitOutcomeUnknown    = 4 // no answer came; the change may be in force, which a read shows
	ExitGuaranteeViolated = 5 // the demo found a guarantee violated
)

// exitHelp describes the exit codes in the help text.
const exitHelp = `Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 outcome unknown, 5 promise broken (demo).`

// Run executes the command line args, whose first element is the program's name, and returns the exit
// code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cli.Command{
		Name:           "bramleysail",
		Usage:          "schedules latency-critical services and batch work on shared hosts",
		Description:    exitHelp,
		Writer:         out,
		ErrWriter:      errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			demoCommand(out), serveCommand(errOut), hostCommand(out), checkCommand(out), sheetCommand(out), domainCommand(out), jobCommand(out), statusCommand(out), standinCommand(out), modelCommand(out), explainCommand(out, errOut), reportCommand(out, errOut),
		},
	}
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, err)
	return exitCode(err)
}

// exitError is an error with the exit code to which it leads.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without the exit code.
func (e exitError) Unwrap() error { return e.error }

// exitCode returns the exit code to which an error leads.
func exitCode(err error) int {
	var e exitError
	var configErrs conf.Errors
	switch {
	case errors.As(err, &e):
		return e.code
	case errors.As(err, &configErrs):
		return ExitInvalid
	}
	return ExitFailed
}

// singleArgument returns the command's only argument. The error for any other number of arguments names it what.
func singleArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", exitError{errors.Errorf("bramleysail: %s takes exactly one %s, see --help", c.Name, what), ExitInvalid}
	}
	return c.Args().First(), nil
}

func serveCommand(errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "run one entry process until SIGTERM or SIGINT",
		Description: "Example: bramleysail serve --settings examples/association.toml",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in TOML; defaults without"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := conf.Default()
			if f := c.String("settings"); f != "" {
				var err error
				if s, err = conf.Load(f); err != nil {
					return err
				}
			}
			return runNode(ctx, s, errOut)
		},
	}
}

func demoCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run the main job on embedded stand-ins, bring about faults and check the promises",
		Description: "It takes under a minute, needs nothing but loopback, and exits with 5 if a promise was broken.",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "hosts", Usage: "the demo of entry hosts of which one holds, as on the users' platform"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			run := demo.Run
			if c.Bool("hosts") {
				run = demo.RunHosts
			}
			broken, err := run(ctx, out)
			if err == nil && len(broken) > 0 {
				err = exitError{errors.Errorf("bramleysail: %d guarantees were violated", len(broken)), ExitGuaranteeViolated}
			}
			return err
		},
	}
}

// runNode runs an entry process until a signal arrives or a listener fails.
func runNode(ctx context.Context, s conf.Settings, errOut io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := node.Start(s, telem.NewLogger(errOut, s.Log.Level))
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-n.ListenerFailed():
		err = errors.New("bramleysail: an HTTP listener failed")
	}
	// From here on, a second signal ends the process at once.
	stop()
	if stopErr := n.Stop(context.Background()); err == nil {
		err = stopErr
	}
	return err
}

func checkCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check a settings file or, with --sheet, a sheet; every fault is listed",
		ArgsUsage:   "FILE",
		Description: "Examples: bramleysail check examples/association.toml\n          bramleysail check --sheet examples/association.sheet.toml",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "sheet", Usage: "the file is a sheet"},
			&cli.BoolFlag{Name: "host", Usage: "the file is the settings of a host on the users' platform"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			name, err := singleArgument(c, "FILE")
			if err != nil {
				return err
			}
			data, err := os.ReadFile(name)
			if err != nil {
				return exitError{errors.Wrap(err, "bramleysail"), ExitInvalid}
			}
			switch text := string(data); {
			case c.Bool("sheet"):
				_, err = sheet.Parse(text)
			case c.Bool("host"):
				_, err = conf.ParseHost(text)
			default:
				_, err = conf.Parse(text)
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%s: ok\n", name)
			return nil
		},
	}
}
