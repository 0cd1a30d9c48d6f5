package agent

import (
	"context"
	"net/rpc"
	"sync"
	"sync/atomic"
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
	// maxFullGraces bounds the further graces in which the link is full.
	maxFullGraces = 6
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

// sessionState is the state of a session with an agent.
type sessionState int

const (
	stateOpening  sessionState = iota // the agent hasn't answered yet
	stateOpen                         // takes calls
	stateDraining                     // takes no more calls; the answers to the others are awaited
	stateEnded
)

// sessionObserver is told of the changes of a session, which holds none of its locks meanwhile.
type sessionObserver interface {
	// sessionOpened is called when the session takes calls.
	sessionOpened(s *clientSession)
	// sessionDraining is called when it takes no more calls, but waits for the answers to the others.
	sessionDraining(s *clientSession)
	// sessionEnded is called when the session has ended, before its calls fail. The cause is why its agent was lost, or nil.
	sessionEnded(s *clientSession, cause error)
}

// clientSession is the holder's half of a session with one agent.
type clientSession struct {
	addr      string
	limits    Limits  // of the agent
	weight    float64 // of its share of the workers
	ownLink   ownLink // of this process
	transport transport
	id        string       // of the session
	pause     atomic.Int64 // between two batches in one direction, in nanoseconds
	startedAt time.Time
	observer  sessionObserver
	ctx       context.Context
	cancel    context.CancelFunc
	wake      chan struct{} // wakes sendLoop
	specs     specSender    // used by sendLoop, once the session is open
	silent    bool          // ended as all agents were silent; guarded by Client.mu

	mu          sync.Mutex
	state       sessionState
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

// newClientSession returns a session that ends with ctx. It is run by run.
func newClientSession(
	ctx context.Context, c Candidate, t transport, l ownLink, observer sessionObserver,
) *clientSession {
	s := &clientSession{
		addr: c.Addr, limits: c.Limits, weight: c.Limits.weight(), ownLink: l, transport: t, id: uuid.NewString(), startedAt: time.Now(), observer: observer,
		wake: make(chan struct{}, 1), waiting: map[uint64]*waitingCall{},
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// candidate returns the agent as a candidate.
func (s *clientSession) candidate() Candidate { return Candidate{s.addr, s.limits} }

// isWith reports whether the session's agent is the candidate.
func (s *clientSession) isWith(c Candidate) bool { return s.addr == c.Addr }

// run opens the session and passes on calls and answers until it ends.
func (s *clientSession) run() {
	defer s.end(nil)
	if err := s.open(); err != nil {
		s.end(err)
		return
	}
	var wg sync.WaitGroup
	wg.Go(s.sendLoop)
	s.receiveLoop()
	wg.Wait()
}

// open opens the session.
func (s *clientSession) open() error {
	ctx, cancel := s.withTimeout(agentTimeout)
	defer cancel()
	reply, err := s.transport.open(ctx, OpenArgs{s.id})
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.repliedAt = time.Now()
	s.specs.kept = min(reply.Specs, maxSpecs)
	s.clockOffset, s.offsetAt = reply.Clock-time.Since(s.startedAt), time.Since(s.startedAt)
	if s.state == stateOpening {
		s.state = stateOpen
	}
	s.mu.Unlock()
	s.observer.sessionOpened(s)
	return nil
}

// withTimeout returns a context for one call of the agent. It ends after the timeout and readGrace, and the session
// ends with it: a blocked write ends only when the connection is closed.
func (s *clientSession) withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	t := time.AfterFunc(timeout, func() { s.startGrace(ctx, maxGraces) })
	return ctx, func() {
		cancel()
		t.Stop()
	}
}

// startGrace ends the session after readGrace from now, when this process has come to notice a timeout, unless ctx has
// ended by then.
func (s *clientSession) startGrace(ctx context.Context, graces int) {
	begun := time.Now()
	due, received := begun.Add(readGrace), s.ownLink.received()
	t := time.AfterFunc(readGrace, func() {
		s.endGrace(ctx, graces-1, time.Since(due), s.ownLink.full(s.ownLink.received()-received, time.Since(begun)))
	})
	context.AfterFunc(ctx, func() { t.Stop() })
}

// endGrace handles the end of a grace that was noticed late by the given time, or in which this process's link was full. As
// this process may have had no processor time to read replies, or they may wait behind what else it receives, another grace
// follows if any are left.
func (s *clientSession) endGrace(ctx context.Context, left int, late time.Duration, linkFull bool) {
	switch {
	case ctx.Err() != nil:
	case linkFull && left > -maxFullGraces, late > readGrace/2 && left > 0:
		s.startGrace(ctx, left)
	default:
		s.end(errNoReply)
	}
}

// call makes a call through the agent, which doesn't begin it after the deadline. Its answer is awaited as long as the
// session lives, as a worker may have carried the call out. It fails with errNotMade or errLost, or if ctx ends.
func (s *clientSession) call(ctx context.Context, c Call, deadline time.Time) (Answer, error) {
	w := &waitingCall{result: make(chan callResult, 1)}
	if !s.enqueue(&c, w, deadline) {
		return Answer{}, errNotMade
	}
	wait.Wake(s.wake)
	select {
	case res := <-w.result:
		return res.answer, res.err
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, c.ID)
		s.endIfDrained()
		return Answer{}, errors.Wrap(ctx.Err(), "agent")
	}
}

// enqueue appends a call to the queue. It returns false if the session takes no more calls.
func (s *clientSession) enqueue(c *Call, w *waitingCall, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != stateOpen || len(s.queue) >= maxQueuedCalls {
		return false
	}
	s.lastID++
	c.ID = s.lastID
	c.Deadline = deadline.Sub(s.startedAt) + s.clockOffset
	s.queue = append(s.queue, *c)
	s.waiting[c.ID] = w
	return true
}

// sendLoop sends the queued calls in batches until the session ends or takes no more calls.
func (s *clientSession) sendLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		}
		calls := s.takeQueue()
		if len(calls) == 0 {
			continue
		}
		if err := s.send(calls); err != nil {
			s.handleSendError(calls, err)
			return
		}
		if !wait.For(s.ctx, time.Duration(s.pause.Load())) {
			return
		}
	}
}

// send sends a batch.
func (s *clientSession) send(calls []Call) error {
	ctx, cancel := s.withTimeout(agentTimeout)
	defer cancel()
	batch := make([]Call, 0, len(calls))
	for _, c := range calls {
		batch = append(batch, s.specs.replace(c))
	}
	if err := s.transport.send(ctx, SendArgs{s.id, batch}); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliedAt = time.Now()
	return nil
}

// takeQueue removes and returns the queued calls whose callers still wait. From here on the agent may make them.
func (s *clientSession) takeQueue() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	var calls []Call
	for _, c := range s.queue {
		if w := s.waiting[c.ID]; w != nil {
			w.sent = true
			calls = append(calls, c)
		}
	}
	s.queue = nil
	return calls
}

// handleSendError handles a batch that didn't reach the agent, that it refused, or that it hasn't confirmed.
func (s *clientSession) handleSendError(calls []Call, err error) {
	if isRefusal(err) || errors.Is(err, link.ErrUnreachable) {
		s.markUnsent(calls)
	}
	if isStopping(err) {
		s.drain()
		return
	}
	s.end(err)
}

// markUnsent notes that the agent hasn't made the calls and won't make them.
func (s *clientSession) markUnsent(calls []Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range calls {
		if w := s.waiting[c.ID]; w != nil {
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
func (s *clientSession) receiveLoop() {
	for s.ctx.Err() == nil {
		reply, err := s.receive()
		if err != nil {
			s.end(err)
			return
		}
		s.deliver(reply)
		if reply.Stopping {
			s.drain()
		}
		if !wait.For(s.ctx, time.Duration(s.pause.Load())) {
			return
		}
	}
}

// receive waits for answers.
func (s *clientSession) receive() (ReceiveReply, error) {
	ctx, cancel := s.withTimeout(receiveTimeout + agentTimeout)
	defer cancel()
	return s.transport.receive(ctx, ReceiveArgs{s.id})
}

// deliver passes answers to the callers that wait for them.
func (s *clientSession) deliver(reply ReceiveReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliedAt = time.Now()
	s.updateClock(reply.Clock)
	for _, a := range reply.Answers {
		s.finish(a.ID, callResult{answer: a})
	}
	s.endIfDrained()
}

// maxClockDrift is how much faster this process's clock may run than the agent's.
const maxClockDrift = 0.001

// updateClock takes a reading of the agent's clock into account, which may be received late. The caller holds s.mu.
func (s *clientSession) updateClock(reading time.Duration) {
	now := time.Since(s.startedAt)
	drift := time.Duration(maxClockDrift * float64(now-s.offsetAt))
	s.clockOffset, s.offsetAt = max(s.clockOffset-drift, reading-now), now
}

// finish passes a result to the caller that waits for it, if any. The caller holds s.mu.
func (s *clientSession) finish(id uint64, res callResult) {
	if w := s.waiting[id]; w != nil {
		delete(s.waiting, id)
		w.result <- res
	}
}

// drain ends the session once all calls that have been sent are answered. The others go another way at once.
func (s *clientSession) drain() {
	s.mu.Lock()
	changed := s.state < stateDraining
	if changed {
		s.state = stateDraining
		s.queue = nil
	}
	if s.state == stateDraining {
		for id, w := range s.waiting {
			if !w.sent {
				s.finish(id, callResult{err: errNotMade})
			}
		}
		s.endIfDrained()
	}
	s.mu.Unlock()
	if changed {
		s.observer.sessionDraining(s)
	}
}

// endIfDrained ends a draining session without calls. The caller holds s.mu.
func (s *clientSession) endIfDrained() {
	if s.state == stateDraining && len(s.waiting) == 0 {
		s.cancel()
	}
}

// end ends the session and fails its calls. The cause is nil if the agent wasn't lost.
func (s *clientSession) end(cause error) {
	s.mu.Lock()
	if s.state == stateEnded {
		s.mu.Unlock()
		return
	}
	if s.ctx.Err() != nil {
		cause = nil // the tenure is over, or the session is drained
	}
	s.state = stateEnded
	s.queue = nil
	s.mu.Unlock()
	s.observer.sessionEnded(s, cause)
	s.mu.Lock()
	for id, w := range s.waiting {
		err := errNotMade
		if w.sent {
			err = errLost
		}
		s.finish(id, callResult{err: err})
	}
	s.mu.Unlock()
	s.cancel()
	s.transport.close()
}

// currentState returns the state of the session.
func (s *clientSession) currentState() sessionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// lastReplyAt returns when the last reply of the agent was received, or the zero time.
func (s *clientSession) lastReplyAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repliedAt
}
