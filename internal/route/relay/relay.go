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
	// ErrNotSent says that nothing of the request left this process.
	ErrNotSent = errors.New("relay: not sent")
	// ErrUnauthorized is the ErrNever of a process that might not use the target any more when
	// the request was to be written.
	ErrUnauthorized = errors.WithMessage(ErrNotSent, "relay: not lawful")
	// ErrRefused says that the target refused the request before running it.
	ErrRefused = errors.New("relay: refused by the target")
	// ErrAnswerLost says that no whole answer came back; the request may have run or be running.
	ErrAnswerLost = errors.New("relay: answer lost")
	// ErrAnswerUnusable says that the answer can't be used: not this request's, cut short, too
	// large or without a length. The request may have run.
	ErrAnswerUnusable = errors.New("relay: answer unusable")

	errWriteRejected = errors.New("write held back")
)

// Headers between this project, its callers and its targets.
const (
	HeaderOutcome   = "Sail-Outcome" // not-run, unknown or done
	HeaderState     = "Sail-State"   // a target's own word: leaving
	HeaderLoad      = "Sail-Load"    // a target's own count of the requests it has
	HeaderKey       = "Sail-Key"     // the caller's request id, as targets see it
	HeaderAttemptID = "X-Request-Id" // of one try; a target repeats it in its answer
	HeaderTimeout   = "Sail-Timeout" // what is left of the caller's patience

	outcomeNotRun = "not-run"
	stateLeaving  = "leaving"
)

// Request is what goes to a target.
type Request struct {
	ID         string // unique to this try
	Key        string // the caller's id of the request
	Method     string
	Path       string // with query
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// Answer is a target's whole answer and what it said of itself.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Load    int // -1 when it didn't say
	Leaving bool
}

// Role says how a process uses a target; the number of connections depends on it.
type Role string

// The roles.
const (
	RoleOwner    Role = "owner"
	RoleBorrower Role = "borrower"
)

// Relay keeps the connections to targets; New makes one.
type Relay struct {
	maxAnswerBytes int64       // bytes of an answer
	authorized     func() bool // whether this process may still use what it was given

	mu         sync.Mutex
	transports map[transportKey]*http.Transport
}

type transportKey struct {
	addr  string
	role  Role
	conns int
}

// New returns a relay that takes answers of up to limit bytes and sends only while
// lawful says so.
func New(limit int64, lawful func() bool) *Relay {
	return &Relay{maxAnswerBytes: limit, authorized: lawful, transports: map[transportKey]*http.Transport{}}
}

// guardedConn is a connection that asks for leave with each write.
//
// It guards against a process that is paused after a request got its slot, for so long
// that others take the target over, and wakes up: the request would be one more than
// the target has slots. Asked before the exchange, leave would be old by the time of
// the write; what is left is a pause inside the system call.
type guardedConn struct {
	net.Conn
	authorized func() bool
	attempt    atomic.Pointer[attempt] // whose request is written
}

// Write implements net.Conn.
func (g *guardedConn) Write(p []byte) (int, error) {
	t := g.attempt.Load()
	if t == nil || !t.beginWrite(g.authorized()) {
		return 0, errWriteRejected
	}
	n, err := g.Conn.Write(p)
	t.endWrite(n)
	return n, err
}

func (r *Relay) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, authorized: r.authorized}, nil
}

const (
	dialTimeout = time.Second
	idleTimeout = 60 * time.Second
)

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

// attempt is the connection-level state of one exchange.
type attempt struct {
	conn atomic.Pointer[net.Conn]

	mu            sync.Mutex
	pendingWrites int  // writes under way
	anySent       bool // a byte has left, over whichever connection
	unauthorized  bool // a write wasn't lawful any more
	ended         bool // nothing more may be written
}

func (t *attempt) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			t.conn.Store(&i.Conn)
			if g, ok := i.Conn.(*guardedConn); ok {
				g.attempt.Store(t)
			}
		},
	}
}

// beginWrite precedes each write and reports whether it may happen.
func (t *attempt) beginWrite(lawful bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.ended:
		return false
	case !lawful:
		t.unauthorized = true
		return false
	}
	t.pendingWrites++
	return true
}

// endWrite follows each write that began.
func (t *attempt) endWrite(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingWrites--
	t.anySent = t.anySent || n > 0
}

// endUnanswered ends an exchange that brought no answer and says what it has come to.
//
// It stops later writes, as a transport may go on with the body after RoundTrip has
// returned: what is told as not sent must stay so.
func (t *attempt) endUnanswered() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	switch {
	case t.anySent || t.pendingWrites > 0:
		return ErrAnswerLost
	case t.unauthorized:
		return ErrUnauthorized
	}
	return ErrNotSent
}

// closeConn closes the connection, so that whatever else comes over it reaches nobody.
func (t *attempt) closeConn() {
	if c := t.conn.Load(); c != nil {
		_ = (*c).Close()
	}
}

// Do sends the request to the target over at most conns connections. The error is one
// of this package's; ctx bounds the exchange. Whatever the error, Answer carries what
// the target said of itself.
func (r *Relay) Do(ctx context.Context, addr string, role Role, conns int, q Request) (Answer, error) {
	var t attempt
	req, err := newHTTPRequest(httptrace.WithClientTrace(ctx, t.clientTrace()), addr, q)
	if err != nil {
		return Answer{Load: -1}, errors.Wrap(ErrNotSent, err.Error())
	}
	resp, err := r.transport(addr, role, conns).RoundTrip(req)
	if err != nil {
		return Answer{Load: -1}, errors.Wrap(t.endUnanswered(), err.Error())
	}
	a, err := r.readAnswer(resp, q.ID)
	// A refusal is a whole answer, after which the connection may already carry another
	// request: closing it then would lose that one's answer.
	if err != nil && !errors.Is(err, ErrRefused) {
		t.closeConn()
	}
	_ = resp.Body.Close()
	return a, err
}

// newHTTPRequest makes the HTTP request.
//
// A body that can't be had again, and a key under another name than the usual
// Idempotency-Key, keep the transport from sending the request a second time by
// itself when a connection breaks: it would do so for any request with that header,
// and a check-in would run twice.
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

// readAnswer takes the whole answer, or says why it can't be used.
func (r *Relay) readAnswer(resp *http.Response, id string) (Answer, error) {
	a := Answer{Status: resp.StatusCode, Header: resp.Header}
	a.Load, a.Leaving = reportedStatus(resp.Header)
	if got := resp.Header.Get(HeaderAttemptID); got != id {
		// A late or crossed answer: it belongs to another request, whose caller must
		// not see it here either.
		return a, errors.Wrap(ErrAnswerUnusable, fmt.Sprintf("it carries the id %q", got))
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == outcomeNotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, r.maxAnswerBytes))
		return a, ErrRefused
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead {
		return a, errors.Wrap(ErrAnswerUnusable, "it has no length, so its end can't be told from a cut")
	}
	if resp.ContentLength > r.maxAnswerBytes {
		return a, errors.Wrap(ErrAnswerUnusable, fmt.Sprintf("it announces %d bytes, at most %d are taken", resp.ContentLength, r.maxAnswerBytes))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.maxAnswerBytes+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return a, errors.Wrap(ErrAnswerUnusable, "it was cut short")
	case err != nil:
		return a, errors.Wrap(ErrAnswerLost, err.Error())
	case int64(len(body)) > r.maxAnswerBytes:
		return a, errors.Wrap(ErrAnswerUnusable, fmt.Sprintf("more than %d bytes", r.maxAnswerBytes))
	}
	a.Body = body
	return a, nil
}

// Probe asks a target for its health and the number of requests it has, -1 if it doesn't say.
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

// reportedStatus reads what a target says of itself: its load, or -1, and whether it is leaving.
func reportedStatus(h http.Header) (load int, leaving bool) {
	load, err := strconv.Atoi(h.Get(HeaderLoad))
	if err != nil || load < 0 {
		load = -1
	}
	return load, strings.EqualFold(h.Get(HeaderState), stateLeaving)
}
