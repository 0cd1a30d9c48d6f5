package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/ctrl/shard"
	faketarget "bramleysail.example/bramleysail/internal/fake/target"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/route/broker"
	"bramleysail.example/bramleysail/internal/route/pool"
	"bramleysail.example/bramleysail/internal/route/relay"
)

// authorization simulates the loss of a process's authorization to send. The relay checks it at
// each write, and the first check finds it lost. The broker checks it at each tick, and the
// fourth check after the loss finds it valid again.
type authorization struct {
	mu     sync.Mutex
	writes int  // number of the relay's checks
	ticks  int  // number of the broker's checks since the loss
	lost   bool // whether the process may not send
}

// checkWrite is the relay's check.
func (a *authorization) checkWrite() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writes++
	if a.writes == 1 {
		a.lost = true
	}
	return !a.lost
}

// checkTick is the broker's check.
func (a *authorization) checkTick() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lost {
		a.ticks++
		a.lost = a.ticks < 4
	}
	return !a.lost
}

// isValid reports whether the process may send, without counting a check.
func (a *authorization) isValid() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.lost
}

// TestUnauthorizedRequestWaits guards against a request that is refused or sent over and over
// while the process isn't authorized to send. The authorization is lost between the request's
// permit and its first write, as when the store comes back, and the broker learns of it only at
// its next tick. The request must wait in this process and run once, however small the retry
// budget is.
func TestUnauthorizedRequestWaits(t *testing.T) {
	target := faketarget.New(4, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := target.Server()
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	addr := l.Addr().String()

	auth := &authorization{}
	b := broker.New(broker.Options{
		Service:        "registro",
		Group:          member.New(member.Options{Self: member.Member{ID: "e0"}}),
		Links:          &link.Set{},
		RPCTimeout:     time.Second,
		OwnershipValid: auth.checkTick,
		Authorized:     auth.isValid,
		Probe:          func(string) (bool, int, bool) { return true, 0, false },
		Log:            logr.Discard(),
	})
	b.SetLimits(time.Minute, time.Minute, 1)
	b.TakeOverAssigned(t.Context(), map[string]shard.Assignment{addr: {Epoch: 1}}, 4)
	ended, end := context.WithCancel(t.Context())
	end()
	b.Run(ended) // returns when the target has been taken over
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	rl := relay.New(1<<20, auth.checkWrite)
	t.Cleanup(rl.Close)
	e := New("e0", Options{Relay: rl, Log: logr.Discard()})

	s := Service{Name: "registro", Broker: b, RetryBudget: &RetryBudget{initialized: true}, Timeout: time.Minute, Slots: 4, BorrowerConns: 1}
	q := request{Request: relay.Request{Key: "bottle", Method: http.MethodPost, Path: "/checkin", Body: []byte("x")}, deadline: time.Now().Add(time.Minute)}
	a, f := e.sendWithRetries(ctx, s, q)
	if f != nil || a.Status != http.StatusOK {
		t.Errorf("answer %+v, failure %v", a, f)
	}
	if n := target.Runs("bottle"); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
	if auth.writes != 2 {
		t.Errorf("%d writes attempted, want 2", auth.writes)
	}
}

// TestUnauthorizedNotChargedToTarget guards against counting requests that this process was not
// authorized to send as failures of their targets, which would all be ejected one by one.
func TestUnauthorizedNotChargedToTarget(t *testing.T) {
	for err, want := range map[error]pool.Outcome{
		relay.ErrUnauthorized: pool.OutcomeNotSent,
		relay.ErrNotSent:      pool.OutcomeFailed,
		relay.ErrAnswerLost:   pool.OutcomeLost,
	} {
		if got := poolResult(relay.Answer{Load: -1}, errors.Wrap(err, "test"), 0).Outcome; got != want {
			t.Errorf("outcome of %v: %s, want %s", err, got, want)
		}
	}
}
