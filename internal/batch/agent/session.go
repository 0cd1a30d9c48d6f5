package agent

import (
	"context"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
)

// session is an agent's part of its session with a holder.
type session struct {
	ctx     context.Context // ends with the session
	cancel  context.CancelFunc
	timeout *time.Timer   // ends the session
	wake    chan struct{} // wakes take

	mu       sync.Mutex
	calls    int      // in progress
	answers  []Answer // not received yet
	notified bool     // the next Receive returns at once
}

// newSession returns a session that calls expire when it gets no Receive for sessionTimeout.
func newSession(expire func()) *session {
	ses := &session{wake: make(chan struct{}, 1), timeout: time.AfterFunc(sessionTimeout, expire)}
	ses.ctx, ses.cancel = context.WithCancel(context.Background())
	return ses
}

// end ends the session.
func (ses *session) end() {
	ses.timeout.Stop()
	ses.cancel()
}

// begin counts a call, and reports false if there are too many.
func (ses *session) begin() bool {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if ses.calls+len(ses.answers) >= maxSessionCalls {
		return false
	}
	ses.calls++
	return true
}

// finish adds the answer of a call that begin has counted.
func (ses *session) finish(a Answer) {
	ses.mu.Lock()
	ses.calls--
	ses.mu.Unlock()
	ses.add(a)
}

// add adds an answer for the next Receive.
func (ses *session) add(a Answer) {
	ses.mu.Lock()
	ses.answers = append(ses.answers, a)
	ses.mu.Unlock()
	wait.Wake(ses.wake)
}

// notify makes the present Receive, or the next one, return at once.
func (ses *session) notify() {
	ses.mu.Lock()
	ses.notified = true
	ses.mu.Unlock()
	wait.Wake(ses.wake)
}

// take removes and returns the answers that have not been received. If there is none, it waits for one, for notify, or
// until ctx ends.
func (ses *session) take(ctx context.Context) []Answer {
	for {
		answers, notified := ses.takeNow()
		if len(answers) > 0 || notified || ctx.Err() != nil {
			return answers
		}
		select {
		case <-ses.wake:
		case <-ctx.Done():
		}
	}
}

// takeNow does the same without waiting. It also reports whether notify has been called since.
func (ses *session) takeNow() ([]Answer, bool) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	answers, notified := ses.answers, ses.notified
	ses.answers, ses.notified = nil, false
	return answers, notified
}
