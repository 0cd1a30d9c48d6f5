package link

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// echo answers with what it's sent.
type echo struct{}

// Same is called by its name over net/rpc.
func (echo) Same(in int, out *int) error {
	*out = in
	return nil
}

// An entry refuses its callers for good: its connection to the holder has gone silent without
// a reset, and every call over it times out, while a new connection would work.
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
	l := New(lis.Addr().String())
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	if _, err := Call[int, int](ctx, l, "Echo.Same", 7); !errors.Is(err, ErrAnswerLost) {
		t.Fatalf("over the silent connection: %v", err)
	}
	cancel()
	defer func() { _ = (<-silent).Close() }()
	l.Reset()
	if got, err := Call[int, int](context.Background(), l, "Echo.Same", 7); err != nil || got != 7 {
		t.Errorf("after the reset: %d, %v", got, err)
	}
}

// failingListener fails its first accepts as when the process is out of descriptors.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServeOutOfDescriptors guards against a server that accepts no connection any more after
// one accept has failed.
func TestServeOutOfDescriptors(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer("Echo", echo{})
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan struct{})
	go func() {
		defer close(over)
		s.Serve(&failingListener{lis, 3})
	}()
	l := New(lis.Addr().String())
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if got, err := Call[int, int](ctx, l, "Echo.Same", 7); err != nil || got != 7 {
		t.Errorf("Call = %d, %v, want 7", got, err)
	}
	s.Close()
	<-over
}
