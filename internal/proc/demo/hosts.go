package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/fake/codec"
	"bramleysail.example/bramleysail/internal/fake/fleet"
	"bramleysail.example/bramleysail/internal/fake/txkv"
	"bramleysail.example/bramleysail/internal/proc/front"
)

// Figures of the second demo.
const (
	hostJobs  = 8                      // in each scene
	hostWidth = 4                      // tasks of a step
	hostTask  = 300 * time.Millisecond // of a task
	hostAway  = 2 * time.Second        // for which the store is away
	hostAsk   = 2 * time.Second        // a caller's deadline
)

// hostDemo is a run of the second demo: entry hosts of which one holds, as on a platform whose
// store keeps what must last.
type hostDemo struct {
	out    io.Writer
	store  *txkv.Service
	crew   *fleet.Fleet
	all    []*demoHost
	jobs   []string
	broken []string
}

type demoHost struct {
	name string
	host *front.Process
	desk *front.Forwarder

	mu   sync.Mutex
	mode txkv.Mode
}

func (h *demoHost) set(m txkv.Mode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mode = m
}

func (h *demoHost) get() txkv.Mode {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mode
}

// RunHosts runs the demo of entry hosts of which one holds all jobs: jobs of two steps go on
// while the store is away, while it turns the holder away, and while a host is stopped. It
// shows its progress on out and returns the promises that were broken.
func RunHosts(ctx context.Context, out io.Writer) (broken []string, err error) {
	d := &hostDemo{out: out, store: &txkv.Service{}}
	d.crew = fleet.New(workers, wire.Size{CPU: 16000, Mem: 64000}, rand.New(rand.NewPCG(1, 1)), func(string) (time.Duration, sched.End) {
		return hostTask, sched.EndDone
	})
	defer func() {
		if serr := d.stop(); err == nil {
			err = serr
		}
	}()
	if err := d.start(); err != nil {
		return nil, err
	}
	err = d.play(ctx)
	return d.broken, err
}

func (d *hostDemo) start() error {
	queue := sched.Queue{Name: "books", Host: "demo", Prefix: "/books/", Service: "s", Tries: 3, Stretch: 2, Aim: time.Second}
	if err := codec.WriteConfig(d.store, sched.Config{Version: 1, Queues: []sched.Queue{queue}}); err != nil {
		return err
	}
	if err := codec.WriteMembers(d.store, d.crew.Members()); err != nil {
		return err
	}
	for i := range entries {
		h := &demoHost{name: fmt.Sprintf("host%d", i)}
		set := conf.HostSettings{
			Name: h.name, Zone: zones[i], MetricsAddr: "127.0.0.1:0",
			Listen: conf.HostListen{Caller: "127.0.0.1:0", Ready: "127.0.0.1:0", Peer: "127.0.0.1:0"},
			Store:  conf.HostStore{MinLeaseMillis: 1000},
			Bound:  conf.Bound{MaxWorkerLeaseMillis: 6000, MaxStopMillis: 200, GraceSeconds: 6, JobRetentionSeconds: 120},
		}
		var err error
		h.host, err = front.Start(set, front.Adapters{
			Store: d.store.Client(h.get), WorkerClient: d.crew.Client(func(sched.Member) bool { return false }), Codec: codec.New(),
			CallerHandler: func(desk *front.Forwarder) http.Handler {
				h.desk = desk
				return http.NotFoundHandler()
			},
			ReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
		}, logr.Discard())
		if err != nil {
			return err
		}
		d.all = append(d.all, h)
	}
	return nil
}

func (d *hostDemo) stop() error {
	var wg sync.WaitGroup
	errs := make([]error, len(d.all))
	for i, h := range d.all {
		wg.Go(func() { errs[i] = h.host.Stop(context.Background()) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *hostDemo) play(ctx context.Context) error {
	scenes := []struct {
		name string
		do   func(context.Context) error
	}{
		{"photo books handed in at every host", d.handIn},
		{"the store away for all: work goes on, hand-ins are refused at once", d.away},
		{"the store turns the holder away: another takes over", d.turnAway},
		{"a host is stopped", d.stopOne},
		{"every book finished, each task once", d.finish},
	}
	for i, s := range scenes {
		fmt.Fprintf(d.out, "%d/%d %s\n", i+1, len(scenes), s.name)
		if err := s.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// ask asks a host until it doesn't refuse.
func (d *hostDemo) ask(ctx context.Context, h *demoHost, a drive.Request) (drive.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, patient)
	defer cancel()
	for {
		once, end := context.WithTimeout(ctx, hostAsk)
		rep := h.desk.Handle(once, a)
		end()
		if rep.Result != drive.ResultRefused {
			return rep, nil
		}
		if !wait.For(ctx, 50*time.Millisecond) {
			return rep, errors.Errorf("demo: %s refuses on: %s", h.name, rep.Why)
		}
	}
}

func (d *hostDemo) handIn(ctx context.Context) error {
	step := sched.Step{Count: hostWidth, Size: wire.Size{CPU: 1000, Mem: 1000}, Estimate: hostTask}
	second := step
	second.DependsOn = []int{0}
	data, err := json.Marshal(sched.Job{Spec: "book", Steps: []sched.Step{step, second}})
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	for i := range hostJobs {
		id := fmt.Sprintf("book%d", len(d.jobs))
		rep, err := d.ask(ctx, d.all[i%len(d.all)], drive.Request{Verb: drive.VerbSubmit, Host: "demo", Path: "/books/" + id, Job: data})
		if err != nil {
			return err
		}
		if rep.Result != drive.ResultDone {
			return errors.Errorf("demo: hand-in of %s: %s %s", id, rep.Result, rep.Why)
		}
		d.jobs = append(d.jobs, id)
	}
	return nil
}

func (d *hostDemo) away(ctx context.Context) error {
	d.store.SetMode(txkv.ModeBusy)
	wait.For(ctx, hostAway)
	once, end := context.WithTimeout(ctx, hostAsk)
	defer end()
	rep := d.all[0].desk.Handle(once, drive.Request{Verb: drive.VerbSubmit, Host: "demo", Path: "/books/refused", Job: []byte(`{"steps":[{"count":1}]}`)})
	if rep.Result == drive.ResultDone {
		d.broken = append(d.broken, "a hand-in was acknowledged with the store away")
	}
	d.store.SetMode("")
	return d.handIn(ctx)
}

func (d *hostDemo) turnAway(ctx context.Context) error {
	for _, h := range d.all {
		h.set(txkv.ModeSilent)
		d.store.RemoveKey("lead/holder")
		wait.For(ctx, hostAway)
		h.set("")
	}
	return d.handIn(ctx)
}

func (d *hostDemo) stopOne(context.Context) error {
	last := len(d.all) - 1
	h := d.all[last]
	d.all = d.all[:last]
	return h.host.Stop(context.Background())
}

func (d *hostDemo) finish(ctx context.Context) error {
	for i, id := range d.jobs {
		if err := d.await(ctx, d.all[i%len(d.all)], id); err != nil {
			return err
		}
	}
	// A task is begun anew where a lease lapsed, as on a machine that stood still for seconds.
	lapsed := d.crew.ExpiredRuns() > 0
	for task, n := range d.crew.Starts() {
		if n != 1 && !lapsed {
			d.broken = append(d.broken, fmt.Sprintf("%s was started %d times", task, n))
		}
	}
	d.broken = append(d.broken, d.crew.Violations()...)
	fmt.Fprintf(d.out, "%d books of %d tasks finished, promises broken: %d\n", len(d.jobs), 2*hostWidth, len(d.broken))
	return nil
}

// await waits until a job is completed.
func (d *hostDemo) await(ctx context.Context, h *demoHost, id string) error {
	end := time.Now().Add(patient)
	for time.Now().Before(end) {
		rep, err := d.ask(ctx, h, drive.Request{Verb: drive.VerbState, Host: "demo", Path: "/books/" + id})
		if err != nil {
			return err
		}
		switch {
		case rep.Result == drive.ResultNoJob:
			d.broken = append(d.broken, id+" was acknowledged and isn't known")
			return nil
		case rep.State == sched.StateCompleted:
			return nil
		}
		wait.For(ctx, 50*time.Millisecond)
	}
	return errors.Errorf("demo: %s is never completed", id)
}
