package agent

import (
	"context"
	"maps"
	"slices"
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
	// maxReopenWait is how long calls wait for agents that are opened again after all of them fell silent.
	maxReopenWait = 400 * time.Millisecond
	// maxQuiet is the longest time between two replies of an agent without delays.
	maxQuiet = receiveTimeout + readGrace
	// maxSilence is the time after which all agents that were found silent have replied or were lost.
	maxSilence = receiveTimeout + agentTimeout + readGrace
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
	ready    chan struct{}        // closed once the agents are open, or calls have waited long enough for them
	addrs    []string             // as last given to Update
	wanted   int                  // number of agents; 0: all calls are made directly
	agents   []*remote            // sorted by rank
	silentAt time.Time            // when all agents were last found silent
	excluded map[string]time.Time // until when agents aren't chosen, by address
	demoted  map[string]time.Time // until when agents are chosen only if there are no others, by address
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
		ready: make(chan struct{}), excluded: map[string]time.Time{}, demoted: map[string]time.Time{}, bypassed: map[string]time.Time{}, lost: map[string]time.Time{},
	}
	c.limitWait(c.ready, maxFirstWait)
	return c
}

// Wait waits for the goroutines of the sessions, after the client's context has ended. No Update may follow.
func (c *Client) Wait() { c.wg.Wait() }

// limitWait closes ready, unless that has been done, after d or when the client's context ends.
func (c *Client) limitWait(ready chan struct{}, d time.Duration) {
	ctx, cancel := context.WithTimeout(c.ctx, d)
	context.AfterFunc(ctx, func() {
		cancel()
		c.endWait(ready)
	})
}

// endWait lets the calls go on that wait for ready, unless others wait for a later one.
func (c *Client) endWait(ready chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ready == ready {
		c.closeReady()
	}
}

// closeReady lets the calls go on that wait for agents. The caller holds c.mu.
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
	c.addrs = addrs
	c.wanted = agentCount(c.wanted, workers, capacity)
	if c.wanted == 0 {
		c.closeReady()
	}
	change := c.updateAgents(now)
	c.mu.Unlock()
	change.finish(c.opts.Log.WithValues("workers", workers, "carries", capacity))
	c.updateGauge()
}

// agentChange is a change of the agents.
type agentChange struct {
	wanted  int
	chosen  []string  // addresses of the agents from now on
	started bool      // sessions have been started
	removed []*remote // sessions to be ended
}

// updateAgents starts sessions with the agents that are to be used, and forgets the others. The caller holds c.mu, and
// passes the change to finish when it has released it.
func (c *Client) updateAgents(now time.Time) agentChange {
	for _, until := range []map[string]time.Time{c.excluded, c.demoted, c.bypassed, c.lost} {
		deletePassed(until, now)
	}
	change := agentChange{wanted: c.wanted}
	chosen := c.choose()
	var kept []*remote
	for _, r := range c.agents {
		switch {
		case r.currentState() >= stateDraining:
		case !chosen[r.addr]:
			change.removed = append(change.removed, r)
		default:
			kept = append(kept, r)
			delete(chosen, r.addr)
		}
	}
	for addr := range chosen {
		change.started = true
		kept = append(kept, c.start(addr))
	}
	sortByRank(kept)
	c.agents = kept
	for _, r := range kept {
		change.chosen = append(change.chosen, r.addr)
	}
	return change
}

// finish ends the sessions with agents that are no longer used, and logs the change if there is one.
func (change agentChange) finish(log logr.Logger) {
	for _, r := range change.removed {
		r.drain()
	}
	if change.started || len(change.removed) > 0 {
		log.Info("agents", "wanted", change.wanted, "chosen", strings.Join(change.chosen, ","))
	}
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

// choose returns the addresses of the agents among those last heard of and the present agents: a session shows more
// reliably than heartbeats that an agent is there. The caller holds c.mu.
func (c *Client) choose() map[string]bool {
	usable := map[string]bool{}
	for _, addr := range c.addrs {
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
	demoted := map[string]bool{}
	for addr := range c.demoted {
		if usable[addr] {
			delete(usable, addr)
			demoted[addr] = true
		}
	}
	chosen := topRanked(usable, c.wanted)
	maps.Copy(chosen, topRanked(demoted, c.wanted-len(chosen)))
	return chosen
}

// start begins a session with the agent at addr. The caller holds c.mu.
func (c *Client) start(addr string) *remote {
	r := newRemote(c.ctx, addr, c.dial(addr), batchPause(c.wanted), c.handleChange)
	c.wg.Go(func() {
		r.run()
		<-r.ctx.Done() // when handleChange has returned
		c.replaceSilent(r)
	})
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
	chosen := slices.Contains(c.agents, r)
	switch {
	case cause == errNoReply && (c.othersQuiet(r) || c.inSilence(r)):
		name = "silent"
		c.handleSilence(r)
	case cause != nil || state == stateDraining && chosen:
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

// othersQuiet reports whether no other agent replies either, which speaks for a delay of this process rather than for the
// loss of an agent. The caller holds c.mu.
func (c *Client) othersQuiet(r *remote) bool {
	for _, other := range c.agents {
		if at := other.lastReplyAt(); other != r && !at.IsZero() && time.Since(at) <= maxQuiet {
			return false
		}
	}
	return true
}

// inSilence reports whether a session hasn't been answered since all agents were last found silent, and was open then or
// started soon after. The caller holds c.mu.
func (c *Client) inSilence(r *remote) bool {
	return r.lastReplyAt().Before(c.silentAt) && r.startedAt.Sub(c.silentAt) < maxSilence
}

// handleSilence prepares the replacement of a silent agent that is perhaps not lost. The caller holds c.mu.
//
// The exclusion of all agents would leave the calls to a holder without the capacity for them, just when it is short of
// processor time. The same agents are used again, unless one doesn't reply the second time or is the only one: then others
// come first.
func (c *Client) handleSilence(r *remote) {
	replied := !r.lastReplyAt().IsZero()
	r.silent = true
	only := !slices.ContainsFunc(c.agents, func(other *remote) bool { return other.addr != r.addr })
	if !replied || only {
		c.demoted[r.addr] = time.Now().Add(lostAgentCooldown)
	}
	if now := time.Now(); replied && now.Sub(c.silentAt) > agentTimeout {
		c.silentAt = now
		c.closeReady()
		c.ready = make(chan struct{})
		c.limitWait(c.ready, maxReopenWait)
	}
}

// replaceSilent starts another session in place of one that has ended by handleSilence.
func (c *Client) replaceSilent(r *remote) {
	c.mu.Lock()
	if !r.silent || c.ctx.Err() != nil {
		c.mu.Unlock()
		return
	}
	change := c.updateAgents(time.Now())
	c.mu.Unlock()
	change.finish(c.opts.Log)
}

// awaitReady waits until agents are open, calls have waited long enough for them, or ctx ends.
func (c *Client) awaitReady(ctx context.Context) {
	c.mu.Lock()
	ready := c.ready
	c.mu.Unlock()
	select {
	case <-ready:
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
	return preferred(c.responsive(), worker)
}

// responsive returns the agents without those that have not replied since before all of them were found silent. The caller
// holds c.mu.
func (c *Client) responsive() []*remote {
	if time.Since(c.silentAt) > maxSilence {
		return c.agents
	}
	var agents []*remote
	for _, r := range c.agents {
		if r.lastReplyAt().After(c.silentAt.Add(-maxQuiet)) {
			agents = append(agents, r)
		}
	}
	return agents
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
	for range maxAttempts {
		c.awaitReady(ctx)
		r := c.route(req.ID)
		if r == nil {
			break
		}
		c.agentCalls.Inc(1)
		passed := req // a lost agent's session may still read it
		a, err := r.call(ctx, Call{Fence: fence, Poll: &passed}, time.Now().Add(maxPollTransit))
		switch {
		case ctx.Err() != nil:
			return sched.Report{}, sched.OutcomeUnknown
		case err == nil && a.Outcome == sched.OutcomeUnknown:
			c.bypass(req.ID)
			return sched.Report{}, sched.OutcomeUnknown
		case err == nil && a.Outcome == sched.OutcomeUnsent && !a.NotMade:
			if !c.bypass(req.ID) {
				return sched.Report{}, sched.OutcomeUnsent
			}
		case err == nil && !a.NotMade:
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
// is sent again; for the others it's left to sched to look what became of them. Nor do the others leave later than
// maxOrderTransit: what was checked before they were passed to SendOrder may have changed.
func (c *Client) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	deadline := time.Now().Add(maxOrderTransit)
	for range maxAttempts {
		c.awaitReady(ctx)
		if o.Verb == sched.VerbStop {
			deadline = time.Now().Add(maxOrderTransit)
		}
		r := c.route(o.Incarnation.ID)
		if r == nil || isPast(deadline) {
			break
		}
		c.agentCalls.Inc(1)
		a, err := r.call(ctx, Call{Fence: fence, Order: &o}, deadline)
		switch {
		case err == nil:
			return a.Outcome
		case ctx.Err() != nil || errors.Is(err, errLost) && o.Verb != sched.VerbStop:
			return sched.OutcomeUnknown
		}
	}
	if o.Verb != sched.VerbStop && isPast(deadline) {
		return sched.OutcomeUnsent
	}
	c.directCalls.Inc(1)
	return c.opts.Direct.SendOrder(ctx, o, fence)
}
