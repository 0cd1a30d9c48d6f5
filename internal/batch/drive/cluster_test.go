package drive_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	fakecrew "bramleysail.example/bramleysail/internal/fake/crew"
	"bramleysail.example/bramleysail/internal/fake/multi"
	"bramleysail.example/bramleysail/internal/fake/plain"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// testCluster is some hosts with a store and workers, for use in a bubble of virtual time.
type testCluster struct {
	t       *testing.T
	store   *multi.Service
	workers *fakecrew.Crew
	hosts   []*host

	wrapWorkers func(drive.WorkerClient) drive.WorkerClient // around the crew as each host reaches it; nil: nothing

	wrapStore func(store.Multi) store.Multi // around the store as each host reaches it; nil: nothing

	mu      sync.Mutex
	cutZone string // failure domain that is cut off from everything else
}

// setCutZone cuts a failure domain off from the other ones and the store, or, empty, nothing.
func (f *testCluster) setCutZone(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutZone = zone
}

func (f *testCluster) partitioned(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutZone != "" && (a == f.cutZone) != (b == f.cutZone)
}

// host is one process that may hold.
type host struct {
	f        *testCluster
	name     string
	zone     string
	cpu      *processor
	capacity atomic.Int64 // see lead.Options

	mu     sync.Mutex
	mode   multi.Mode
	holder *drive.Holder
	term   int64
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newTestCluster(t *testing.T, hosts, workers int, rng *rand.Rand, work func(string) (time.Duration, sched.End)) *testCluster {
	f := &testCluster{t: t, store: &multi.Service{}}
	f.workers = fakecrew.New(workers, wire.Size{CPU: 16000, Mem: 64000}, rng, work)
	f.configure(sched.Config{Version: 1, Queues: []sched.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Tries: 3, Stretch: 2, Aim: time.Second}}})
	f.listWorkers()
	f.addHosts(hosts, 0, 0)
	return f
}

// addHosts starts n further hosts whose processors need so long for a turn and which carry so many workers.
func (f *testCluster) addHosts(n int, turn time.Duration, carries int) {
	for range n {
		i := len(f.hosts)
		h := &host{f: f, name: fmt.Sprintf("host%d", i), zone: fmt.Sprintf("z%d", i%3), cpu: &processor{}}
		h.setSpeed(turn, carries)
		f.hosts = append(f.hosts, h)
		h.start()
	}
}

// setSpeed sets how long the host's processor needs for a turn from now on, and how many workers it carries so.
func (h *host) setSpeed(turn time.Duration, carries int) {
	h.cpu.setTurn(turn)
	h.capacity.Store(int64(carries))
}

func (f *testCluster) configure(c sched.Config) {
	if err := plain.Configure(f.store, c); err != nil {
		f.t.Fatal(err)
	}
}

// listWorkers writes the workers into the directory.
func (f *testCluster) listWorkers() {
	if err := plain.List(f.store, f.workers.Members()); err != nil {
		f.t.Fatal(err)
	}
}

func (h *host) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.cpu = &processor{turn: h.cpu.turn} // nothing of the former life waits
	var client store.Multi = &slowStore{cpu: h.cpu, Multi: h.f.store.Client(func() multi.Mode {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.f.partitioned(h.zone, "store") {
			return multi.ModeSilent
		}
		return h.mode
	})}
	if h.f.wrapStore != nil {
		client = h.f.wrapStore(client)
	}
	var crew drive.WorkerClient = &slowWorkers{cpu: h.cpu, WorkerClient: h.f.workers.From(func(w sched.Member) bool { return h.f.partitioned(h.zone, w.Zone) })}
	if h.f.wrapWorkers != nil {
		crew = h.f.wrapWorkers(crew)
	}
	l := lead.New(lead.Options{Store: client, Name: h.name, Addr: h.name, LeaseTTL: drive.HolderLease, Log: logr.Discard(), HolderAlive: h.f.isHolding, Capacity: func() int { return int(h.capacity.Load()) }})
	h.wg.Go(func() {
		l.Run(ctx, func(t *lead.Tenure) {
			_ = drive.Run(drive.Options{ // its error tells of the tenure's end
				Store: client, Workers: crew, Codec: plain.Codec(), Tenure: t, Log: logr.Discard(),
				WorkerLease: drive.WorkerLease(fakecrew.MaxHold), MaxWorkerLease: fakecrew.MaxHold, MaxUnconfirmed: drive.MaxUnconfirmed, MaxStopTime: fakecrew.MaxStop, JobRetention: time.Hour,
			}, func(d *drive.Holder) { h.setHolder(d, t.Term()) })
			h.setHolder(nil, 0)
		})
	})
}

func (f *testCluster) isHolding(_ context.Context, holder lead.Holder) bool {
	for _, h := range f.hosts {
		if h.name == holder.Name {
			d, _ := h.currentHolder()
			return d != nil
		}
	}
	return false
}

func (h *host) setHolder(d *drive.Holder, term int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder, h.term = d, term
}

func (h *host) currentHolder() (*drive.Holder, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder, h.term
}

// setMode sets how the store treats the host.
func (h *host) setMode(m multi.Mode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mode = m
}

// kill ends the process without a word.
func (h *host) kill() {
	h.cancel()
	h.wg.Wait()
}

func (f *testCluster) stop() {
	for _, h := range f.hosts {
		h.kill()
	}
}

// holder returns the process that holds with the newest term, or nil.
func (f *testCluster) holder() *host {
	var best *host
	var newest int64
	for _, h := range f.hosts {
		if d, term := h.currentHolder(); d != nil && term > newest {
			best, newest = h, term
		}
	}
	return best
}

// request asks the holder, waiting for one up to limit.
func (f *testCluster) request(limit time.Duration, a drive.Request) drive.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for ctx.Err() == nil {
		if h := f.holder(); h != nil {
			if d, _ := h.currentHolder(); d != nil {
				return d.Handle(ctx, a)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return drive.RefusedReply("no holder", time.Second)
}

func (f *testCluster) submit(id string, steps ...sched.Step) drive.Reply {
	data, err := json.Marshal(sched.Job{Spec: "x", Steps: steps})
	if err != nil {
		f.t.Fatal(err)
	}
	return f.request(2*time.Second, drive.Request{Verb: drive.VerbSubmit, Host: "h", Path: "/q/" + id, Job: data})
}

func (f *testCluster) state(id string) drive.Reply {
	return f.request(2*time.Second, drive.Request{Verb: drive.VerbState, Host: "h", Path: "/q/" + id})
}

func newStep(n int, after ...int) sched.Step {
	return sched.Step{Count: n, Size: wire.Size{CPU: 1000, Mem: 1000}, Estimate: time.Second, DependsOn: after}
}

// awaitState waits up to limit for a job's state.
func (f *testCluster) awaitState(limit time.Duration, id string, want sched.State) {
	f.t.Helper()
	end := time.Now().Add(limit)
	var got drive.Reply
	for time.Now().Before(end) {
		if got = f.state(id); got.State == want {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Errorf("job %s: %+v, want %s", id, got, want)
}
