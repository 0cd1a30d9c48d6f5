package tool

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/base/telem"
	"bramleysail.example/bramleysail/internal/proc/front"
	"bramleysail.example/bramleysail/platform"
)

// storeTimeout bounds a call of the key-value service: some 4 ms as a rule, and 90 times that
// when it is slow.
const storeTimeout = time.Second

func hostCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "host",
		Usage:       "run one entry process on the users' platform until SIGTERM or SIGINT",
		Description: "Example: bramleysail host --settings host.toml",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Usage: "settings `FILE` in TOML", Required: true, Sources: cli.EnvVars("BRAMLEYSAIL_CONFIG"),
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runHost(ctx, c.String("settings"), out)
		},
	}
}

func runHost(ctx context.Context, file string, out io.Writer) error {
	set, err := conf.LoadHost(file)
	if err != nil {
		return err
	}
	lines := telem.NewAsyncWriter(out)
	defer lines.Close()
	log := telem.NewLogger(lines, set.Log.Level).WithValues("host", set.Name)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	h, err := front.Start(set, front.Adapters{
		Store:            platform.NewStoreClient(set.Store.Addr, storeTimeout),
		WorkerClient:     platform.NewWorkerClient(front.MaxWorkerConns(set.Limit)),
		Codec:            platform.NewCodec(),
		CallerHandler:    func(d *front.Forwarder) http.Handler { return platform.NewCallerHandler(d) },
		ReadinessHandler: platform.NewReadinessHandler,
	}, log)
	if err != nil {
		return err
	}
	for {
		select {
		case <-hup:
			// Everything in the settings holds for a process's life; a changed file is checked
			// so that a mistake shows now and not at the next start.
			_, err := conf.LoadHost(file)
			log.Info("reload", "file", file, "valid", err == nil)
			continue
		case <-ctx.Done():
		case <-h.ListenerFailed():
			err = errors.New("bramleysail: a listener was lost")
		}
		break
	}
	stop()
	if serr := h.Stop(context.Background()); err == nil {
		err = serr
	}
	return err
}
