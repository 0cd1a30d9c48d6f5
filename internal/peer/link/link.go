package link

import (
	"context"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrUnreachable is returned when the peer could not be reached; the call was not sent.
	ErrUnreachable = errors.New("link: peer down")
	// ErrAnswerLost is returned when no answer came; the call may have been carried out.
	ErrAnswerLost = errors.New("link: answer lost")
)

// acceptRetryDelay is the delay after an accept that failed, as it does while the process has
// reached its limit of open descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// redialDelay is how long after a failed dial a link returns ErrUnreachable without dialing again.
const redialDelay = 100 * time.Millisecond

// Link is a connection to one peer. It is dialed by the first call and dialed again by the next
// call after it is lost. A Link is safe for concurrent use.
type Link struct {
	addr string                  // host:port of the peer
	wrap func(net.Conn) net.Conn // applied to each connection; nil: none

	mu       sync.Mutex
	client   *client   // on the open connection; nil: not connected
	failedAt time.Time // when the last dial failed
	closed   bool
}

// client is a net/rpc client on one connection.
type client struct {
	*rpc.Client
	closing atomic.Bool // set before Close is called
}

// close closes the connection.
func (c *client) close() {
	c.closing.Store(true)
	_ = c.Close()
}

// New returns a link to the peer at addr (host:port), which applies wrap to each connection unless it is nil. It doesn't dial
// yet.
func New(addr string, wrap func(net.Conn) net.Conn) *Link {
	return &Link{addr: addr, wrap: wrap}
}

// Addr returns the peer's address.
func (l *Link) Addr() string {
	return l.addr
}

// LacksMethod reports whether err is the answer of a peer that doesn't offer the method, as one of an older build.
func LacksMethod(err error) bool {
	var methodErr rpc.ServerError
	return errors.As(err, &methodErr) && strings.HasPrefix(err.Error(), "rpc: can't find ")
}

// Call calls a method of the peer with the argument in and returns its answer. The error is
// ErrUnreachable (also if ctx has ended), ErrAnswerLost (also if ctx ends before the answer) or
// the error that the peer's method returned.
func Call[In, Out any](ctx context.Context, l *Link, method string, in In) (Out, error) {
	var out Out
	if err := ctx.Err(); err != nil {
		return out, errors.Wrap(ErrUnreachable, err.Error())
	}
	c, err := l.connect(ctx)
	if err != nil {
		return out, err
	}
	call := c.Go(method, in, &out, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		// The pending call may still write to out, so out must not be read here.
		var zero Out
		return zero, errors.Wrap(ErrAnswerLost, ctx.Err().Error())
	case <-call.Done:
	}
	var methodErr rpc.ServerError
	switch {
	case call.Error == nil:
		return out, nil
	case errors.As(call.Error, &methodErr):
		return out, call.Error
	case errors.Is(call.Error, rpc.ErrShutdown) && !c.closing.Load():
		// Of a connection that this side closes, net/rpc may say the same to calls that have been sent.
		l.dropClient(c)
		return out, errors.Wrap(ErrUnreachable, l.addr)
	}
	l.dropClient(c)
	return out, errors.Wrap(ErrAnswerLost, call.Error.Error())
}

// connect returns the client of the open connection, or dials.
func (l *Link) connect(ctx context.Context) (*client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	if l.closed || time.Since(l.failedAt) < redialDelay {
		return nil, errors.Wrap(ErrUnreachable, l.addr)
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		l.failedAt = time.Now()
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	if l.wrap != nil {
		conn = l.wrap(conn)
	}
	l.client = &client{Client: rpc.NewClient(conn)}
	return l.client, nil
}

// dropClient closes the connection of c if it is still the link's connection.
func (l *Link) dropClient(c *client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == c {
		l.client = nil
		c.close()
	}
}

// Reset closes the connection, so that the next call dials a new one. Pending calls return
// ErrAnswerLost.
//
// The failure it guards against: a connection stops delivering data for good without a TCP
// reset, and all calls over it time out, while a new connection would work.
func (l *Link) Reset() {
	l.mu.Lock()
	c := l.client
	l.mu.Unlock()
	if c != nil {
		l.dropClient(c)
	}
}

// Close closes the link. Later calls return ErrUnreachable.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.client != nil {
		l.client.close()
		l.client = nil
	}
}

// Set holds one link for each address. It is safe for concurrent use; the zero value is empty.
type Set struct {
	WrapConn func(net.Conn) net.Conn // applied to each connection; nil: none

	mu    sync.Mutex
	links map[string]*Link // by address
}

// Get returns the link to addr and creates it if necessary. All callers share it.
func (s *Set) Get(addr string) *Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = map[string]*Link{}
	}
	l := s.links[addr]
	if l == nil {
		l = New(addr, s.WrapConn)
		s.links[addr] = l
	}
	return l
}

// CloseExcept closes and removes the links to all addresses that aren't in addrs.
func (s *Set) CloseExcept(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := map[string]bool{}
	for _, a := range addrs {
		keep[a] = true
	}
	for a, l := range s.links {
		if !keep[a] {
			l.Close()
			delete(s.links, a)
		}
	}
}

// Server answers calls of peers.
type Server struct {
	rpc *rpc.Server

	mu       sync.Mutex
	conns    map[net.Conn]bool // open connections
	listener net.Listener      // set by Serve
	wg       sync.WaitGroup    // one for each open connection
}

// NewServer returns a server that offers the methods of impl as those of the net/rpc service name.
func NewServer(name string, impl any) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName(name, impl); err != nil {
		return nil, errors.Wrap(err, "link")
	}
	return s, nil
}

// Register offers the methods of impl as those of the net/rpc service name, besides the service of NewServer.
func (s *Server) Register(name string, impl any) error {
	return errors.Wrap(s.rpc.RegisterName(name, impl), "link")
}

// Serve accepts connections and answers their calls until Close. A failed accept is retried.
func (s *Server) Serve(lis net.Listener) {
	s.mu.Lock()
	s.listener = lis
	s.mu.Unlock()
	for {
		conn, err := lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.wg.Add(1)
		s.mu.Unlock()
		go s.serveConn(conn)
	}
}

// serveConn answers the calls of one connection until it is closed.
func (s *Server) serveConn(conn net.Conn) {
	defer s.wg.Done()
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Close closes the listener and all connections and waits for the connections' goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
