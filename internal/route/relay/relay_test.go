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

// A process is paused after a request got its slot and wakes up when others have the
// target. Nothing of the request may leave it any more.
func TestUnauthorized(t *testing.T) {
	target := faketarget.New(4, 0)
	addr := startTarget(t, target)
	lawful := true
	r := New(1<<20, func() bool { return lawful })
	defer r.Close()
	send := func(key string) error {
		_, err := r.Do(context.Background(), addr, RoleOwner, 4, Request{ID: key, Key: key, Method: http.MethodPost, Path: "/", Body: []byte(key)})
		return err
	}
	if err := send("before"); err != nil {
		t.Fatal(err)
	}
	lawful = false
	if err := send("after"); err == nil || target.Runs("after") != 0 {
		t.Errorf("it was sent: %v, ran %d times", err, target.Runs("after"))
	}
}

// A process loses its right to a target between a request's slot and its writing, over a
// new connection or a used one. Nothing has left it: the caller must not be told that the
// request may have run.
func TestUnauthorizedIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		name string
		used bool
		body []byte
	}{
		{"new connection", false, []byte("x")},
		{"used connection", true, []byte("x")},
		{"used connection, no body", true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			target := faketarget.New(4, 0)
			addr := startTarget(t, target)
			lawful := true
			r := New(1<<20, func() bool { return lawful })
			defer r.Close()
			send := func(key string) error {
				_, err := r.Do(context.Background(), addr, RoleOwner, 1, Request{ID: key, Key: key, Method: http.MethodPost, Path: "/", Body: tc.body})
				return err
			}
			if tc.used {
				if err := send("before"); err != nil {
					t.Fatal(err)
				}
			}
			lawful = false
			if err := send("after"); !errors.Is(err, ErrUnauthorized) || !errors.Is(err, ErrNotSent) || errors.Is(err, ErrAnswerLost) {
				t.Errorf("%v", err)
			}
			if n := target.Runs("after"); n != 0 {
				t.Errorf("it ran %d times", n)
			}
		})
	}
}

// A process loses its right to a target with half of a request written. The target may
// have begun with it: it must not be told as not run.
func TestPartlySentIsAnswerLost(t *testing.T) {
	addr := startTarget(t, faketarget.New(4, 0))
	var writes atomic.Int32
	r := New(1<<20, func() bool { return writes.Add(1) == 1 })
	defer r.Close()
	_, err := r.Do(context.Background(), addr, RoleOwner, 1,
		Request{ID: "1", Key: "1", Method: http.MethodPost, Path: "/", Body: make([]byte, 1<<20)})
	if writes.Load() < 2 {
		t.Fatal("the request went out in one write")
	}
	if !errors.Is(err, ErrAnswerLost) || errors.Is(err, ErrNotSent) {
		t.Errorf("%v", err)
	}
}

// A target closes a kept connection just before a request is written to it. Nothing has
// left: the caller must not be told that the request may have run.
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
		t.Errorf("%v", err)
	}
	if n := target.Runs("after"); n != 0 {
		t.Errorf("it ran %d times", n)
	}
}

// resetConn is a connection whose other side has closed it, once closed is set.
type resetConn struct {
	net.Conn
	closed *atomic.Bool
}

func (c resetConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(p)
}

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

// A target cuts a connection that was used before, after it has run a check-in without a
// body. HTTP libraries take such a cut for an idle connection that was closed and send
// the request again by themselves if it carries the usual idempotency header: the
// bottle would be checked in twice and nobody would know.
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
		t.Errorf("a cut connection: %v", err)
	}
	if n := target.Runs("bottle"); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

// Nobody listens: that, and only that, is certainly not sent.
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
		t.Errorf("%v", err)
	}
}

// What is left of the caller's patience, the try's id and the caller's key go on to the
// target; headers that end at a connection don't.
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
	a, err := r.Do(ctx, srv.Listener.Addr().String(), RoleOwner, 1, Request{ID: "try-1", Key: "bottle", Method: http.MethodPut, Path: "/x",
		Header: http.Header{"Te": {"trailers"}, "Idempotency-Key": {"bottle"}, "X-Mine": {"kept"}}})
	if err != nil || a.Load != 3 || !a.Leaving {
		t.Errorf("%+v, %v", a, err)
	}
	h := <-got
	left, err := time.ParseDuration(h.Get(HeaderTimeout))
	if err != nil || left <= 0 || left > time.Minute {
		t.Errorf("%s: %q", HeaderTimeout, h.Get(HeaderTimeout))
	}
	if h.Get(HeaderAttemptID) != "try-1" || h.Get(HeaderKey) != "bottle" || h.Get("X-Mine") != "kept" || h.Get("Te")+h.Get("Idempotency-Key") != "" {
		t.Errorf("headers at the target: %v", h)
	}
}

// A caller is told that a check-in's outcome is unknown though the target had refused it. The
// relay closes the connection after the refusal, which was whole, and the next request already
// goes over it. So a refusal leaves the connection in use.
func TestRefusedKeepsConnection(t *testing.T) {
	target := faketarget.New(4, 0)
	target.SetFault(faketarget.FaultRefuse)
	addr := startTarget(t, target)
	r := New(1<<20, alwaysAuthorized)
	defer r.Close()
	for i := range 20 {
		_, err := r.Do(context.Background(), addr, RoleOwner, 1, Request{ID: "r", Key: "k", Method: http.MethodPost, Path: "/", Body: []byte("x")})
		if !errors.Is(err, ErrRefused) {
			t.Fatalf("refusal %d: %v", i, err)
		}
	}
	if got := target.AcceptedConns(); got != 1 {
		t.Errorf("%d connections made for 20 refusals, want 1", got)
	}
}
