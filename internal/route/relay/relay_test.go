package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	faketarget "bramleysail.example/bramleysail/internal/fake/target"
)

func alwaysAuthorized() bool { return true }

// TestUnauthorized guards against a process that is paused after a request got its slot, and
// resumes when another process owns the target. Nothing of the request may be sent any more.
func TestUnauthorized(t *testing.T) {
	target := faketarget.New(4, 0)
	addr := startTarget(t, target)
	authorized := true
	r := New(1<<20, func() bool { return authorized })
	defer r.Close()
	send := func(key string) error {
		_, err := r.Do(context.Background(), addr, RoleOwner, 4, Request{ID: key, Key: key, Method: http.MethodPost, Path: "/", Body: []byte(key)})
		return err
	}
	if err := send("before"); err != nil {
		t.Fatal(err)
	}
	authorized = false
	if err := send("after"); err == nil || target.Runs("after") != 0 {
		t.Errorf("the request was sent: error %v, ran %d times", err, target.Runs("after"))
	}
}

// TestUnauthorizedIsNotSent guards against reporting that a request may have run when the process
// lost its authorization before the first write, so that nothing was sent. The connection may be
// new or reused.
func TestUnauthorizedIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		name   string
		reused bool
		body   []byte
	}{
		{"new connection", false, []byte("x")},
		{"reused connection", true, []byte("x")},
		{"reused connection, no body", true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			target := faketarget.New(4, 0)
			addr := startTarget(t, target)
			authorized := true
			r := New(1<<20, func() bool { return authorized })
			defer r.Close()
			send := func(key string) error {
				_, err := r.Do(context.Background(), addr, RoleOwner, 1, Request{ID: key, Key: key, Method: http.MethodPost, Path: "/", Body: tc.body})
				return err
			}
			if tc.reused {
				if err := send("before"); err != nil {
					t.Fatal(err)
				}
			}
			authorized = false
			if err := send("after"); !errors.Is(err, ErrUnauthorized) || !errors.Is(err, ErrNotSent) || errors.Is(err, ErrAnswerLost) {
				t.Errorf("got error %v, want ErrUnauthorized", err)
			}
			if n := target.Runs("after"); n != 0 {
				t.Errorf("the request ran %d times, want 0", n)
			}
		})
	}
}

// TestPartlySentIsAnswerLost guards against reporting a request as not sent when the process lost
// its authorization in the middle of writing it. The target may have begun to run it.
func TestPartlySentIsAnswerLost(t *testing.T) {
	addr := startTarget(t, faketarget.New(4, 0))
	var writes atomic.Int32
	r := New(1<<20, func() bool { return writes.Add(1) == 1 })
	defer r.Close()
	_, err := r.Do(context.Background(), addr, RoleOwner, 1,
		Request{ID: "1", Key: "1", Method: http.MethodPost, Path: "/", Body: make([]byte, 1<<20)})
	if writes.Load() < 2 {
		t.Fatal("the request was sent in one write")
	}
	if !errors.Is(err, ErrAnswerLost) || errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want ErrAnswerLost", err)
	}
}

// TestClosedBeforeWriteIsNotSent guards against reporting that a request may have run when the
// target closed an idle connection just before the request was written, so that nothing was sent.
func TestClosedBeforeWriteIsNotSent(t *testing.T) {
	target := faketarget.New(4, 0)
	addr := startTarget(t, target)
	r := New(1<<20, alwaysAuthorized)
	defer r.Close()
	var closed atomic.Bool
	r.transport(addr, RoleOwner, 1).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &guardedConn{Conn: resetConn{c, &closed}, authorized: alwaysAuthorized}, err
	}
	send := func(key string) error {
		_, err := r.Do(context.Background(), addr, RoleOwner, 1, Request{ID: key, Key: key, Method: http.MethodPost, Path: "/", Body: []byte("x")})
		return err
	}
	if err := send("before"); err != nil {
		t.Fatal(err)
	}
	closed.Store(true)
	if err := send("after"); !errors.Is(err, ErrNotSent) || errors.Is(err, ErrUnauthorized) || errors.Is(err, ErrAnswerLost) {
		t.Errorf("got error %v, want ErrNotSent", err)
	}
	if n := target.Runs("after"); n != 0 {
		t.Errorf("the request ran %d times, want 0", n)
	}
}

// resetConn is a connection that the other side has closed, as soon as closed is set.
type resetConn struct {
	net.Conn
	closed *atomic.Bool
}

// Write implements net.Conn.
func (c resetConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(p)
}

// startTarget serves a target until the test ends and returns its address.
func startTarget(t *testing.T, target *faketarget.Target) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := target.Server()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// TestTransportDoesNotResend guards against a non-idempotent request without a body that runs
// twice unnoticed, because its target closed a reused connection after running it. An HTTP library
// takes this for an idle connection that was closed, and resends a request that has the usual
// idempotency header.
func TestTransportDoesNotResend(t *testing.T) {
	target := faketarget.New(4, 0)
	addr := startTarget(t, target)
	r := New(1<<20, alwaysAuthorized)
	defer r.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	header := http.Header{"Idempotency-Key": {"bottle"}}
	send := func(id, key string) error {
		_, err := r.Do(ctx, addr, RoleOwner, 4, Request{ID: id, Key: key, Method: http.MethodPost, Path: "/checkin", Header: header})
		return err
	}
	if err := send("1", "before"); err != nil {
		t.Fatal(err)
	}
	target.SetFault(faketarget.FaultDrop)
	if err := send("2", "bottle"); !errors.Is(err, ErrAnswerLost) {
		t.Errorf("after the connection was closed: got error %v, want ErrAnswerLost", err)
	}
	if n := target.Runs("bottle"); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

// TestUnreachableIsNotSent guards against reporting that a request may have run when no process
// listens at the target's address, so that nothing was sent.
func TestUnreachableIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	r := New(1<<20, alwaysAuthorized)
	defer r.Close()
	if _, err := r.Do(context.Background(), addr, RoleOwner, 1, Request{ID: "1", Method: http.MethodPost, Path: "/"}); !errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want ErrNotSent", err)
	}
}

// TestHeaders guards against a target that doesn't get the time until the deadline, the attempt id
// or the caller's key, and against hop-by-hop headers that are passed on to it.
func TestHeaders(t *testing.T) {
	got := make(chan http.Header, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header
		w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
		w.Header().Set(HeaderLoad, "3")
		w.Header().Set(HeaderState, "leaving")
	}))
	defer srv.Close()
	r := New(1<<20, alwaysAuthorized)
	defer r.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a, err := r.Do(ctx, srv.Listener.Addr().String(), RoleOwner, 1, Request{ID: "attempt-1", Key: "bottle", Method: http.MethodPut, Path: "/x",
		Header: http.Header{"Te": {"trailers"}, "Idempotency-Key": {"bottle"}, "X-Mine": {"kept"}}})
	if err != nil || a.Load != 3 || !a.Leaving {
		t.Errorf("answer %+v, error %v", a, err)
	}
	h := <-got
	left, err := time.ParseDuration(h.Get(HeaderTimeout))
	if err != nil || left <= 0 || left > time.Minute {
		t.Errorf("%s: %q", HeaderTimeout, h.Get(HeaderTimeout))
	}
	if h.Get(HeaderAttemptID) != "attempt-1" || h.Get(HeaderKey) != "bottle" || h.Get("X-Mine") != "kept" || h.Get("Te")+h.Get("Idempotency-Key") != "" {
		t.Errorf("headers received by the target: %v", h)
	}
}

// TestRefusedKeepsConnection guards against reporting an unknown outcome for a request that the
// target refused. This happens when the relay closes the connection after a refusal, which is a
// whole answer, while the next request already uses the connection. So a refusal must leave the
// connection open.
func TestRefusedKeepsConnection(t *testing.T) {
	target := faketarget.New(4, 0)
	target.SetFault(faketarget.FaultRefuse)
	addr := startTarget(t, target)
	r := New(1<<20, alwaysAuthorized)
	defer r.Close()
	for i := range 20 {
		_, err := r.Do(context.Background(), addr, RoleOwner, 1, Request{ID: "r", Key: "k", Method: http.MethodPost, Path: "/", Body: []byte("x")})
		if !errors.Is(err, ErrRefused) {
			t.Fatalf("request %d: got error %v, want ErrRefused", i, err)
		}
	}
	if got := target.AcceptedConns(); got != 1 {
		t.Errorf("%d connections opened for 20 refused requests, want 1", got)
	}
}
