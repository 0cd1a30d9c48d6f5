package conns

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// maxDialWait is how long a dial waits for another connection to be closed. It is less than the timeout of
// callers' requests, so that callers still learn that nothing was sent.
const maxDialWait = 400 * time.Millisecond

// Limit limits the number of connections that are open at the same time, over all dial functions that it
// wraps. When the limit is reached, idle connections are closed and further dials wait for a free slot. A Limit is
// safe for concurrent use; a nil Limit allows any number.
//
// The failure it guards against: idle connections kept for reuse take all file descriptors of the process. Its
// own calls then fail before they are sent, and nobody can connect to it.
type Limit struct {
	slots *semaphore.Weighted // one for each connection that may be open

	mu          sync.Mutex
	idleClosers []func() // functions that close idle connections
}

// New returns a limit of maxConns connections, or nil if maxConns isn't positive.
func New(maxConns int) *Limit {
	if maxConns <= 0 {
		return nil
	}
	return &Limit{slots: semaphore.NewWeighted(int64(maxConns))}
}

// AddIdleCloser registers a function that closes idle connections. It is called when the limit is reached.
func (l *Limit) AddIdleCloser(closeIdle func()) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idleClosers = append(l.idleClosers, closeIdle)
}

// WrapDial returns a dial function that takes a slot of the limit for each connection. If no slot becomes free
// in time, it returns a *net.OpError whose Op is "dial", as for a connection that couldn't be opened.
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

// acquire takes a slot. If none is free, it closes idle connections and waits up to maxDialWait.
func (l *Limit) acquire(ctx context.Context) error {
	if l.slots.TryAcquire(1) {
		return nil
	}
	l.closeIdleConns()
	ctx, cancel := context.WithTimeout(ctx, maxDialWait)
	defer cancel()
	return l.slots.Acquire(ctx, 1)
}

// closeIdleConns calls all registered functions that close idle connections.
func (l *Limit) closeIdleConns() {
	l.mu.Lock()
	closers := l.idleClosers
	l.mu.Unlock()
	for _, closeIdle := range closers {
		closeIdle()
	}
}

// limitedConn is a connection that frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	release func() // frees the slot
}

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
