package tool

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bramleysail.example/bramleysail/internal/batch/wire"
	fakehosts "bramleysail.example/bramleysail/internal/fake/hosts"
	fakestore "bramleysail.example/bramleysail/internal/fake/store"
	faketarget "bramleysail.example/bramleysail/internal/fake/target"
	fakeworker "bramleysail.example/bramleysail/internal/fake/worker"
)

// standinCommand returns the command that runs one stand-in (an imitation of a part of the platform)
// as a separate process.
func standinCommand(out io.Writer) *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on"}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for a part of the platform, for trials and tests",
		Commands: []*cli.Command{
			{
				Name: "store", Usage: "the key-value service", Flags: []cli.Flag{listen},
				Action: func(ctx context.Context, c *cli.Command) error {
					return runStandin(ctx, out, c, &http.Server{Handler: new(fakestore.Store).Handler()})
				},
			},
			{
				Name: "hosts", Usage: "the host list", Flags: []cli.Flag{listen},
				Action: func(ctx context.Context, c *cli.Command) error {
					return runStandin(ctx, out, c, &http.Server{Handler: new(fakehosts.List)})
				},
			},
			{
				Name: "target", Usage: "a target of a service",
				Flags: []cli.Flag{listen, &cli.IntFlag{Name: "slots", Value: 8}, &cli.DurationFlag{Name: "work", Value: 20 * time.Millisecond}},
				Action: func(ctx context.Context, c *cli.Command) error {
					return runStandin(ctx, out, c, faketarget.New(c.Int("slots"), c.Duration("work")).Server())
				},
			},
			{
				Name: "worker", Usage: "a worker",
				Flags: []cli.Flag{listen, &cli.IntFlag{Name: "cpu", Value: 60000}, &cli.IntFlag{Name: "mem", Value: 250000},
					&cli.IntFlag{Name: "accel"}, &cli.DurationFlag{Name: "lag", Value: 500 * time.Millisecond}},
				Action: func(ctx context.Context, c *cli.Command) error {
					size := wire.Size{CPU: c.Int("cpu"), Mem: c.Int("mem"), Accel: c.Int("accel")}
					return runStandin(ctx, out, c, &http.Server{Handler: fakeworker.New(size, c.Duration("lag")).Handler()})
				},
			},
		},
	}
}

// runStandin serves a stand-in until SIGTERM or SIGINT. It prints the address on which it listens.
func runStandin(ctx context.Context, out io.Writer, c *cli.Command, s *http.Server) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return errors.Wrap(err, "bramleysail")
	}
	fmt.Fprintf(out, "listening %s\n", l.Addr())
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "bramleysail")
	}
	return nil
}
