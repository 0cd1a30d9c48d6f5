package link

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// echo is the implementation of a net/rpc service for tests.
type echo struct{}

// Same answers with its argument. It is called by name over net/rpc.
func (echo) Same(in int, out *int) error {
	*out = in
	return nil
}

// TestReset guards against an entry process that refuses its callers for good: its connection to
// the holder stops delivering data without a TCP reset, and all calls over it time out, while a
// new connection would work.
func TestReset(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	s, err := NewServer("Echo", echo{})
	if err != nil {
		t.Fatal(err)
	}
	silent := make(chan net.Conn, 1)
	go func() {
		c, err := lis.Accept() // the first connection, which nobody reads
		if err != nil {
			return
		}
		silent <- c
		s.Serve(lis)
	}()
	defer s.Close()
	l := New(lis.Addr().String(), nil)
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	if _, err := Call[int, int](ctx, l, "Echo.Same", 7); !errors.Is(err, ErrAnswerLost) {
		t.Fatalf("call over a connection that nobody reads: %v, want ErrAnswerLost", err)
	}
	cancel()
	defer func() { _ = (<-silent).Close() }()
	l.Reset()
	if got, err := Call[int, int](context.Background(), l, "Echo.Same", 7); err != nil || got != 7 {
		t.Errorf("call after the reset: %d, %v, want 7", got, err)
	}
}

// failingListener is a listener whose first accepts fail as if the process had reached its
// limit of open descriptors.
type failingListener struct {
	net.Listener
	failures int // accepts that still have to fail
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServeOutOfDescriptors guards against a server that stops accepting connections after one
// accept has failed.
func TestServeOutOfDescriptors(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer("Echo", echo{})
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		s.Serve(&failingListener{lis, 3})
	}()
	l := New(lis.Addr().String(), nil)
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if got, err := Call[int, int](ctx, l, "Echo.Same", 7); err != nil || got != 7 {
		t.Errorf("Call = %d, %v, want 7", got, err)
	}
	s.Close()
	<-served
}

// negate is the implementation of a second net/rpc service for tests.
type negate struct{}

// Value answers with the negated argument. It is called by name over net/rpc.
func (negate) Value(in int, out *int) error {
	*out = -in
	return nil
}

// TestRegister guards against a server that answers for one of its services only, and against one that an older build
// runs: a call of a service that it lacks must return a peer's error, which shows that the connection works.
func TestRegister(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer("Echo", echo{})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Register("Negate", negate{}); err != nil {
		t.Fatal(err)
	}
	if err := s.Register("Negate", negate{}); err == nil {
		t.Error("a second service of the same name was registered")
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.Serve(lis) })
	defer wg.Wait()
	defer s.Close()
	l := New(lis.Addr().String(), nil)
	defer l.Close()
	ctx := context.Background()
	if got, err := Call[int, int](ctx, l, "Echo.Same", 7); err != nil || got != 7 {
		t.Errorf("Echo.Same: %d, %v, want 7", got, err)
	}
	if got, err := Call[int, int](ctx, l, "Negate.Value", 7); err != nil || got != -7 {
		t.Errorf("Negate.Value: %d, %v, want -7", got, err)
	}
	var serverErr rpc.ServerError
	if _, err := Call[int, int](ctx, l, "None.Value", 7); !errors.As(err, &serverErr) {
		t.Errorf("call of an unknown service: %v, want an rpc.ServerError", err)
	}
}

// Guards against calls that are made for a caller who has left.
func TestCallOfEndedContext(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer("Echo", echo{})
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(lis)
	defer s.Close()
	l := New(lis.Addr().String(), nil)
	defer l.Close()
	if _, err := Call[int, int](context.Background(), l, "Echo.Same", 7); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		if _, err := Call[int, int](ctx, l, "Echo.Same", 7); !errors.Is(err, ErrUnreachable) {
			t.Fatalf("%v, want ErrUnreachable", err)
		}
	}
}
