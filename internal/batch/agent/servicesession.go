package agent

import (
	"context"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
)

// serviceSession is the agent's half of a session with a holder.
type serviceSession struct {
	ctx     context.Context // ends with the session
	cancel  context.CancelFunc
	timeout *time.Timer   // ends the session
	wake    chan struct{} // wakes take
	specs   specReceiver  // guarded by Service.mu

	mu       sync.Mutex
	calls    int      // in progress
	answers  []Answer // not received yet
	notified bool     // the next Receive returns at once
}

// newServiceSession returns a session that calls expire when it gets no Receive for sessionTimeout.
func newServiceSession(expire func()) *serviceSession {
	s := &serviceSession{wake: make(chan struct{}, 1), timeout: time.AfterFunc(sessionTimeout, expire)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// end ends the session.
func (s *serviceSession) end() {
	s.timeout.Stop()
	s.cancel()
}

// begin counts a call, and reports false if there are too many.
func (s *serviceSession) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls+len(s.answers) >= maxSessionCalls {
		return false
	}
	s.calls++
	return true
}

// finish adds the answer of a call that begin has counted.
func (s *serviceSession) finish(a Answer) {
	s.mu.Lock()
	s.calls--
	s.mu.Unlock()
	s.add(a)
}

// add adds an answer for the next Receive.
func (s *serviceSession) add(a Answer) {
	s.mu.Lock()
	s.answers = append(s.answers, a)
	s.mu.Unlock()
	wait.Wake(s.wake)
}

// notify makes the present Receive, or the next one, return at once.
func (s *serviceSession) notify() {
	s.mu.Lock()
	s.notified = true
	s.mu.Unlock()
	wait.Wake(s.wake)
}

// take removes and returns the answers that have not been received. If there is none, it waits for one, for notify, or
// until ctx ends.
func (s *serviceSession) take(ctx context.Context) []Answer {
	for {
		answers, notified := s.takeNow()
		if len(answers) > 0 || notified || ctx.Err() != nil {
			return answers
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
		}
	}
}

// takeNow does the same without waiting. It also reports whether notify has been called since.
func (s *serviceSession) takeNow() ([]Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answers, notified := s.answers, s.notified
	s.answers, s.notified = nil, false
	return answers, notified
}
