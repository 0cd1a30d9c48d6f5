package agent

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

const (
	// maxFirstWait is how long calls wait for the first agents of a holder.
	maxFirstWait = 700 * time.Millisecond
	// maxAttempts is how many agents a call is passed to before it is made directly.
	maxAttempts = 3
	// bypassTime is how long a worker that its agent doesn't reach is called directly.
	bypassTime = 5 * time.Second
	// lostAgentCooldown is how long an agent that was lost or stops isn't chosen again.
	lostAgentCooldown = 5 * time.Second
	// refusedAgentCooldown is the same for one of an older build, which lacks the service.
	refusedAgentCooldown = time.Minute
)

// Options configures a Client.
type Options struct {
	Direct drive.WorkerClient // makes the holder's own calls
	Log    logr.Logger
	Scope  tally.Scope // for metrics
}

// Client makes the holder's calls to workers: by itself as long as it has capacity for all workers, and over agents
// otherwise. It implements drive.WorkerClient and is safe for concurrent use.
type Client struct {
	opts Options
	ctx  context.Context
	dial func(addr string) transport
	wg   sync.WaitGroup // of the sessions

	directCalls, agentCalls tally.Counter

	mu       sync.Mutex
	ready    chan struct{}        // closed once the agents are known, or maxFirstWait has passed
	wanted   int                  // number of agents; 0: all calls are made directly
	agents   []*remote            // sorted by rank
	excluded map[string]time.Time // until when agents aren't chosen, by address
	bypassed map[string]time.Time // until when workers are called directly, by id
	lost     map[string]time.Time // until when workers aren't, as that failed too, by id
}

// NewClient returns a client whose sessions with agents end with ctx. It makes no call before the first Update, or
// maxFirstWait.
func NewClient(ctx context.Context, opts Options) *Client {
	calls := func(way string) tally.Counter {
		return opts.Scope.Tagged(map[string]string{"way": way}).Counter("worker_calls")
	}
	c := &Client{
		opts: opts, ctx: ctx, dial: dialLink, directCalls: calls("direct"), agentCalls: calls("agent"),
		ready: make(chan struct{}), excluded: map[string]time.Time{}, bypassed: map[string]time.Time{}, lost: map[string]time.Time{},
	}
	t := time.AfterFunc(maxFirstWait, c.setReady)
	context.AfterFunc(ctx, func() {
		t.Stop()
		c.setReady()
	})
	return c
}

// Wait waits for the goroutines of the sessions, after the client's context has ended. No Update may follow.
func (c *Client) Wait() { c.wg.Wait() }

// setReady lets the calls go on that wait for agents.
func (c *Client) setReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeReady()
}

// closeReady does the same. The caller holds c.mu.
func (c *Client) closeReady() {
	select {
	case <-c.ready:
	default:
		close(c.ready)
	}
}

// InUse reports whether calls are made over agents.
func (c *Client) InUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCount() > 0
}

// openCount returns the number of agents that take calls. The caller holds c.mu.
func (c *Client) openCount() int {
	n := 0
	for _, r := range c.agents {
		if r.currentState() == stateOpen {
			n++
		}
	}
	return n
}

// opening reports whether an agent hasn't answered yet. The caller holds c.mu.
func (c *Client) opening() bool {
	for _, r := range c.agents {
		if r.currentState() == stateOpening {
			return true
		}
	}
	return false
}

// Update chooses the agents among the entry processes at the given addresses. workers is the number of workers, capacity
// how many of them a holder with this process's limits can call by itself; 0: not known, all calls are made directly.
func (c *Client) Update(now time.Time, addrs []string, workers, capacity int) {
	c.mu.Lock()
	deletePassed(c.excluded, now)
	deletePassed(c.bypassed, now)
	deletePassed(c.lost, now)
	c.wanted = agentCount(c.wanted, workers, capacity)
	chosen := c.choose(addrs)
	var kept, removed []*remote
	present := map[string]bool{}
	for _, r := range c.agents {
		switch {
		case r.currentState() >= stateDraining:
		case !chosen[r.addr]:
			removed = append(removed, r)
		default:
			kept = append(kept, r)
			present[r.addr] = true
		}
	}
	changed := len(removed) > 0
	for addr := range chosen {
		if !present[addr] {
			changed = true
			kept = append(kept, c.start(addr))
		}
	}
	sortByRank(kept)
	c.agents = kept
	if c.wanted == 0 {
		c.closeReady()
	}
	var names []string
	for _, r := range kept {
		names = append(names, r.addr)
	}
	wanted := c.wanted
	c.mu.Unlock()
	for _, r := range removed {
		r.drain()
	}
	if changed {
		c.opts.Log.Info("agents", "workers", workers, "carries", capacity, "wanted", wanted, "chosen", strings.Join(names, ","))
	}
	c.updateGauge()
}

// updateGauge updates the gauge of the agents that take calls.
func (c *Client) updateGauge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.Scope.Gauge("agents").Update(float64(c.openCount()))
}

// deletePassed deletes the entries whose time has passed.
func deletePassed(until map[string]time.Time, now time.Time) {
	for key, t := range until {
		if !now.Before(t) {
			delete(until, key)
		}
	}
}

// choose returns the addresses of the agents among addrs and the present agents: a session shows more reliably than
// heartbeats that an agent is there. The caller holds c.mu.
func (c *Client) choose(addrs []string) map[string]bool {
	usable := map[string]bool{}
	for _, addr := range addrs {
		usable[addr] = true
	}
	for _, r := range c.agents {
		if r.currentState() < stateDraining {
			usable[r.addr] = true
		}
	}
	for addr := range c.excluded {
		delete(usable, addr)
	}
	return topRanked(usable, c.wanted)
}

// start begins a session with the agent at addr. The caller holds c.mu.
func (c *Client) start(addr string) *remote {
	r := newRemote(c.ctx, addr, c.dial(addr), batchPause(c.wanted), c.handleChange)
	c.wg.Go(r.run)
	return r
}

// handleChange handles a change of a session's state.
func (c *Client) handleChange(r *remote, cause error) {
	c.mu.Lock()
	if c.openCount() > 0 && !c.opening() {
		c.closeReady()
	}
	name, cooldown := "lost", lostAgentCooldown
	state := r.currentState()
	if cause != nil && lacksService(cause) {
		name, cooldown = "refused", refusedAgentCooldown
	}
	chosen := false
	for _, a := range c.agents {
		chosen = chosen || a == r
	}
	if cause != nil || state == stateDraining && chosen {
		c.excluded[r.addr] = time.Now().Add(cooldown)
	}
	c.mu.Unlock()
	switch {
	case cause != nil && isStopping(cause):
		c.opts.Log.Info("agent stops", "agent", r.addr)
	case cause != nil:
		c.opts.Log.Info("agent lost", "agent", r.addr, "how", name, "cause", cause.Error())
		c.opts.Scope.Tagged(map[string]string{"how": name}).Counter("agents_lost").Inc(1)
	case state == stateDraining && chosen:
		c.opts.Log.Info("agent stops", "agent", r.addr)
	}
	c.updateGauge()
}

// awaitReady waits until the first agents are known, or ctx ends.
func (c *Client) awaitReady(ctx context.Context) {
	select {
	case <-c.ready:
	case <-ctx.Done():
	}
}

// route returns the agent for the next call to a worker, or nil to call it directly.
func (c *Client) route(worker string) *remote {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, ok := c.bypassed[worker]; ok && time.Now().Before(until) {
		return nil
	}
	return preferred(c.agents, worker)
}

// bypass makes the next calls to a worker direct, and reports true, unless that has failed recently.
func (c *Client) bypass(worker string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Before(c.lost[worker]) {
		return false
	}
	c.bypassed[worker] = now.Add(bypassTime)
	return true
}

// endBypass records that a worker can't be called directly either.
func (c *Client) endBypass(worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, bypassed := c.bypassed[worker]; bypassed {
		delete(c.bypassed, worker)
		c.lost[worker] = time.Now().Add(bypassTime)
	}
}

// Poll implements drive.WorkerClient. A poll that a lost agent may have made, or that wasn't made in time, is made another
// way.
func (c *Client) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	c.awaitReady(ctx)
	for range maxAttempts {
		r := c.route(req.ID)
		if r == nil {
			break
		}
		c.agentCalls.Inc(1)
		a, err := r.call(ctx, Call{Fence: fence, Poll: &req}, maxPollTransit)
		switch {
		case ctx.Err() != nil:
			return sched.Report{}, sched.OutcomeUnknown
		case err == nil && a.Outcome == sched.OutcomeUnknown:
			c.bypass(req.ID)
			return sched.Report{}, sched.OutcomeUnknown
		case err == nil && a.Outcome == sched.OutcomeUnsent && !a.Expired:
			if !c.bypass(req.ID) {
				return sched.Report{}, sched.OutcomeUnsent
			}
		case err == nil && !a.Expired:
			return a.Report, a.Outcome
		}
		req = withoutGrants(req)
	}
	c.directCalls.Inc(1)
	report, outcome := c.opts.Direct.Poll(ctx, req, fence)
	if outcome == sched.OutcomeUnknown || outcome == sched.OutcomeUnsent {
		c.endBypass(req.ID)
	}
	return report, outcome
}

// withoutGrants returns a poll that is answered at once and neither renews the lease nor acknowledges ends. The worker may
// have restarted since the poll was made, and numbers its ends and counts its time anew; the next poll is up to date.
func withoutGrants(req sched.PollRequest) sched.PollRequest {
	req.LeaseUntil, req.AckedSeq, req.Wait = 0, 0, 0
	return req
}

// SendOrder implements drive.WorkerClient.
//
// An order that a lost agent may have received may still be carried out, also after its worker has restarted. If a start
// were sent again and its run seen to begin and to end with the worker, the late one would begin another run. Only a stop
// is sent again; for the others it's left to sched to look what became of them.
func (c *Client) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	c.awaitReady(ctx)
	begun := time.Now()
	for range maxAttempts {
		r := c.route(o.Incarnation.ID)
		if r == nil {
			break
		}
		c.agentCalls.Inc(1)
		transit := maxOrderTransit
		if o.Verb != sched.VerbStop {
			transit -= time.Since(begun)
		}
		a, err := r.call(ctx, Call{Fence: fence, Order: &o}, transit)
		switch {
		case err == nil:
			return a.Outcome
		case ctx.Err() != nil || errors.Is(err, errLost) && o.Verb != sched.VerbStop:
			return sched.OutcomeUnknown
		case time.Since(begun) > maxOrderTransit && o.Verb != sched.VerbStop:
			return sched.OutcomeUnsent // what was checked before it was sent may have changed
		}
	}
	c.directCalls.Inc(1)
	return c.opts.Direct.SendOrder(ctx, o, fence)
}
