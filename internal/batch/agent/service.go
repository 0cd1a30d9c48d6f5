package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

const (
	// receiveTimeout is how long a Receive waits for answers.
	receiveTimeout = 250 * time.Millisecond
	// sessionTimeout is the time without a Receive after which a session ends and its calls are abandoned.
	sessionTimeout = 3 * time.Second
	// maxSessionCalls bounds the calls of a session that are in progress or whose answers have not been received.
	maxSessionCalls = 8192
)

var (
	// errStopping is returned by a Service that takes no more calls. The calls that come with it aren't made.
	errStopping = errors.New("agent: stopping")
	// errNoSession is returned for a session that isn't open, or not any more. The calls that come with it aren't made.
	errNoSession = errors.New("agent: no such session")
)

// Service makes calls to workers for a holder, as a net/rpc service. It is safe for concurrent use.
type Service struct {
	workers drive.WorkerClient
	clock   *clock

	mu       sync.Mutex
	stopping bool
	sessions map[string]*serviceSession // by id
	wg       sync.WaitGroup             // of the calls in progress
}

// NewService returns a service that makes its calls through workers.
func NewService(workers drive.WorkerClient) *Service {
	return &Service{workers: workers, clock: newClock(systemClocks()), sessions: map[string]*serviceSession{}}
}

// Stop makes the service refuse further calls, so that the holder chooses another agent. Calls in progress are
// finished, and their answers can be received.
func (s *Service) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for _, ses := range s.sessions {
		ses.notify()
	}
}

// Close abandons all calls and waits for their goroutines.
func (s *Service) Close() {
	s.mu.Lock()
	s.stopping = true
	for id, ses := range s.sessions {
		ses.end()
		delete(s.sessions, id)
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Open opens a session. It is called by name over net/rpc.
func (s *Service) Open(in OpenArgs, out *OpenReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return errStopping
	}
	if s.sessions[in.Session] == nil {
		s.sessions[in.Session] = newServiceSession(func() { s.endSession(in.Session) })
	}
	out.Clock, out.Specs = s.clock.now(), maxSpecs
	return nil
}

// endSession ends a session and abandons its calls.
func (s *Service) endSession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ses := s.sessions[id]; ses != nil {
		ses.end()
		delete(s.sessions, id)
	}
}

// Send begins to make the calls, or returns an error and makes none of them. It is called by name over net/rpc.
func (s *Service) Send(in SendArgs, _ *int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return errStopping
	}
	ses := s.sessions[in.Session]
	if ses == nil {
		return errNoSession
	}
	for _, c := range in.Calls {
		var err error
		if c.Order, err = ses.specs.restore(c); err != nil || !ses.begin() {
			ses.add(Answer{ID: c.ID, Outcome: sched.OutcomeUnsent, NotMade: true})
			continue
		}
		s.wg.Go(func() { ses.finish(s.makeCall(ses.ctx, c)) })
	}
	return nil
}

// Receive returns the answers that have arrived since the last Receive of the session. It waits for one up to
// receiveTimeout. It is called by name over net/rpc.
func (s *Service) Receive(in ReceiveArgs, out *ReceiveReply) error {
	s.mu.Lock()
	ses := s.sessions[in.Session]
	if ses == nil {
		s.mu.Unlock()
		return errNoSession
	}
	ses.timeout.Reset(sessionTimeout)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ses.ctx, receiveTimeout)
	defer cancel()
	out.Answers = ses.take(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Clock, out.Stopping = s.clock.now(), s.stopping
	return nil
}

// makeCall makes one call and returns its answer. A call that is out of date isn't made: the holder may have given it
// up while this process was frozen, and its worker may have restarted since.
func (s *Service) makeCall(ctx context.Context, c Call) Answer {
	a := Answer{ID: c.ID, Outcome: sched.OutcomeUnsent}
	switch {
	case ctx.Err() != nil || s.clock.now() > c.Deadline:
		a.NotMade = true
	case c.Poll != nil:
		a.Report, a.Outcome = s.workers.Poll(ctx, *c.Poll, c.Fence)
	case c.Order != nil:
		a.Outcome = s.workers.SendOrder(ctx, *c.Order, c.Fence)
	}
	return a
}
