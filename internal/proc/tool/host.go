package tool

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/base/meter"
	"bramleysail.example/bramleysail/internal/base/telem"
	"bramleysail.example/bramleysail/internal/proc/front"
	"bramleysail.example/bramleysail/platform"
)

// storeTimeout is the timeout of a call of the key-value service. A call usually takes about 4 ms, and
// 90 times as long when the service is slow.
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

// runHost runs an entry process on the users' platform until SIGTERM, SIGINT or the failure of a listener.
func runHost(ctx context.Context, file string, out io.Writer) error {
	settings, err := conf.LoadHost(file)
	if err != nil {
		return err
	}
	if limit := front.SoftMemoryLimit(settings.Limit); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	logWriter := telem.NewAsyncWriter(out)
	defer logWriter.Close()
	log := telem.NewLogger(logWriter, settings.Log.Level).WithValues("host", settings.Name)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	counts := &meter.Meter{}
	process, err := front.Start(settings, front.Adapters{
		Store:            platform.NewStoreClient(platform.StoreOptions{Addr: settings.Store.Addr, CallTimeout: storeTimeout, Meter: counts}),
		WorkerClient:     platform.NewWorkerClient(front.MaxWorkerConns(settings.Limit), counts),
		Codec:            platform.NewCodec(),
		CallerHandler:    func(d *front.Forwarder) http.Handler { return platform.NewCallerHandler(d) },
		ReadinessHandler: platform.NewReadinessHandler,
		ReadMemory:       front.ReadMemory,
		Meter:            counts,
	}, log)
	if err != nil {
		return err
	}
	for {
		select {
		case <-hup:
			// Settings are fixed for the life of the process. The changed file is only checked,
			// so that an error in it is logged now instead of at the next start.
			_, err := conf.LoadHost(file)
			log.Info("reload", "file", file, "valid", err == nil)
			continue
		case <-ctx.Done():
		case <-process.ListenerFailed():
			err = errors.New("bramleysail: an HTTP listener failed")
		}
		break
	}
	stop()
	if stopErr := process.Stop(context.Background()); err == nil {
		err = stopErr
	}
	return err
}
