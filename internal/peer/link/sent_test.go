package link

import (
	"io"
	"net/rpc"
	"sync"
	"testing"

	"github.com/pkg/errors"
)

// endingConn is a connection that the peer closes as this side does.
type endingConn struct {
	written, closed chan struct{}
	write, close    sync.Once
}

func (c *endingConn) Write(p []byte) (int, error) {
	c.write.Do(func() { close(c.written) })
	return len(p), nil
}

func (c *endingConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, io.EOF
}

func (c *endingConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return nil
}

// Guards against a start that is sent twice: the call was carried out by a peer that then closed the connection, as this
// side did, and counts as not sent.
func TestSentCallIsNotUnreachable(t *testing.T) {
	conn := &endingConn{written: make(chan struct{}), closed: make(chan struct{})}
	l := New("x", nil)
	l.client = &client{Client: rpc.NewClient(conn)}
	done := make(chan error, 1)
	go func() {
		_, err := Call[int, int](t.Context(), l, "Echo.Same", 1)
		done <- err
	}()
	<-conn.written
	l.Reset()
	if err := <-done; !errors.Is(err, ErrAnswerLost) {
		t.Errorf("error %v, want %v", err, ErrAnswerLost)
	}
}
