package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/telem"
)

var (
	// ErrNotSent means that nothing of the request left this process.
	ErrNotSent = errors.New("relay: not sent")
	// ErrUnauthorized is an ErrNotSent: this process was no longer authorized to use the target
	// when the request was to be written.
	ErrUnauthorized = errors.WithMessage(ErrNotSent, "relay: not authorized")
	// ErrRefused means that the target refused the request before running it.
	ErrRefused = errors.New("relay: refused by the target")
	// ErrAnswerLost means that no whole answer came; the request may have run or be running.
	ErrAnswerLost = errors.New("relay: answer lost")
	// ErrAnswerUnusable means that the answer can't be used: it belongs to another request, is
	// truncated, too large or without a length. The request may have run.
	ErrAnswerUnusable = errors.New("relay: answer unusable")

	// errWriteRejected is what a transport gets from a guardedConn for a write that isn't allowed.
	errWriteRejected = errors.New("write rejected: not authorized, or the exchange has ended")
)

// Headers of requests and answers between callers, entry processes and targets.
const (
	HeaderOutcome   = "Sail-Outcome" // whether the request ran: not-run, unknown or done
	HeaderState     = "Sail-State"   // leaving, when the target reports that it is leaving
	HeaderLoad      = "Sail-Load"    // number of requests at the target, as it reports
	HeaderKey       = "Sail-Key"     // the caller's key of the request, as passed to targets
	HeaderAttemptID = "X-Request-Id" // id of one attempt, which the target returns in its answer
	HeaderTimeout   = "Sail-Timeout" // time until the request's deadline

	outcomeNotRun = "not-run"
	stateLeaving  = "leaving"
)

// Request is a request to a target.
type Request struct {
	ID         string // id of the attempt, unique
	Key        string // key of the request, the same in each attempt
	Method     string
	Path       string // with the query
	Header     http.Header
	Body       []byte
	Idempotent bool // running it twice has the same effect as running it once
}

// Answer is a target's whole answer and the state that the target reports in its headers.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Load    int  // number of requests at the target, or -1 if not reported
	Leaving bool // whether the target is leaving
}

// Role is how a process uses a target; it determines the number of connections.
type Role string

// The roles.
const (
	RoleOwner    Role = "owner"    // the process owns the target
	RoleBorrower Role = "borrower" // the process borrows slots from the target's owner
)

// Relay sends requests and keeps the connections to targets; New makes one.
type Relay struct {
	maxAnswerBytes int64       // largest body of an answer
	authorized     func() bool // whether this process may still use the permits that it got

	mu         sync.Mutex
	transports map[transportKey]*http.Transport
}

// transportKey identifies a transport, which holds the connections to one target.
type transportKey struct {
	addr  string
	role  Role
	conns int // most connections
}

// New returns a relay that accepts answers of up to maxAnswerBytes and sends only while
// authorized returns true.
func New(maxAnswerBytes int64, authorized func() bool) *Relay {
	return &Relay{maxAnswerBytes: maxAnswerBytes, authorized: authorized, transports: map[transportKey]*http.Transport{}}
}

// guardedConn is a connection that checks the process's authorization before each write.
//
// It guards against a process that is paused after a request got its slot, for so long that
// other processes take the target over. When it resumes, its request would exceed the target's
// slots. A check before the exchange could be outdated at the time of the write; only a pause
// within the system call remains possible.
type guardedConn struct {
	net.Conn
	authorized func() bool             // as in Relay
	attempt    atomic.Pointer[attempt] // attempt whose request is written
}

// Write implements net.Conn. It writes nothing if the process is not authorized, or the attempt
// has ended.
func (g *guardedConn) Write(p []byte) (int, error) {
	a := g.attempt.Load()
	if a == nil || !a.beginWrite(g.authorized()) {
		return 0, errWriteRejected
	}
	n, err := g.Conn.Write(p)
	a.endWrite(n)
	return n, err
}

// dial opens a guarded connection.
func (r *Relay) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, authorized: r.authorized}, nil
}

const (
	dialTimeout = time.Second      // bounds opening a connection
	idleTimeout = 60 * time.Second // after which an unused connection is closed
)

// transport returns the transport to a target with the given role and number of connections. A
// new one replaces that with another number of connections.
func (r *Relay) transport(addr string, role Role, conns int) *http.Transport {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := transportKey{addr, role, conns}
	if t := r.transports[k]; t != nil {
		return t
	}
	for old, t := range r.transports {
		if old.addr == addr && old.role == role {
			t.CloseIdleConnections()
			delete(r.transports, old)
		}
	}
	t := &http.Transport{
		DialContext:         r.dial,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	r.transports[k] = t
	return t
}

// CloseConnsExcept closes the idle connections to every target not in addrs.
func (r *Relay) CloseConnsExcept(addrs map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, t := range r.transports {
		if !addrs[k.addr] {
			t.CloseIdleConnections()
			delete(r.transports, k)
		}
	}
}

// Close closes the idle connections to every target.
func (r *Relay) Close() {
	r.CloseConnsExcept(nil)
}

// attempt is the connection-level state of one exchange with a target.
type attempt struct {
	conn atomic.Pointer[net.Conn] // the connection that the transport chose last

	mu            sync.Mutex
	pendingWrites int  // number of writes under way
	anySent       bool // a byte was written, over any connection
	unauthorized  bool // a write was rejected, as the process wasn't authorized
	ended         bool // no more writes are allowed
}

// clientTrace returns the hook by which the attempt learns of its connection.
func (a *attempt) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			a.conn.Store(&i.Conn)
			if g, ok := i.Conn.(*guardedConn); ok {
				g.attempt.Store(a)
			}
		},
	}
}

// beginWrite is called before each write and reports whether it is allowed.
func (a *attempt) beginWrite(authorized bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended:
		return false
	case !authorized:
		a.unauthorized = true
		return false
	}
	a.pendingWrites++
	return true
}

// endWrite is called after each allowed write, of which n bytes were written.
func (a *attempt) endWrite(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingWrites--
	a.anySent = a.anySent || n > 0
}

// endUnanswered ends an exchange without an answer and returns an error that says whether
// anything was sent.
//
// It also rejects all later writes: a transport may go on writing the body after RoundTrip has
// returned, and a request that was reported as not sent must not be sent after all.
func (a *attempt) endUnanswered() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	switch {
	case a.anySent || a.pendingWrites > 0:
		return ErrAnswerLost
	case a.unauthorized:
		return ErrUnauthorized
	}
	return ErrNotSent
}

// closeConn closes the connection, so that no later request gets what still arrives over it.
func (a *attempt) closeConn() {
	if c := a.conn.Load(); c != nil {
		_ = (*c).Close()
	}
}

// Do sends the request to the target, to which it opens at most conns connections; ctx bounds
// the exchange. Each error is one of this package's. Also with an error, the Answer's Load and
// Leaving hold what the target reported.
func (r *Relay) Do(ctx context.Context, addr string, role Role, conns int, q Request) (Answer, error) {
	var att attempt
	req, err := newHTTPRequest(httptrace.WithClientTrace(ctx, att.clientTrace()), addr, q)
	if err != nil {
		return Answer{Load: -1}, errors.Wrap(ErrNotSent, err.Error())
	}
	resp, err := r.transport(addr, role, conns).RoundTrip(req)
	if err != nil {
		return Answer{Load: -1}, errors.Wrap(att.endUnanswered(), err.Error())
	}
	a, err := r.readAnswer(resp, q.ID)
	// A refusal is a whole answer, after which the connection may already carry another
	// request. Closing it would lose the answer to that one.
	if err != nil && !errors.Is(err, ErrRefused) {
		att.closeConn()
	}
	_ = resp.Body.Close()
	return a, err
}

// newHTTPRequest returns the HTTP request for q.
//
// It prevents the transport from resending the request when a connection breaks, by a body that
// can't be read again and a key in another header than the usual Idempotency-Key. The transport
// resends any request with that header, so that a non-idempotent one would run twice.
func newHTTPRequest(ctx context.Context, addr string, q Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+addr+q.Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = q.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	for _, h := range []string{"Idempotency-Key", "X-Idempotency-Key", "Connection", "Te", "Upgrade", "Proxy-Connection", "Keep-Alive", "Transfer-Encoding", "Expect"} {
		req.Header.Del(h)
	}
	req.Header.Set(HeaderAttemptID, q.ID)
	if q.Key != "" {
		req.Header.Set(HeaderKey, q.Key)
	}
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderTimeout, time.Until(d).Round(time.Millisecond).String())
	}
	telem.InjectSpan(ctx, req.Header)
	if len(q.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(q.Body))
		req.ContentLength = int64(len(q.Body))
	}
	return req, nil
}

// readAnswer reads the whole answer to the attempt id. The error says why it can't be used.
func (r *Relay) readAnswer(resp *http.Response, id string) (Answer, error) {
	a := Answer{Status: resp.StatusCode, Header: resp.Header}
	a.Load, a.Leaving = reportedStatus(resp.Header)
	if got := resp.Header.Get(HeaderAttemptID); got != id {
		// The answer is late or crossed: it belongs to another request, so this request's
		// caller must not get it.
		return a, errors.Wrap(ErrAnswerUnusable, fmt.Sprintf("answer has the attempt id %q", got))
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == outcomeNotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, r.maxAnswerBytes))
		return a, ErrRefused
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead {
		return a, errors.Wrap(ErrAnswerUnusable, "answer has no length, so a truncation can't be detected")
	}
	if resp.ContentLength > r.maxAnswerBytes {
		return a, errors.Wrap(ErrAnswerUnusable, fmt.Sprintf("answer has %d bytes, the limit is %d", resp.ContentLength, r.maxAnswerBytes))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.maxAnswerBytes+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return a, errors.Wrap(ErrAnswerUnusable, "answer is truncated")
	case err != nil:
		return a, errors.Wrap(ErrAnswerLost, err.Error())
	case int64(len(body)) > r.maxAnswerBytes:
		return a, errors.Wrap(ErrAnswerUnusable, fmt.Sprintf("answer exceeds the limit of %d bytes", r.maxAnswerBytes))
	}
	a.Body = body
	return a, nil
}

// Probe calls a target's health check. It returns whether the target is healthy, the number of
// requests at the target, -1 if not reported, and whether the target is leaving.
func (r *Relay) Probe(ctx context.Context, addr string) (healthy bool, load int, leaving bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/healthz", nil)
	if err != nil {
		return false, -1, false
	}
	req.Close = true
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return false, -1, false
	}
	defer resp.Body.Close()
	load, leaving = reportedStatus(resp.Header)
	return resp.StatusCode == http.StatusOK, load, leaving
}

// reportedStatus returns what a target reports in the headers of an answer: its load, or -1 if
// not reported, and whether it is leaving.
func reportedStatus(h http.Header) (load int, leaving bool) {
	load, err := strconv.Atoi(h.Get(HeaderLoad))
	if err != nil || load < 0 {
		load = -1
	}
	return load, strings.EqualFold(h.Get(HeaderState), stateLeaving)
}
