package agent

import (
	"context"
	"net"
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
	// directTime is how long a worker that its agent doesn't reach is called directly.
	directTime = 5 * time.Second
)

// Options configures a Client.
type Options struct {
	Direct drive.WorkerClient // makes the holder's own calls
	Log    logr.Logger
	Scope  tally.Scope // for metrics
	// WrapConn is applied to each connection to an agent; nil: none.
	WrapConn func(net.Conn) net.Conn
	// LinkMbps is the bandwidth of this process's link in Mbit/s, 0 if it isn't known; ReceivedBytes returns how many bytes it
	// has received. While its link is full, an agent isn't taken for lost.
	LinkMbps      float64
	ReceivedBytes func() int64
}

// Client makes the holder's calls to workers: by itself as long as it has capacity for all workers, and over agents
// otherwise. It implements drive.WorkerClient and is safe for concurrent use.
type Client struct {
	opts Options
	ctx  context.Context
	dial func(addr string) transport
	wg   sync.WaitGroup // of the sessions

	directCalls, agentCalls tally.Counter

	mu            sync.Mutex
	agentsReady   chan struct{}        // closed once agents take calls, or calls have waited long enough for them
	heardOf       []Candidate          // possible agents, as last given to Update
	demand        Demand               // as last given to Update
	agentsWanted  int                  // number of agents; 0: all calls are made directly
	sessions      []*clientSession     // with the agents; sorted by rank
	lanesVersion  uint64               // changes with the agents that take calls
	silentAt      time.Time            // when all agents were last found silent
	excludedUntil map[string]time.Time // agents that aren't chosen, by address
	avoidedUntil  map[string]time.Time // agents that are chosen only if there are no others, by address
	directUntil   map[string]time.Time // workers that are called directly, by id
	agentsUntil   map[string]time.Time // workers that are called over agents only, as direct calls failed too, by id
}

// NewClient returns a client whose sessions with agents end with ctx. It makes no call before the first Update, or
// maxFirstWait.
func NewClient(ctx context.Context, opts Options) *Client {
	calls := func(way string) tally.Counter {
		return opts.Scope.Tagged(map[string]string{"way": way}).Counter("worker_calls")
	}
	c := &Client{
		opts: opts, ctx: ctx, dial: dialLink(opts.WrapConn), directCalls: calls("direct"), agentCalls: calls("agent"),
		agentsReady: make(chan struct{}), excludedUntil: map[string]time.Time{}, avoidedUntil: map[string]time.Time{},
		directUntil: map[string]time.Time{}, agentsUntil: map[string]time.Time{},
	}
	c.limitWait(c.agentsReady, maxFirstWait)
	return c
}

// Wait waits for the goroutines of the sessions, after the client's context has ended. No Update may follow.
func (c *Client) Wait() { c.wg.Wait() }

// InUse reports whether calls are made over agents.
func (c *Client) InUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return openCount(c.sessions) > 0
}

// Addrs returns the addresses of the agents.
func (c *Client) Addrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addrs []string
	for _, s := range c.sessions {
		addrs = append(addrs, s.addr)
	}
	return addrs
}

// Lanes implements drive.LaneRouter.
func (c *Client) Lanes() (version uint64, laneOf func(worker string) string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lanesVersion, c.laneOf
}

// laneOf returns the address of the agent for a worker's calls, or an empty string if they are made directly.
func (c *Client) laneOf(worker string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := preferred(c.sessions, worker); s != nil {
		return s.addr
	}
	return ""
}

// awaitReady waits until agents are open, calls have waited long enough for them, or ctx ends.
func (c *Client) awaitReady(ctx context.Context) {
	c.mu.Lock()
	ready := c.agentsReady
	c.mu.Unlock()
	select {
	case <-ready:
	case <-ctx.Done():
	}
}

// route returns the agent for the next call to a worker, or nil to call it directly.
func (c *Client) route(worker string) *clientSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, ok := c.directUntil[worker]; ok && time.Now().Before(until) {
		return nil
	}
	return preferred(c.responsive(), worker)
}

// callDirectly makes the next calls to a worker go directly, and reports true, unless that has failed recently.
func (c *Client) callDirectly(worker string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Before(c.agentsUntil[worker]) {
		return false
	}
	c.directUntil[worker] = now.Add(directTime)
	return true
}

// callOverAgents ends the effect of callDirectly, as the worker can't be called directly either.
func (c *Client) callOverAgents(worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, direct := c.directUntil[worker]; direct {
		delete(c.directUntil, worker)
		c.agentsUntil[worker] = time.Now().Add(directTime)
	}
}

// Poll implements drive.WorkerClient. A poll that a lost agent may have made, or that wasn't made in time, is made another
// way.
func (c *Client) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	for range maxAttempts {
		c.awaitReady(ctx)
		s := c.route(req.ID)
		if s == nil {
			break
		}
		report, outcome, ok := c.pollOver(ctx, s, req, fence)
		if ok {
			return report, outcome
		}
		req = withoutGrants(req)
	}
	c.directCalls.Inc(1)
	report, outcome := c.opts.Direct.Poll(ctx, req, fence)
	if outcome == sched.OutcomeUnknown || outcome == sched.OutcomeUnsent {
		c.callOverAgents(req.ID)
	}
	return report, outcome
}

// pollOver makes a poll over an agent. It returns false if it must be made another way.
func (c *Client) pollOver(ctx context.Context, s *clientSession, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome, bool) {
	c.agentCalls.Inc(1)
	a, err := s.call(ctx, Call{Fence: fence, Poll: &req}, time.Now().Add(maxPollTransit))
	switch {
	case ctx.Err() != nil:
		return sched.Report{}, sched.OutcomeUnknown, true
	case err != nil || a.NotMade:
		return sched.Report{}, sched.OutcomeUnsent, false
	case a.Outcome == sched.OutcomeUnknown:
		c.callDirectly(req.ID)
		return sched.Report{}, sched.OutcomeUnknown, true
	case a.Outcome == sched.OutcomeUnsent:
		return sched.Report{}, sched.OutcomeUnsent, !c.callDirectly(req.ID)
	}
	return a.Report, a.Outcome, true
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
		s := c.route(o.Incarnation.ID)
		if s == nil || isPast(deadline) {
			break
		}
		c.agentCalls.Inc(1)
		a, err := s.call(ctx, Call{Fence: fence, Order: &o}, deadline)
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
