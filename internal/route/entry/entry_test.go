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

// authorization is whether a process may use what it holds, as its parts see it. The relay asks
// with each write and finds it lost the first time; the broker asks with each tick and
// finds it back later.
type authorization struct {
	mu     sync.Mutex
	writes int
	ticks  int // of the broker without the right
	lost   bool
}

func (r *authorization) checkWrite() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	if r.writes == 1 {
		r.lost = true
	}
	return !r.lost
}

func (r *authorization) checkTick() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost {
		r.ticks++
		r.lost = r.ticks < 4
	}
	return !r.lost
}

func (r *authorization) isValid() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lost
}

// The right to a target is lost between a check-in's slot and its writing, as when the
// store comes back, and its broker learns of it with the next tick only. The check-in must
// wait here and be run once, whatever is left of the budget of retries: it must neither be
// refused nor sent on and on meanwhile.
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

	r := &authorization{}
	b := broker.New(broker.Options{
		Service:        "registro",
		Group:          member.New(member.Options{Self: member.Member{ID: "e0"}}),
		Links:          &link.Set{},
		RPCTimeout:     time.Second,
		OwnershipValid: r.checkTick,
		Authorized:     r.isValid,
		Probe:          func(string) (bool, int, bool) { return true, 0, false },
		Log:            logr.Discard(),
	})
	b.SetLimits(time.Minute, time.Minute, 1)
	b.TakeOverAssigned(t.Context(), map[string]shard.Assignment{addr: {Epoch: 1}}, 4)
	ended, end := context.WithCancel(t.Context())
	end()
	b.Run(ended) // until the target is owned
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
	rl := relay.New(1<<20, r.checkWrite)
	t.Cleanup(rl.Close)
	e := New("e0", Options{Relay: rl, Log: logr.Discard()})

	s := Service{Name: "registro", Broker: b, RetryBudget: &RetryBudget{initialized: true}, Timeout: time.Minute, Slots: 4, BorrowerConns: 1}
	q := request{Request: relay.Request{Key: "bottle", Method: http.MethodPost, Path: "/checkin", Body: []byte("x")}, deadline: time.Now().Add(time.Minute)}
	a, f := e.sendWithRetries(ctx, s, q)
	if f != nil || a.Status != http.StatusOK {
		t.Errorf("%+v, %v", a, f)
	}
	if n := target.Runs("bottle"); n != 1 {
		t.Errorf("it ran %d times", n)
	}
	if r.writes != 2 {
		t.Errorf("%d writes were tried, want 2", r.writes)
	}
}

// A process that may not send for a moment doesn't hold that against its targets, which it
// would eject one after the other.
func TestUnauthorizedNotChargedToTarget(t *testing.T) {
	for err, want := range map[error]pool.Outcome{
		relay.ErrUnauthorized: pool.OutcomeNotSent,
		relay.ErrNotSent:      pool.OutcomeFailed,
		relay.ErrAnswerLost:   pool.OutcomeLost,
	} {
		if got := poolResult(relay.Answer{Load: -1}, errors.Wrap(err, "test"), 0).Outcome; got != want {
			t.Errorf("%v: %s, want %s", err, got, want)
		}
	}
}
