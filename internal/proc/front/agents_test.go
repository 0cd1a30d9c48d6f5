package front

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/fake/codec"
	"bramleysail.example/bramleysail/internal/fake/fleet"
	"bramleysail.example/bramleysail/internal/fake/txkv"
	"bramleysail.example/bramleysail/internal/peer/link"
)

// eventTimeout is how long tests wait for an event, as the machine that runs them may be busy.
const eventTimeout = 30 * time.Second

// countingWorkers counts the calls to workers of one process.
type countingWorkers struct {
	drive.WorkerClient
	calls atomic.Int64
}

// Poll implements drive.WorkerClient.
func (w *countingWorkers) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	w.calls.Add(1)
	return w.WorkerClient.Poll(ctx, req, fence)
}

// SendOrder implements drive.WorkerClient.
func (w *countingWorkers) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	w.calls.Add(1)
	return w.WorkerClient.SendOrder(ctx, o, fence)
}

// testHost is an entry process in the process of a test.
type testHost struct {
	*Process
	workers *countingWorkers
	killed  bool

	mu  sync.Mutex
	log []string
}

// logged reports whether a line contains all the texts.
func (h *testHost) logged(texts ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, line := range h.log {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			return true
		}
	}
	return false
}

// kill ends the process as if its host had lost power: connections break, nothing is handed over.
func (h *testHost) kill() {
	h.killed = true
	h.stopping.Store(true)
	h.peerServer.Close()
	h.agent.Close()
	h.cancel()
	for _, s := range h.httpServers {
		_ = s.Close()
	}
	h.wg.Wait()
}

// hostCluster is a set of entry processes with more workers than each of them has capacity for.
type hostCluster struct {
	t       *testing.T
	store   *txkv.Service
	workers *fleet.Fleet
	hosts   []*testHost
}

// newHostCluster starts n hosts with a capacity of 6 workers each. Tasks run until the end of the test.
func newHostCluster(t *testing.T, n, workers int) *hostCluster {
	t.Helper()
	c := &hostCluster{t: t, store: &txkv.Service{}}
	c.workers = fleet.New(workers, wire.Size{CPU: 16000, Mem: 64000}, rand.New(rand.NewPCG(1, 1)), func(string) (time.Duration, sched.End) { return time.Hour, sched.EndDone })
	if err := codec.WriteConfig(c.store, sched.Config{Version: 1, Queues: []sched.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Tries: 3, Stretch: 2, Aim: time.Second}}}); err != nil {
		t.Fatal(err)
	}
	if err := codec.WriteMembers(c.store, c.workers.Members()); err != nil {
		t.Fatal(err)
	}
	for range n {
		c.start(conf.HostLimit{MemoryMiB: 21.5})
	}
	t.Cleanup(func() {
		var wg sync.WaitGroup
		for _, h := range c.hosts {
			if !h.killed {
				wg.Go(func() {
					if err := h.Stop(context.Background()); err != nil {
						t.Error(err)
					}
				})
			}
		}
		wg.Wait()
	})
	return c
}

// start starts a further host.
func (c *hostCluster) start(limit conf.HostLimit) {
	c.t.Helper()
	const anyPort = "127.0.0.1:0"
	h := &testHost{workers: &countingWorkers{WorkerClient: c.workers.Client(func(sched.Member) bool { return false })}}
	log := funcr.New(func(_, args string) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.log = append(h.log, args)
	}, funcr.Options{})
	p, err := Start(conf.HostSettings{
		Name: fmt.Sprintf("host%d", len(c.hosts)), Zone: "z",
		Listen:      conf.HostListen{Caller: anyPort, Ready: anyPort, Peer: anyPort},
		MetricsAddr: anyPort,
		Store:       conf.HostStore{MinLeaseMillis: 1000},
		Bound:       conf.Bound{MaxWorkerLeaseMillis: 6000, MaxStopMillis: 200, GraceSeconds: 3, JobRetentionSeconds: 60},
		Limit:       limit,
	}, Adapters{
		Store: c.store.Client(nil), WorkerClient: h.workers, Codec: codec.New(),
		CallerHandler:    func(*Forwarder) http.Handler { return http.NotFoundHandler() },
		ReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
		TimeComputation:  func() time.Duration { return time.Millisecond },
	}, log)
	if err != nil {
		c.t.Fatal(err)
	}
	h.Process = p
	c.hosts = append(c.hosts, h)
}

// await waits until ok returns true.
func (c *hostCluster) await(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(eventTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("never came about: %s", what)
		}
	}
}

// holder waits for the holder and returns it.
func (c *hostCluster) holder() *testHost {
	c.t.Helper()
	var holder *testHost
	c.await("a holder", func() bool {
		for _, h := range c.hosts {
			if h.forwarder.localHolder() != nil {
				holder = h
			}
		}
		return holder != nil
	})
	return holder
}

// field returns the newest value of a key in lines with the given message, or "".
func (h *testHost) field(msg, key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, line := range slices.Backward(h.log) {
		if _, rest, found := strings.Cut(line, fmt.Sprintf(" %q=\"", key)); found && strings.Contains(line, fmt.Sprintf(`"msg"=%q`, msg)) {
			value, _, _ := strings.Cut(rest, `"`)
			return value
		}
	}
	return ""
}

// agents waits until the holder has chosen n agents that call workers, and returns them.
func (c *hostCluster) agents(holder *testHost, n int) []*testHost {
	c.t.Helper()
	var agents []*testHost
	c.await(fmt.Sprintf("%d agents", n), func() bool {
		agents = nil
		chosen := strings.Split(holder.field("agents", "chosen"), ",")
		for _, h := range c.hosts {
			if slices.Contains(chosen, h.field("start", "peer")) && h.workers.calls.Load() > 0 {
				agents = append(agents, h)
			}
		}
		return len(agents) == n
	})
	return agents
}

// submit submits a job of n long-running tasks to the holder.
func (c *hostCluster) submit(holder *testHost, id string, n int) {
	c.t.Helper()
	job, err := json.Marshal(sched.Job{Spec: "x", Steps: []sched.Step{{Count: n, Size: wire.Size{CPU: 1000, Mem: 1000}, LongRunning: true}}})
	if err != nil {
		c.t.Fatal(err)
	}
	if r := holder.forwarder.localHolder().Handle(context.Background(), drive.Request{Verb: drive.VerbSubmit, Host: "h", Path: "/q/" + id, Job: job}); r.Result != drive.ResultDone {
		c.t.Fatalf("submit %s: %+v", id, r)
	}
}

// check reports runs that ended with a lease, and tasks that ran twice.
func (c *hostCluster) check() {
	c.t.Helper()
	if n := c.workers.ExpiredRuns(); n != 0 {
		c.t.Errorf("%d runs ended by an expired lease", n)
	}
	for _, violation := range c.workers.Violations() {
		c.t.Error(violation)
	}
}

// Guards against an agent whose loss costs runs: its process dies with polls and starts in flight, and later that of the
// holder, whose successor needs agents too.
func TestAgentAndHolderKilled(t *testing.T) {
	t.Parallel()
	const workers, tasks = 40, 80
	c := newHostCluster(t, 6, workers)
	holder := c.holder()
	c.submit(holder, "first", tasks)
	agents := c.agents(holder, 3) // as 6 workers of capacity make 15 for an agent
	c.await("runs of all tasks", func() bool { return c.workers.RunningCount() == tasks })
	direct := holder.workers.calls.Load()
	c.submit(holder, "second", tasks)
	agents[0].kill()
	c.await("runs of all tasks after an agent's end", func() bool { return c.workers.RunningCount() == 2*tasks })
	c.await("a log line about the agent", func() bool { return holder.logged(`"msg"="agent lost"`) })
	if holder.forwarder.localHolder() == nil {
		t.Error("no longer the holder")
	}
	if holder.logged(`"msg"="contact"`) {
		t.Error("a worker was out of contact")
	}
	if n := holder.workers.calls.Load() - direct; n > 2*workers+2*tasks {
		t.Errorf("%d calls made directly", n)
	}
	holder.kill()
	next := c.holder()
	c.await("agents of the next holder", func() bool { return next.logged(`"msg"="agents"`, `"wanted"=3`) })
	c.submit(next, "third", tasks)
	c.await("runs of all tasks after the holder's end", func() bool { return c.workers.RunningCount() == 3*tasks })
	c.check()
}

// Guards against a holder that makes calls over agents though it has capacity for all workers.
func TestNoAgentsWithCapacity(t *testing.T) {
	t.Parallel()
	const tasks = 4
	c := newHostCluster(t, 3, 2)
	holder := c.holder()
	c.submit(holder, "first", tasks)
	c.await("runs of all tasks", func() bool { return c.workers.RunningCount() == tasks })
	for _, h := range c.hosts {
		if h != holder && h.workers.calls.Load() > 0 {
			t.Error("another process calls workers")
		}
	}
	if holder.logged(`"msg"="agents"`) {
		t.Error("agents were chosen")
	}
}

// Guards against an agent that ends with calls in flight although it was told to stop: its process is stopped while its
// workers are polled, and none of them may lose contact by that.
func TestAgentStopped(t *testing.T) {
	t.Parallel()
	const workers, tasks = 40, 80
	c := newHostCluster(t, 5, workers)
	holder := c.holder()
	c.submit(holder, "first", tasks)
	agents := c.agents(holder, 3)
	agents[0].killed = true // the test's end needn't stop it
	if err := agents[0].Stop(context.Background()); err != nil {
		t.Error(err)
	}
	c.submit(holder, "second", tasks)
	c.await("runs of all tasks", func() bool { return c.workers.RunningCount() == 2*tasks })
	if !holder.logged(`"msg"="agent stops"`) || holder.logged(`"msg"="agent lost"`) {
		t.Error("the stop of an agent was taken for its loss, or wasn't noticed")
	}
	if holder.logged(`"msg"="contact"`) {
		t.Error("a worker was out of contact")
	}
	c.check()
}

// followerRecorder has the methods of Peer that a follower calls.
type followerRecorder struct {
	heard chan string // receives the address of each heartbeat
}

// Follow records a heartbeat. It is called by name over net/rpc.
func (r followerRecorder) Follow(addr string, _ *int) error {
	r.heard <- addr
	return nil
}

// Guards against a new holder that hears of its followers, and so of possible agents, only at their next ticks.
func TestHeartbeatToNewHolder(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := followerRecorder{make(chan string, 10)}
	server, err := link.NewServer("Peer", peer)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { server.Serve(lis) })
	defer server.Close()
	store := &txkv.Service{}
	store.Put("lead/holder", []byte(`{"name":"former","addr":"127.0.0.1:1","term":1}`))
	elector := lead.New(lead.Options{Store: store.Client(nil), Name: "self", Addr: "self", LeaseTTL: drive.HolderLease, Log: logr.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wg.Go(func() { elector.Run(ctx, func(*lead.Tenure) {}) })
	links := &link.Set{}
	m := &peerMonitor{elector: elector, peers: linkClient{links}}
	defer links.CloseExcept(nil)
	wg.Go(func() { m.sendHeartbeats(ctx, "self:1", "self", time.Hour) })
	store.Put("lead/holder", []byte(fmt.Sprintf(`{"name":"next","addr":%q,"term":2}`, lis.Addr().String())))
	select {
	case addr := <-peer.heard:
		if addr != "self:1" {
			t.Errorf("heartbeat of %s", addr)
		}
	case <-time.After(eventTimeout):
		t.Error("no heartbeat to the new holder")
	}
}

// Guards against a holder that doesn't know its followers as it chooses its agents: they tell of themselves while it still
// reads the jobs.
func TestFollowerRecordedBeforeHolder(t *testing.T) {
	m := &peerMonitor{}
	p := &Peer{&Forwarder{elector: lead.New(lead.Options{})}, m}
	begun := time.Now()
	if err := p.Follow("a", new(int)); err == nil {
		t.Error("a process that isn't the holder answered as the holder")
	}
	if got := m.heardSince(begun.Add(-time.Second)); len(got) != 1 || got[0].Addr != "a" {
		t.Errorf("followers %v", got)
	}
	if got := m.heardSince(time.Now()); len(got) != 0 {
		t.Errorf("followers %v, want none since now", got)
	}
}
