package link

import (
	"context"
	"net"
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
	if _, err := Call[int, int](ctx, l, "Echo.Same", 7); !errors.Is(err, ErrLost) {
		t.Fatalf("over the silent connection: %v", err)
	}
	cancel()
	defer func() { _ = (<-silent).Close() }()
	l.Reset()
	if got, err := Call[int, int](context.Background(), l, "Echo.Same", 7); err != nil || got != 7 {
		t.Errorf("after the reset: %d, %v", got, err)
	}
}
