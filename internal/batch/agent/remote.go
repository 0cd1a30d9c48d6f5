package agent

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/peer/link"
)

const (
	// agentTimeout is the time without a reply after which an agent is about to count as lost.
	agentTimeout = 800 * time.Millisecond
	// readGrace follows agentTimeout. In it, a holder that is short of processor time reads the replies that have
	// already arrived.
	readGrace = 200 * time.Millisecond
	// maxGraces bounds the graces in a row, each but the last of which was noticed late to have ended.
	maxGraces = 4
	// maxOrderTransit is the longest time from an order to the call of its worker, over however many agents it is passed.
	// It is half of what sched reserves for the transit of an order and the time since the last confirmation (orderMargin).
	maxOrderTransit = 200 * time.Millisecond
	// maxPollTransit is the longest time from a poll, or its repetition, to the agent's call.
	maxPollTransit = 500 * time.Millisecond
	// maxQueuedCalls bounds the calls that wait to be sent to one agent.
	maxQueuedCalls = 4096
)

var (
	// errNotMade means that the agent didn't make the call and won't make it.
	errNotMade = errors.New("agent: call not made")
	// errLost means that the agent was lost and may have made the call, or may still make it.
	errLost = errors.New("agent: lost")
	// errNoReply is the cause of the loss of an agent that doesn't reply.
	errNoReply = errors.New("agent: no reply")
)

// remoteState is the state of a session with an agent.
type remoteState int

const (
	stateOpening  remoteState = iota // the agent hasn't answered yet
	stateOpen                        // takes calls
	stateDraining                    // takes no more calls; the answers to the others are awaited
	stateEnded
)

// remote is the holder's session with one agent.
type remote struct {
	addr      string
	transport transport
	session   string
	pause     time.Duration // between two batches in one direction
	startedAt time.Time
	onChange  func(r *remote, cause error) // called when the state has changed; cause: why the agent was lost, or nil
	ctx       context.Context
	cancel    context.CancelFunc
	wake      chan struct{} // wakes sendLoop
	silent    bool          // ended by Client.handleSilence; guarded by Client.mu

	mu          sync.Mutex
	state       remoteState
	clockOffset time.Duration // at most the agent's clock minus the time since startedAt
	offsetAt    time.Duration // when clockOffset was last updated, since startedAt
	repliedAt   time.Time     // when the last reply was received
	lastID      uint64        // of the calls
	queue       []Call        // to be sent
	waiting     map[uint64]*waitingCall
}

// waitingCall is a call that is queued or sent.
type waitingCall struct {
	result chan callResult // receives the one result
	sent   bool            // the agent may have made it
}

// callResult is the result of a call over an agent.
type callResult struct {
	answer Answer
	err    error // errNotMade or errLost
}

// newRemote returns a session that ends with ctx. It is run by run.
func newRemote(ctx context.Context, addr string, t transport, pause time.Duration, onChange func(*remote, error)) *remote {
	r := &remote{addr: addr, transport: t, session: uuid.NewString(), pause: pause, startedAt: time.Now(), onChange: onChange, wake: make(chan struct{}, 1), waiting: map[uint64]*waitingCall{}}
	r.ctx, r.cancel = context.WithCancel(ctx)
	return r
}

// run opens the session and passes on calls and answers until it ends.
func (r *remote) run() {
	defer r.end(nil)
	if err := r.open(); err != nil {
		r.end(err)
		return
	}
	var wg sync.WaitGroup
	wg.Go(r.sendLoop)
	r.receiveLoop()
	wg.Wait()
}

// open opens the session.
func (r *remote) open() error {
	ctx, cancel := r.withTimeout(agentTimeout)
	defer cancel()
	reply, err := r.transport.open(ctx, OpenArgs{r.session})
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.repliedAt = time.Now()
	r.clockOffset, r.offsetAt = reply.Clock-time.Since(r.startedAt), time.Since(r.startedAt)
	if r.state == stateOpening {
		r.state = stateOpen
	}
	r.mu.Unlock()
	r.onChange(r, nil)
	return nil
}

// withTimeout returns a context for one call of the agent. It ends after the timeout and readGrace, and the session
// ends with it: a blocked write ends only when the connection is closed.
func (r *remote) withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.ctx)
	t := time.AfterFunc(timeout, func() { r.startGrace(ctx, maxGraces) })
	return ctx, func() {
		cancel()
		t.Stop()
	}
}

// startGrace ends the session after readGrace from now, when this process has come to notice a timeout, unless ctx has
// ended by then.
func (r *remote) startGrace(ctx context.Context, graces int) {
	due := time.Now().Add(readGrace)
	t := time.AfterFunc(readGrace, func() { r.endGrace(ctx, graces-1, time.Since(due)) })
	context.AfterFunc(ctx, func() { t.Stop() })
}

// endGrace handles the end of a grace that was noticed late by the given time. As this process may have had no processor
// time to read replies, another grace follows if any are left.
func (r *remote) endGrace(ctx context.Context, left int, late time.Duration) {
	switch {
	case ctx.Err() != nil:
	case late > readGrace/2 && left > 0:
		r.startGrace(ctx, left)
	default:
		r.end(errNoReply)
	}
}

// call makes a call through the agent, which doesn't begin it after the deadline. Its answer is awaited as long as the session lives, as a worker may have carried
// the call out. It fails with errNotMade or errLost, or if ctx ends.
func (r *remote) call(ctx context.Context, c Call, deadline time.Time) (Answer, error) {
	w := &waitingCall{result: make(chan callResult, 1)}
	if !r.enqueue(&c, w, deadline) {
		return Answer{}, errNotMade
	}
	wait.Wake(r.wake)
	select {
	case res := <-w.result:
		return res.answer, res.err
	case <-ctx.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.waiting, c.ID)
		r.endIfDrained()
		return Answer{}, errors.Wrap(ctx.Err(), "agent")
	}
}

// enqueue appends a call to the queue. It returns false if the session takes no more calls.
func (r *remote) enqueue(c *Call, w *waitingCall, deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != stateOpen || len(r.queue) >= maxQueuedCalls {
		return false
	}
	r.lastID++
	c.ID = r.lastID
	c.Deadline = deadline.Sub(r.startedAt) + r.clockOffset
	r.queue = append(r.queue, *c)
	r.waiting[c.ID] = w
	return true
}

// sendLoop sends the queued calls in batches until the session ends or takes no more calls.
func (r *remote) sendLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.wake:
		}
		calls := r.takeQueue()
		if len(calls) == 0 {
			continue
		}
		if err := r.send(calls); err != nil {
			r.handleSendError(calls, err)
			return
		}
		if !wait.For(r.ctx, r.pause) {
			return
		}
	}
}

// send sends a batch.
func (r *remote) send(calls []Call) error {
	ctx, cancel := r.withTimeout(agentTimeout)
	defer cancel()
	if err := r.transport.send(ctx, SendArgs{r.session, calls}); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repliedAt = time.Now()
	return nil
}

// takeQueue removes and returns the queued calls whose callers still wait. From here on the agent may make them.
func (r *remote) takeQueue() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	var calls []Call
	for _, c := range r.queue {
		if w := r.waiting[c.ID]; w != nil {
			w.sent = true
			calls = append(calls, c)
		}
	}
	r.queue = nil
	return calls
}

// handleSendError handles a batch that didn't reach the agent, that it refused, or that it hasn't confirmed.
func (r *remote) handleSendError(calls []Call, err error) {
	if isRefusal(err) || errors.Is(err, link.ErrUnreachable) {
		r.markUnsent(calls)
	}
	if isStopping(err) {
		r.drain()
		return
	}
	r.end(err)
}

// markUnsent notes that the agent hasn't made the calls and won't make them.
func (r *remote) markUnsent(calls []Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range calls {
		if w := r.waiting[c.ID]; w != nil {
			w.sent = false
		}
	}
}

// isRefusal reports whether err is an answer of the agent's process.
func isRefusal(err error) bool {
	var serverErr rpc.ServerError
	return errors.As(err, &serverErr)
}

// isStopping reports whether err is the answer of an agent that stops.
func isStopping(err error) bool { return isRefusal(err) && err.Error() == errStopping.Error() }

// lacksService reports whether err is the answer of a process of an older build.
func lacksService(err error) bool {
	return isRefusal(err) && !isStopping(err) && err.Error() != errNoSession.Error()
}

// receiveLoop passes on the answers until the session ends.
func (r *remote) receiveLoop() {
	for r.ctx.Err() == nil {
		reply, err := r.receive()
		if err != nil {
			r.end(err)
			return
		}
		r.deliver(reply)
		if reply.Stopping {
			r.drain()
		}
		if !wait.For(r.ctx, r.pause) {
			return
		}
	}
}

// receive waits for answers.
func (r *remote) receive() (ReceiveReply, error) {
	ctx, cancel := r.withTimeout(receiveTimeout + agentTimeout)
	defer cancel()
	return r.transport.receive(ctx, ReceiveArgs{r.session})
}

// deliver passes answers to the callers that wait for them.
func (r *remote) deliver(reply ReceiveReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repliedAt = time.Now()
	r.updateClock(reply.Clock)
	for _, a := range reply.Answers {
		r.finish(a.ID, callResult{answer: a})
	}
	r.endIfDrained()
}

// maxClockDrift is how much faster this process's clock may run than the agent's.
const maxClockDrift = 0.001

// updateClock takes a reading of the agent's clock into account, which may be received late. The caller holds r.mu.
func (r *remote) updateClock(reading time.Duration) {
	now := time.Since(r.startedAt)
	drift := time.Duration(maxClockDrift * float64(now-r.offsetAt))
	r.clockOffset, r.offsetAt = max(r.clockOffset-drift, reading-now), now
}

// finish passes a result to the caller that waits for it, if any. The caller holds r.mu.
func (r *remote) finish(id uint64, res callResult) {
	if w := r.waiting[id]; w != nil {
		delete(r.waiting, id)
		w.result <- res
	}
}

// drain ends the session once all calls that have been sent are answered. The others go another way at once.
func (r *remote) drain() {
	r.mu.Lock()
	changed := r.state < stateDraining
	if changed {
		r.state = stateDraining
		r.queue = nil
	}
	if r.state == stateDraining {
		for id, w := range r.waiting {
			if !w.sent {
				r.finish(id, callResult{err: errNotMade})
			}
		}
		r.endIfDrained()
	}
	r.mu.Unlock()
	if changed {
		r.onChange(r, nil)
	}
}

// endIfDrained ends a draining session without calls. The caller holds r.mu.
func (r *remote) endIfDrained() {
	if r.state == stateDraining && len(r.waiting) == 0 {
		r.cancel()
	}
}

// end ends the session and fails its calls. The cause is nil if the agent wasn't lost.
func (r *remote) end(cause error) {
	r.mu.Lock()
	if r.state == stateEnded {
		r.mu.Unlock()
		return
	}
	if r.ctx.Err() != nil {
		cause = nil // the tenure is over, or the session is drained
	}
	r.state = stateEnded
	r.queue = nil
	r.mu.Unlock()
	r.onChange(r, cause) // before the calls are made another way
	r.mu.Lock()
	for id, w := range r.waiting {
		err := errNotMade
		if w.sent {
			err = errLost
		}
		r.finish(id, callResult{err: err})
	}
	r.mu.Unlock()
	r.cancel()
	r.transport.close()
}

// currentState returns the state of the session.
func (r *remote) currentState() remoteState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// lastReplyAt returns when the last reply of the agent was received, or the zero time.
func (r *remote) lastReplyAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.repliedAt
}
