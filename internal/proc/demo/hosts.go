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

// Parameters of the demo that RunHosts runs.
const (
	jobsPerScene = 8 // jobs submitted in each scene that submits any
	tasksPerStep = 4
	hostTaskTime = 300 * time.Millisecond // how long a task runs
	outageTime   = 2 * time.Second        // how long the store does not answer
	callTimeout  = 2 * time.Second        // deadline of a caller's request
)

// hostDemo is one run of the demo of entry hosts that elect a holder, as on a platform whose
// store keeps all durable state.
type hostDemo struct {
	output     io.Writer     // receives the progress
	store      *txkv.Service // stand-in for the platform's key-value service
	fleet      *fleet.Fleet  // stand-in for the platform's workers
	hosts      []*entryHost  // the entry hosts that have not been stopped
	jobIDs     []string      // of the acknowledged jobs
	violations []string      // guarantees found violated
}

// entryHost is an entry host. Its store client can be made to fail.
type entryHost struct {
	name      string
	process   *front.Process
	forwarder *front.Forwarder // handles the requests of callers

	mu        sync.Mutex // guards storeMode
	storeMode txkv.Mode  // how the store treats calls of this host
}

// setStoreMode sets how the store treats later calls of the host.
func (h *entryHost) setStoreMode(m txkv.Mode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeMode = m
}

// getStoreMode returns how the store treats calls of the host.
func (h *entryHost) getStoreMode() txkv.Mode {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.storeMode
}

// RunHosts runs the demo of entry hosts that elect a holder, which schedules all jobs. Jobs of
// two steps must continue while the store is unreachable, after the holder has lost the store,
// and while a host is stopped. RunHosts prints its progress to out and returns the guarantees
// that were violated.
func RunHosts(ctx context.Context, out io.Writer) (violations []string, err error) {
	d := &hostDemo{output: out, store: &txkv.Service{}}
	d.fleet = fleet.New(workerCount, wire.Size{CPU: 16000, Mem: 64000}, rand.New(rand.NewPCG(1, 1)), func(string) (time.Duration, sched.End) {
		return hostTaskTime, sched.EndDone
	})
	defer func() {
		if stopErr := d.stop(); err == nil {
			err = stopErr
		}
	}()
	if err := d.start(); err != nil {
		return nil, err
	}
	err = d.runScenes(ctx)
	return d.violations, err
}

// start writes the configuration and the directory of workers, and starts the entry hosts.
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
		settings := conf.HostSettings{
			Name: h.name, Zone: zones[i], MetricsAddr: "127.0.0.1:0",
			Listen: conf.HostListen{Caller: "127.0.0.1:0", Ready: "127.0.0.1:0", Peer: "127.0.0.1:0"},
			Store:  conf.HostStore{MinLeaseMillis: 1000},
			Bound:  conf.Bound{MaxWorkerLeaseMillis: 6000, MaxStopMillis: 200, GraceSeconds: 6, JobRetentionSeconds: 120},
		}
		var err error
		h.process, err = front.Start(settings, front.Adapters{
			Store: d.store.Client(h.getStoreMode), WorkerClient: d.fleet.Client(func(sched.Member) bool { return false }), Codec: codec.New(),
			CallerHandler: func(forwarder *front.Forwarder) http.Handler {
				h.forwarder = forwarder
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

// stop stops the remaining hosts concurrently and returns the first error.
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

// runScenes runs the scenes in order.
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

// callUntilAccepted repeats a request at a host until the host does not refuse it, for at most
// waitTimeout.
func (d *hostDemo) callUntilAccepted(ctx context.Context, h *entryHost, request drive.Request) (drive.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, callTimeout)
		reply := h.forwarder.Handle(callCtx, request)
		cancelCall()
		if reply.Result != drive.ResultRefused {
			return reply, nil
		}
		if !wait.For(ctx, 50*time.Millisecond) {
			return reply, errors.Errorf("demo: %s still refuses the request: %s", h.name, reply.Why)
		}
	}
}

// submitJobs submits jobsPerScene jobs of two steps, at each host in turn.
func (d *hostDemo) submitJobs(ctx context.Context) error {
	firstStep := sched.Step{Count: tasksPerStep, Size: wire.Size{CPU: 1000, Mem: 1000}, Estimate: hostTaskTime}
	secondStep := firstStep
	secondStep.DependsOn = []int{0}
	body, err := json.Marshal(sched.Job{Spec: "book", Steps: []sched.Step{firstStep, secondStep}})
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	for i := range jobsPerScene {
		id := fmt.Sprintf("book%d", len(d.jobIDs))
		reply, err := d.callUntilAccepted(ctx, d.hosts[i%len(d.hosts)], drive.Request{Verb: drive.VerbSubmit, Host: "demo", Path: "/books/" + id, Job: body})
		if err != nil {
			return err
		}
		if reply.Result != drive.ResultDone {
			return errors.Errorf("demo: submission of job %s: %s %s", id, reply.Result, reply.Why)
		}
		d.jobIDs = append(d.jobIDs, id)
	}
	return nil
}

// storeOutage makes the store refuse all calls for outageTime. A job submitted then must not be
// acknowledged.
func (d *hostDemo) storeOutage(ctx context.Context) error {
	d.store.SetMode(txkv.ModeBusy)
	wait.For(ctx, outageTime)
	callCtx, cancelCall := context.WithTimeout(ctx, callTimeout)
	defer cancelCall()
	reply := d.hosts[0].forwarder.Handle(callCtx, drive.Request{Verb: drive.VerbSubmit, Host: "demo", Path: "/books/refused", Job: []byte(`{"steps":[{"count":1}]}`)})
	if reply.Result == drive.ResultDone {
		d.violations = append(d.violations, "a hand-in was acknowledged with the store away")
	}
	d.store.SetMode("")
	return d.submitJobs(ctx)
}

// replaceHolder makes the store silent for each host in turn and removes the holder's key, so
// that the holder loses its term and another host takes over.
func (d *hostDemo) replaceHolder(ctx context.Context) error {
	for _, h := range d.hosts {
		h.setStoreMode(txkv.ModeSilent)
		d.store.RemoveKey("lead/holder")
		wait.For(ctx, outageTime)
		h.setStoreMode("")
	}
	return d.submitJobs(ctx)
}

// stopHost stops the last host in an orderly way.
func (d *hostDemo) stopHost(context.Context) error {
	last := len(d.hosts) - 1
	stopping := d.hosts[last]
	d.hosts = d.hosts[:last]
	return stopping.process.Stop(context.Background())
}

// checkResults waits until all acknowledged jobs are completed and checks that each task was
// started once.
func (d *hostDemo) checkResults(ctx context.Context) error {
	for i, id := range d.jobIDs {
		if err := d.awaitJob(ctx, d.hosts[i%len(d.hosts)], id); err != nil {
			return err
		}
	}
	// A task may be started again if a lease has expired, as happens when the machine pauses for seconds.
	leaseExpired := d.fleet.ExpiredRuns() > 0
	for task, n := range d.fleet.Starts() {
		if n != 1 && !leaseExpired {
			d.violations = append(d.violations, fmt.Sprintf("%s was started %d times", task, n))
		}
	}
	d.violations = append(d.violations, d.fleet.Violations()...)
	fmt.Fprintf(d.output, "%d books of %d tasks finished, promises broken: %d\n", len(d.jobIDs), 2*tasksPerStep, len(d.violations))
	return nil
}

// awaitJob waits until a job is completed. An acknowledged job that is unknown is a violation.
func (d *hostDemo) awaitJob(ctx context.Context, h *entryHost, id string) error {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		reply, err := d.callUntilAccepted(ctx, h, drive.Request{Verb: drive.VerbState, Host: "demo", Path: "/books/" + id})
		if err != nil {
			return err
		}
		switch {
		case reply.Result == drive.ResultNoJob:
			d.violations = append(d.violations, id+" was acknowledged and isn't known")
			return nil
		case reply.State == sched.StateCompleted:
			return nil
		}
		wait.For(ctx, 50*time.Millisecond)
	}
	return errors.Errorf("demo: job %s was not completed in time", id)
}
