package intake

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// receiveBuffer is the size of the kernel's buffer for what has arrived on a connection and isn't read, in bytes. It counts
	// as memory of the machine.
	receiveBuffer = 32 << 10
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// writeTimeout limits a write of up to maxWrite bytes, so that callers that don't read their answers are given up.
	writeTimeout = 10 * time.Second
	maxWrite     = 64 << 10
)

// LimitBuffers sets the size of the receive buffers of connections that a TCP listener accepts from now on.
func LimitBuffers(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "intake")
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	if err == nil {
		err = optErr
	}
	return errors.Wrap(err, "intake")
}

// Attach returns a listener for s.Serve that keeps to the gate's bound of connections. It sets the fields of s that this takes.
func (g *Gate) Attach(s *http.Server, l net.Listener) net.Listener {
	s.MaxHeaderBytes = maxHeaderBytes
	s.ConnState = func(c net.Conn, state http.ConnState) {
		switch c := c.(*conn); state {
		case http.StateIdle:
			c.setState(stateIdle)
		case http.StateActive:
			c.setState(stateServing)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return &listener{l, g}
}

// listener accepts connections within the bound of a gate.
type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener. Connections that aren't taken are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		wrapped := &conn{Conn: c, table: l.gate.conns}
		var victim *connEntry
		wrapped.entry, victim = l.gate.conns.add(time.Now(), func() { _ = c.Close() })
		switch {
		case wrapped.entry == nil:
			_ = c.Close()
			l.gate.count(CauseConns)
			continue
		case victim != nil:
			victim.close()
			l.gate.count(CauseClosed)
		}
		return wrapped, nil
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request, or nil if the gate doesn't serve it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// conn is a connection that counts towards the bound of a gate.
type conn struct {
	net.Conn
	table *connTable
	entry *connEntry
}

// setState records what the connection is used for. It does nothing if c is nil.
func (c *conn) setState(s connState) {
	if c != nil {
		c.table.set(time.Now(), c.entry, s)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.table.remove(c.entry)
	return c.Conn.Close()
}

// Write implements net.Conn. Each part has its own time, so that a large answer may take longer.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(len(b), written+maxWrite)]
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write does
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}
