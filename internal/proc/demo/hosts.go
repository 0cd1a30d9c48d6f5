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
	jobsPerScene = 8                      // in each scene
	tasksPerStep = 4                      // tasks of a step
	hostTaskTime = 300 * time.Millisecond // of a task
	outageTime   = 2 * time.Second        // for which the store is away
	callTimeout  = 2 * time.Second        // a caller's deadline
)

// hostDemo is a run of the second demo: entry hosts of which one holds, as on a platform whose
// store keeps what must last.
type hostDemo struct {
	output     io.Writer
	store      *txkv.Service
	fleet      *fleet.Fleet
	hosts      []*entryHost
	jobIDs     []string
	violations []string
}

type entryHost struct {
	name      string
	process   *front.Process
	forwarder *front.Forwarder

	mu        sync.Mutex
	storeMode txkv.Mode
}

func (h *entryHost) setStoreMode(m txkv.Mode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeMode = m
}

func (h *entryHost) getStoreMode() txkv.Mode {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.storeMode
}

// RunHosts runs the demo of entry hosts of which one holds all jobs: jobs of two steps go on
// while the store is away, while it turns the holder away, and while a host is stopped. It
// shows its progress on out and returns the promises that were broken.
func RunHosts(ctx context.Context, out io.Writer) (broken []string, err error) {
	d := &hostDemo{output: out, store: &txkv.Service{}}
	d.fleet = fleet.New(workerCount, wire.Size{CPU: 16000, Mem: 64000}, rand.New(rand.NewPCG(1, 1)), func(string) (time.Duration, sched.End) {
		return hostTaskTime, sched.EndDone
	})
	defer func() {
		if serr := d.stop(); err == nil {
			err = serr
		}
	}()
	if err := d.start(); err != nil {
		return nil, err
	}
	err = d.runScenes(ctx)
	return d.violations, err
}

func (d *hostDemo) start() error {
	queue := sched.Queue{Name: "books", Host: "demo", Prefix: "/books/", Service: "s", Tries: 3, Stretch: 2, Aim: time.Second}
	if err := codec.WriteConfig(d.store, sched.Config{Version: 1, Queues: []sched.Queue{queue}}); err != nil {
		return err
	}
	if err := codec.WriteMembers(d.store, d.fleet.Members()); err != nil {
		return err
	}
	for i := range entryCount {
		h := &entryHost{name: fmt.Sprintf("host%d", i)}
		set := conf.HostSettings{
			Name: h.name, Zone: zones[i], MetricsAddr: "127.0.0.1:0",
			Listen: conf.HostListen{Caller: "127.0.0.1:0", Ready: "127.0.0.1:0", Peer: "127.0.0.1:0"},
			Store:  conf.HostStore{MinLeaseMillis: 1000},
			Bound:  conf.Bound{MaxWorkerLeaseMillis: 6000, MaxStopMillis: 200, GraceSeconds: 6, JobRetentionSeconds: 120},
		}
		var err error
		h.process, err = front.Start(set, front.Adapters{
			Store: d.store.Client(h.getStoreMode), WorkerClient: d.fleet.Client(func(sched.Member) bool { return false }), Codec: codec.New(),
			CallerHandler: func(desk *front.Forwarder) http.Handler {
				h.forwarder = desk
				return http.NotFoundHandler()
			},
			ReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
		}, logr.Discard())
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
	}
	return nil
}

func (d *hostDemo) stop() error {
	var wg sync.WaitGroup
	errs := make([]error, len(d.hosts))
	for i, h := range d.hosts {
		wg.Go(func() { errs[i] = h.process.Stop(context.Background()) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *hostDemo) runScenes(ctx context.Context) error {
	scenes := []struct {
		name string
		do   func(context.Context) error
	}{
		{"photo books handed in at every host", d.submitJobs},
		{"the store away for all: work goes on, hand-ins are refused at once", d.storeOutage},
		{"the store turns the holder away: another takes over", d.replaceHolder},
		{"a host is stopped", d.stopHost},
		{"every book finished, each task once", d.checkResults},
	}
	for i, s := range scenes {
		fmt.Fprintf(d.output, "%d/%d %s\n", i+1, len(scenes), s.name)
		if err := s.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// callUntilAccepted asks a host until it doesn't refuse.
func (d *hostDemo) callUntilAccepted(ctx context.Context, h *entryHost, a drive.Request) (drive.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		once, end := context.WithTimeout(ctx, callTimeout)
		rep := h.forwarder.Handle(once, a)
		end()
		if rep.Result != drive.ResultRefused {
			return rep, nil
		}
		if !wait.For(ctx, 50*time.Millisecond) {
			return rep, errors.Errorf("demo: %s refuses on: %s", h.name, rep.Why)
		}
	}
}

func (d *hostDemo) submitJobs(ctx context.Context) error {
	step := sched.Step{Count: tasksPerStep, Size: wire.Size{CPU: 1000, Mem: 1000}, Estimate: hostTaskTime}
	second := step
	second.DependsOn = []int{0}
	data, err := json.Marshal(sched.Job{Spec: "book", Steps: []sched.Step{step, second}})
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	for i := range jobsPerScene {
		id := fmt.Sprintf("book%d", len(d.jobIDs))
		rep, err := d.callUntilAccepted(ctx, d.hosts[i%len(d.hosts)], drive.Request{Verb: drive.VerbSubmit, Host: "demo", Path: "/books/" + id, Job: data})
		if err != nil {
			return err
		}
		if rep.Result != drive.ResultDone {
			return errors.Errorf("demo: hand-in of %s: %s %s", id, rep.Result, rep.Why)
		}
		d.jobIDs = append(d.jobIDs, id)
	}
	return nil
}

func (d *hostDemo) storeOutage(ctx context.Context) error {
	d.store.SetMode(txkv.ModeBusy)
	wait.For(ctx, outageTime)
	once, end := context.WithTimeout(ctx, callTimeout)
	defer end()
	rep := d.hosts[0].forwarder.Handle(once, drive.Request{Verb: drive.VerbSubmit, Host: "demo", Path: "/books/refused", Job: []byte(`{"steps":[{"count":1}]}`)})
	if rep.Result == drive.ResultDone {
		d.violations = append(d.violations, "a hand-in was acknowledged with the store away")
	}
	d.store.SetMode("")
	return d.submitJobs(ctx)
}

func (d *hostDemo) replaceHolder(ctx context.Context) error {
	for _, h := range d.hosts {
		h.setStoreMode(txkv.ModeSilent)
		d.store.RemoveKey("lead/holder")
		wait.For(ctx, outageTime)
		h.setStoreMode("")
	}
	return d.submitJobs(ctx)
}

func (d *hostDemo) stopHost(context.Context) error {
	last := len(d.hosts) - 1
	h := d.hosts[last]
	d.hosts = d.hosts[:last]
	return h.process.Stop(context.Background())
}

func (d *hostDemo) checkResults(ctx context.Context) error {
	for i, id := range d.jobIDs {
		if err := d.awaitJob(ctx, d.hosts[i%len(d.hosts)], id); err != nil {
			return err
		}
	}
	// A task is begun anew where a lease lapsed, as on a machine that stood still for seconds.
	lapsed := d.fleet.ExpiredRuns() > 0
	for task, n := range d.fleet.Starts() {
		if n != 1 && !lapsed {
			d.violations = append(d.violations, fmt.Sprintf("%s was started %d times", task, n))
		}
	}
	d.violations = append(d.violations, d.fleet.Violations()...)
	fmt.Fprintf(d.output, "%d books of %d tasks finished, promises broken: %d\n", len(d.jobIDs), 2*tasksPerStep, len(d.violations))
	return nil
}

// awaitJob waits until a job is completed.
func (d *hostDemo) awaitJob(ctx context.Context, h *entryHost, id string) error {
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		rep, err := d.callUntilAccepted(ctx, h, drive.Request{Verb: drive.VerbState, Host: "demo", Path: "/books/" + id})
		if err != nil {
			return err
		}
		switch {
		case rep.Result == drive.ResultNoJob:
			d.violations = append(d.violations, id+" was acknowledged and isn't known")
			return nil
		case rep.State == sched.StateCompleted:
			return nil
		}
		wait.For(ctx, 50*time.Millisecond)
	}
	return errors.Errorf("demo: %s is never completed", id)
}
