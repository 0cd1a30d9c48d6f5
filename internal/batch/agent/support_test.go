package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/fake/codec"
	"bramleysail.example/bramleysail/internal/fake/fleet"
	"bramleysail.example/bramleysail/internal/fake/txkv"
	"bramleysail.example/bramleysail/internal/peer/link"
)

// testAgent is an agent in the process of a test, with the ways in which it fails.
type testAgent struct {
	addr    string
	service *Service // nil: an older build

	mu     sync.Mutex
	refuse error         // what Send fails with, without reaching the agent; nil: it does
	lost   chan struct{} // closed when the connections break; later calls fail
	frozen chan struct{} // not nil: calls, and what they bring, wait until it is closed
	delay  time.Duration // of each reply
	rate   float64       // starts a second that its link carries; 0: any number
	freeAt time.Time     // when its link has carried all starts so far
	calls  int           // that have come
	starts int           // starts in them
}

// newTestAgent returns an agent that makes its calls through workers.
func newTestAgent(addr string, workers drive.WorkerClient) *testAgent {
	return &testAgent{addr: addr, service: NewService(workers), lost: make(chan struct{})}
}

// lose breaks the connections; the calls that the agent has received are still made.
func (a *testAgent) lose() { close(a.lost) }

// freeze stops the agent's process until thaw. What is sent to it meanwhile arrives then.
func (a *testAgent) freeze() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.frozen = make(chan struct{})
}

func (a *testAgent) thaw() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.frozen)
	a.frozen = nil
}

// setDelay delays each reply.
func (a *testAgent) setDelay(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = d
}

// addCalls changes the number of calls that the agent's sessions count as in progress.
func (a *testAgent) addCalls(n int) {
	a.service.mu.Lock()
	defer a.service.mu.Unlock()
	for _, ses := range a.service.sessions {
		ses.mu.Lock()
		ses.calls += n
		ses.mu.Unlock()
	}
}

// callCount returns how many calls have come.
func (a *testAgent) callCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// startCount returns how many starts have come.
func (a *testAgent) startCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.starts
}

// awaitThawed waits while the agent is frozen.
func (a *testAgent) awaitThawed() {
	a.mu.Lock()
	frozen := a.frozen
	a.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// do carries out a call of the holder. The call reaches the agent also if the holder gives it up.
func (a *testAgent) do(ctx context.Context, call func() error) error {
	a.mu.Lock()
	a.calls++
	delay := a.delay
	a.mu.Unlock()
	done := make(chan error, 1)
	go func() {
		a.awaitThawed()
		err := errors.New("rpc: can't find service Agent.Open")
		if a.service != nil {
			err = call()
		}
		a.awaitThawed()
		time.Sleep(time.Millisecond + delay)
		if err != nil {
			err = rpc.ServerError(err.Error())
		}
		done <- err
	}()
	select {
	case <-a.lost:
		return link.ErrAnswerLost
	default:
	}
	select {
	case err := <-done:
		return err
	case <-a.lost:
		return link.ErrAnswerLost
	case <-ctx.Done():
		return link.ErrAnswerLost
	}
}

func (a *testAgent) open(ctx context.Context, in OpenArgs) (OpenReply, error) {
	var out OpenReply
	err := a.do(ctx, func() error { return a.service.Open(in, &out) })
	if err != nil {
		return OpenReply{}, err
	}
	return out, nil
}

func (a *testAgent) send(ctx context.Context, in SendArgs) error {
	a.mu.Lock()
	starts := 0
	for _, c := range in.Calls {
		if c.Order != nil && c.Order.Verb == sched.VerbStart {
			starts++
		}
	}
	a.starts += starts
	refuse := a.refuse
	arrival := a.carry(starts)
	a.mu.Unlock()
	if refuse != nil {
		return refuse
	}
	if !wait.For(ctx, time.Until(arrival)) {
		return link.ErrAnswerLost
	}
	return a.do(ctx, func() error { return a.service.Send(in, new(int)) })
}

// carry returns when the link has carried further starts. The caller holds a.mu.
func (a *testAgent) carry(starts int) time.Time {
	now := time.Now()
	if a.rate > 0 {
		if a.freeAt.Before(now) {
			a.freeAt = now
		}
		a.freeAt = a.freeAt.Add(time.Duration(float64(starts) / a.rate * float64(time.Second)))
		return a.freeAt
	}
	return now
}

func (a *testAgent) receive(ctx context.Context, in ReceiveArgs) (ReceiveReply, error) {
	var out ReceiveReply
	err := a.do(ctx, func() error { return a.service.Receive(in, &out) })
	if err != nil {
		return ReceiveReply{}, err
	}
	return out, nil
}

func (a *testAgent) close() {}

// testClient is a client with agents in the process of a test.
type testClient struct {
	*Client
	cancel context.CancelFunc
	agents map[string]*testAgent
	addrs  []string
	limits Limits // of each agent

	mu  sync.Mutex
	log []string
}

// newTestClient returns a client that makes its own calls through direct and chooses among the agents.
func newTestClient(direct drive.WorkerClient, agents ...*testAgent) *testClient {
	ctx, cancel := context.WithCancel(context.Background())
	c := &testClient{cancel: cancel, agents: map[string]*testAgent{}}
	c.Client = NewClient(ctx, Options{Direct: direct, Log: c.logger(), Scope: tally.NoopScope})
	for _, a := range agents {
		c.agents[a.addr] = a
		c.addrs = append(c.addrs, a.addr)
	}
	c.dial = func(addr string) transport { return c.agents[addr] }
	return c
}

// logger returns a logger that keeps its lines.
func (c *testClient) logger() logr.Logger {
	return funcr.New(func(_, args string) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.log = append(c.log, args)
	}, funcr.Options{})
}

// used returns the agents that the client has chosen.
func (c *testClient) used() []*testAgent {
	c.Client.mu.Lock()
	defer c.Client.mu.Unlock()
	var used []*testAgent
	for _, r := range c.sessions {
		used = append(used, c.agents[r.addr])
	}
	return used
}

// logged returns how many lines contain the text.
func (c *testClient) logged(text string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, line := range c.log {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// update chooses agents for the given number of workers; each agent suffices for agentGain times the capacity of one.
func (c *testClient) update(workers int) { c.updateFor(workers, sched.StartDemand{}) }

// updateFor does the same for a demand for starts.
func (c *testClient) updateFor(workers int, starts sched.StartDemand) {
	candidates := withoutLimits(c.addrs)
	for i := range candidates {
		candidates[i].Limits = c.limits
	}
	c.Update(time.Now(), candidates, Demand{Workers: workers, Capacity: 1, Starts: starts.Rate, SpecBytes: starts.SpecBytes})
}

// withoutLimits returns candidates whose limits aren't known.
func withoutLimits(addrs []string) []Candidate {
	var candidates []Candidate
	for _, addr := range addrs {
		candidates = append(candidates, Candidate{Addr: addr})
	}
	return candidates
}

// stop ends the client and its agents.
func (c *testClient) stop() {
	c.cancel()
	c.Wait()
	for _, a := range c.agents {
		if a.service != nil {
			a.service.Close()
		}
	}
	time.Sleep(time.Minute) // until the last replies have arrived
	synctest.Wait()
}

// recorder is a drive.WorkerClient that answers after a delay and records its calls.
type recorder struct {
	delay time.Duration
	out   sched.Outcome

	mu     sync.Mutex
	polls  []sched.PollRequest
	orders []sched.Order
}

func (w *recorder) Poll(ctx context.Context, req sched.PollRequest, _ int64) (sched.Report, sched.Outcome) {
	w.mu.Lock()
	w.polls = append(w.polls, req)
	w.mu.Unlock()
	if !wait.For(ctx, w.delay) {
		return sched.Report{}, sched.OutcomeUnknown
	}
	return sched.Report{StartedAt: 1}, w.out
}

func (w *recorder) SendOrder(ctx context.Context, o sched.Order, _ int64) sched.Outcome {
	w.mu.Lock()
	w.orders = append(w.orders, o)
	w.mu.Unlock()
	if !wait.For(ctx, w.delay) {
		return sched.OutcomeUnknown
	}
	return w.out
}

// pollsMade returns the polls.
func (w *recorder) pollsMade() []sched.PollRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.polls)
}

// counts returns the numbers of polls and of orders.
func (w *recorder) counts() (polls, orders int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.polls), len(w.orders)
}

// testPoll and testOrder return calls to the worker w.
func testPoll(w string) sched.PollRequest {
	return sched.PollRequest{Incarnation: sched.Incarnation{ID: w}, Wait: time.Second, AnswerSlack: time.Second}
}

func testOrder(v sched.Verb, w string) sched.Order {
	return sched.Order{Verb: v, Incarnation: sched.Incarnation{ID: w}, Run: 1}
}

// holding is a holder in virtual time whose calls go over agents.
type holding struct {
	t       *testing.T
	workers *fleet.Fleet
	client  *testClient
	holder  *drive.Holder
	stop    func()
}

// startHolding starts a holder of n workers, whose tasks run for d, with agents a0 and so on.
func startHolding(t *testing.T, n, agents int, d time.Duration) *holding {
	t.Helper()
	return startLimitedHolding(t, n, agents, d, Limits{})
}

// startLimitedHolding does the same with agents that have the given limits, and whose links carry no more starts.
func startLimitedHolding(t *testing.T, n, agents int, d time.Duration, limits Limits) *holding {
	t.Helper()
	run := func(string) (time.Duration, sched.End) { return d, sched.EndDone }
	h := &holding{t: t, workers: fleet.New(n, wire.Size{CPU: 16000, Mem: 64000}, rand.New(rand.NewPCG(1, 1)), run)}
	store := &txkv.Service{}
	config := sched.Config{Version: 1, Queues: []sched.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Tries: 3, Stretch: 2, Aim: time.Second},
	}}
	if err := errors.Join(codec.WriteConfig(store, config), codec.WriteMembers(store, h.workers.Members())); err != nil {
		t.Fatal(err)
	}
	client := h.workers.Client(func(sched.Member) bool { return false })
	var all []*testAgent
	for i := range agents {
		a := newTestAgent(fmt.Sprintf("a%d", i), client)
		a.rate = limits.LinkMbps / mbitPerStart
		all = append(all, a)
	}
	h.client = newTestClient(client, all...)
	h.client.limits = limits
	h.client.update(n)
	ready, holds := make(chan *drive.Holder, 1), make(chan struct{})
	elector := lead.New(lead.Options{
		Store: store.Client(nil), Name: "holder", Addr: "holder", LeaseTTL: drive.HolderLease, Log: logr.Discard(),
		HolderAlive: func(context.Context, lead.Holder) bool { return false }, Capacity: func() int { return 0 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		elector.Run(ctx, func(tenure *lead.Tenure) {
			if err := drive.Run(drive.Options{
				Store: store.Client(nil), Workers: h.client, Codec: codec.New(), Tenure: tenure, Log: h.client.logger(), Scope: tally.NoopScope,
				WorkerLease: drive.WorkerLease(fleet.MaxLease), MaxWorkerLease: fleet.MaxLease,
				MaxUnconfirmed: drive.MaxUnconfirmed, MaxStopTime: fleet.MaxStopTime, JobRetention: time.Hour,
			}, func(d *drive.Holder) { ready <- d }); err != nil {
				t.Error(err)
			}
		})
	})
	wg.Go(func() {
		h.holder = <-ready
		close(holds)
		for wait.For(ctx, 300*time.Millisecond) {
			h.client.updateFor(n, h.holder.StartDemand())
		}
	})
	<-holds
	h.stop = func() {
		cancel()
		wg.Wait()
		h.client.stop()
	}
	time.Sleep(2 * time.Second) // until all workers are in contact
	return h
}

// submit submits a job of n tasks.
func (h *holding) submit(id string, n int, longRunning bool) {
	h.t.Helper()
	data := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"size":{"CPU":1000,"Mem":1000},"est":1000000000,"lasting":%t}]}`, n, longRunning)
	req := drive.Request{Verb: drive.VerbSubmit, Host: "h", Path: "/q/" + id, Job: []byte(data)}
	if r := h.holder.Handle(context.Background(), req); r.Result != drive.ResultDone {
		h.t.Fatalf("submit %s: %+v", id, r)
	}
}

// awaitStart returns an agent that has just got a start.
func (h *holding) awaitStart() *testAgent {
	h.t.Helper()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		for _, a := range h.client.used() {
			if a.startCount() > 0 {
				return a
			}
		}
	}
	h.t.Error("no agent got a start")
	return h.client.used()[0]
}

// check reports what must never happen: a task that runs twice, or a run that ends with its worker's lease.
func (h *holding) check() {
	h.t.Helper()
	for _, violation := range h.workers.Violations() {
		h.t.Error(violation)
	}
	if n := h.workers.ExpiredRuns(); n > 0 {
		h.t.Errorf("%d runs ended by an expired lease", n)
	}
}
