package conns

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// DialFunc makes a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// maxDialWait bounds the wait of a dial for another connection to be closed: short of the time that callers leave for
// an answer, so that they are told that nothing was sent.
const maxDialWait = 400 * time.Millisecond

// Limit bounds the connections that are open at a time, of all the dial functions that it has wrapped. When
// there are as many, idle ones are closed, and a dial waits for its turn. It is safe for concurrent use; a nil Limit sets no
// bound.
//
// The failure it guards against: connections kept for later use take all of a process's descriptors. Its calls
// fail then before they are sent, and nobody can connect to it.
type Limit struct {
	slots *semaphore.Weighted

	mu          sync.Mutex
	idleClosers []func()
}

// New returns a limit of most connections, nil if most isn't positive.
func New(most int) *Limit {
	if most <= 0 {
		return nil
	}
	return &Limit{slots: semaphore.NewWeighted(int64(most))}
}

// AddIdleCloser has closeIdle called when the limit is reached.
func (l *Limit) AddIdleCloser(closeIdle func()) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idleClosers = append(l.idleClosers, closeIdle)
}

// WrapDial returns dial within the limit. Where no connection is closed in time its error is a *net.OpError of a dial.
func (l *Limit) WrapDial(dial DialFunc) DialFunc {
	if l == nil {
		return dial
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if err := l.acquire(ctx); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			l.slots.Release(1)
			return nil, err
		}
		return &limitedConn{Conn: c, release: sync.OnceFunc(func() { l.slots.Release(1) })}, nil
	}
}

func (l *Limit) acquire(ctx context.Context) error {
	if l.slots.TryAcquire(1) {
		return nil
	}
	l.closeIdleConns()
	ctx, cancel := context.WithTimeout(ctx, maxDialWait)
	defer cancel()
	return l.slots.Acquire(ctx, 1)
}

func (l *Limit) closeIdleConns() {
	l.mu.Lock()
	idle := l.idleClosers
	l.mu.Unlock()
	for _, f := range idle {
		f()
	}
}

// limitedConn gives its place in the limit back as it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
