package link

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrUnreachable says that the peer could not be reached; the call was not made.
	ErrUnreachable = errors.New("link: peer down")
	// ErrAnswerLost says that no answer came back; the call may have been made.
	ErrAnswerLost = errors.New("link: answer lost")
)

// acceptRetryDelay is left after a connection that couldn't be accepted, as when the process has as many
// descriptors open as it may.
const acceptRetryDelay = 50 * time.Millisecond

// redialDelay is how long a link that failed to connect answers ErrDown without another try.
const redialDelay = 100 * time.Millisecond

// Link is a connection to one peer that is made when needed and made anew when lost;
// it is safe for concurrent use.
type Link struct {
	addr string

	mu       sync.Mutex
	client   *rpc.Client
	failedAt time.Time
	closed   bool
}

// New returns a link to the peer at addr (host:port); nothing is dialed yet.
func New(addr string) *Link {
	return &Link{addr: addr}
}

// Addr returns the peer's address.
func (l *Link) Addr() string {
	return l.addr
}

// Call sends in to the peer's method and returns its answer, or ErrDown, ErrLost
// (also when ctx ends first) or the error that the peer returned.
func Call[In, Out any](ctx context.Context, l *Link, method string, in In) (Out, error) {
	var out Out
	c, err := l.connect(ctx)
	if err != nil {
		return out, err
	}
	call := c.Go(method, in, &out, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		// The reply may still be written to, so it's left to the pending call.
		var none Out
		return none, errors.Wrap(ErrAnswerLost, ctx.Err().Error())
	case <-call.Done:
	}
	var remote rpc.ServerError
	switch {
	case call.Error == nil:
		return out, nil
	case errors.As(call.Error, &remote):
		return out, call.Error
	case errors.Is(call.Error, rpc.ErrShutdown):
		l.dropClient(c)
		return out, errors.Wrap(ErrUnreachable, l.addr)
	}
	l.dropClient(c)
	return out, errors.Wrap(ErrAnswerLost, call.Error.Error())
}

func (l *Link) connect(ctx context.Context) (*rpc.Client, error) {
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
	l.client = rpc.NewClient(conn)
	return l.client, nil
}

func (l *Link) dropClient(c *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == c {
		l.client = nil
		_ = c.Close()
	}
}

// Reset drops the connection, so that the next call makes a new one. Calls under way return
// ErrLost.
//
// The failure it guards against: a connection goes silent for good, without a reset, while a
// new one would work; calls over it time out one after the other.
func (l *Link) Reset() {
	l.mu.Lock()
	c := l.client
	l.mu.Unlock()
	if c != nil {
		l.dropClient(c)
	}
}

// Close ends the link; later calls return ErrDown.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
	}
}

// Set holds one link for each address.
type Set struct {
	mu    sync.Mutex
	links map[string]*Link
}

// Get returns the link to addr, the same for every caller.
func (s *Set) Get(addr string) *Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = map[string]*Link{}
	}
	l := s.links[addr]
	if l == nil {
		l = New(addr)
		s.links[addr] = l
	}
	return l
}

// CloseExcept closes the links to every address not in addrs.
func (s *Set) CloseExcept(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	want := map[string]bool{}
	for _, a := range addrs {
		want[a] = true
	}
	for a, l := range s.links {
		if !want[a] {
			l.Close()
			delete(s.links, a)
		}
	}
}

// Server answers the calls of peers.
type Server struct {
	rpc *rpc.Server

	mu       sync.Mutex
	conns    map[net.Conn]bool
	listener net.Listener
	wg       sync.WaitGroup
}

// NewServer returns a server that answers with the methods of impl under name.
func NewServer(name string, impl any) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName(name, impl); err != nil {
		return nil, errors.Wrap(err, "link")
	}
	return s, nil
}

// Serve accepts connections until Close.
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

func (s *Server) serveConn(conn net.Conn) {
	defer s.wg.Done()
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Close stops accepting, closes the connections and waits for their goroutines.
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
