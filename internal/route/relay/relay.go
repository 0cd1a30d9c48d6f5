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
	// ErrNever says that nothing of the request left this process.
	ErrNever = errors.New("relay: not sent")
	// ErrUnlawful is the ErrNever of a process that might not use the target any more when
	// the request was to be written.
	ErrUnlawful = errors.WithMessage(ErrNever, "relay: not lawful")
	// ErrRefused says that the target refused the request before running it.
	ErrRefused = errors.New("relay: refused by the target")
	// ErrLost says that no whole answer came back; the request may have run or be running.
	ErrLost = errors.New("relay: answer lost")
	// ErrAnswer says that the answer can't be used: not this request's, cut short, too
	// large or without a length. The request may have run.
	ErrAnswer = errors.New("relay: answer unusable")

	errHeld = errors.New("write held back")
)

// Headers between this project, its callers and its targets.
const (
	HeaderOutcome = "Sail-Outcome" // not-run, unknown or done
	HeaderState   = "Sail-State"   // a target's own word: leaving
	HeaderLoad    = "Sail-Load"    // a target's own count of the requests it has
	HeaderKey     = "Sail-Key"     // the caller's request id, as targets see it
	HeaderID      = "X-Request-Id" // of one try; a target repeats it in its answer
	HeaderTimeout = "Sail-Timeout" // what is left of the caller's patience

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
	limit  int64       // bytes of an answer
	lawful func() bool // whether this process may still use what it was given

	mu    sync.Mutex
	pipes map[pipeKey]*http.Transport
}

type pipeKey struct {
	addr  string
	role  Role
	conns int
}

// New returns a relay that takes answers of up to limit bytes and sends only while
// lawful says so.
func New(limit int64, lawful func() bool) *Relay {
	return &Relay{limit: limit, lawful: lawful, pipes: map[pipeKey]*http.Transport{}}
}

// guarded is a connection that asks for leave with each write.
//
// It guards against a process that is paused after a request got its slot, for so long
// that others take the target over, and wakes up: the request would be one more than
// the target has slots. Asked before the exchange, leave would be old by the time of
// the write; what is left is a pause inside the system call.
type guarded struct {
	net.Conn
	lawful func() bool
	user   atomic.Pointer[try] // whose request is written
}

// Write implements net.Conn.
func (g *guarded) Write(p []byte) (int, error) {
	t := g.user.Load()
	if t == nil || !t.begin(g.lawful()) {
		return 0, errHeld
	}
	n, err := g.Conn.Write(p)
	t.wrote(n)
	return n, err
}

func (r *Relay) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &guarded{Conn: conn, lawful: r.lawful}, nil
}

const (
	dialTimeout = time.Second
	idleTimeout = 60 * time.Second
)

func (r *Relay) pipe(addr string, role Role, conns int) *http.Transport {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := pipeKey{addr, role, conns}
	if t := r.pipes[k]; t != nil {
		return t
	}
	for old, t := range r.pipes {
		if old.addr == addr && old.role == role {
			t.CloseIdleConnections()
			delete(r.pipes, old)
		}
	}
	t := &http.Transport{
		DialContext:         r.dial,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	r.pipes[k] = t
	return t
}

// Keep closes the idle connections to every target not in addrs.
func (r *Relay) Keep(addrs map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, t := range r.pipes {
		if !addrs[k.addr] {
			t.CloseIdleConnections()
			delete(r.pipes, k)
		}
	}
}

// Close closes the idle connections to every target.
func (r *Relay) Close() {
	r.Keep(nil)
}

// try is the connection-level state of one exchange.
type try struct {
	conn atomic.Pointer[net.Conn]

	mu      sync.Mutex
	writing int  // writes under way
	sent    bool // a byte has left, over whichever connection
	refused bool // a write wasn't lawful any more
	over    bool // nothing more may be written
}

func (t *try) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			t.conn.Store(&i.Conn)
			if g, ok := i.Conn.(*guarded); ok {
				g.user.Store(t)
			}
		},
	}
}

// begin precedes each write and reports whether it may happen.
func (t *try) begin(lawful bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.over:
		return false
	case !lawful:
		t.refused = true
		return false
	}
	t.writing++
	return true
}

// wrote follows each write that began.
func (t *try) wrote(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing--
	t.sent = t.sent || n > 0
}

// verdict ends an exchange that brought no answer and says what it has come to.
//
// It stops later writes, as a transport may go on with the body after RoundTrip has
// returned: what is told as not sent must stay so.
func (t *try) verdict() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
	switch {
	case t.sent || t.writing > 0:
		return ErrLost
	case t.refused:
		return ErrUnlawful
	}
	return ErrNever
}

// kill closes the connection, so that whatever else comes over it reaches nobody.
func (t *try) kill() {
	if c := t.conn.Load(); c != nil {
		_ = (*c).Close()
	}
}

// Do sends the request to the target over at most conns connections. The error is one
// of this package's; ctx bounds the exchange. Whatever the error, Answer carries what
// the target said of itself.
func (r *Relay) Do(ctx context.Context, addr string, role Role, conns int, q Request) (Answer, error) {
	var t try
	req, err := build(httptrace.WithClientTrace(ctx, t.trace()), addr, q)
	if err != nil {
		return Answer{Load: -1}, errors.Wrap(ErrNever, err.Error())
	}
	resp, err := r.pipe(addr, role, conns).RoundTrip(req)
	if err != nil {
		return Answer{Load: -1}, errors.Wrap(t.verdict(), err.Error())
	}
	a, err := r.read(resp, q.ID)
	// A refusal is a whole answer, after which the connection may already carry another
	// request: closing it then would lose that one's answer.
	if err != nil && !errors.Is(err, ErrRefused) {
		t.kill()
	}
	_ = resp.Body.Close()
	return a, err
}

// build makes the HTTP request.
//
// A body that can't be had again, and a key under another name than the usual
// Idempotency-Key, keep the transport from sending the request a second time by
// itself when a connection breaks: it would do so for any request with that header,
// and a check-in would run twice.
func build(ctx context.Context, addr string, q Request) (*http.Request, error) {
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
	req.Header.Set(HeaderID, q.ID)
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

// read takes the whole answer, or says why it can't be used.
func (r *Relay) read(resp *http.Response, id string) (Answer, error) {
	a := Answer{Status: resp.StatusCode, Header: resp.Header}
	a.Load, a.Leaving = self(resp.Header)
	if got := resp.Header.Get(HeaderID); got != id {
		// A late or crossed answer: it belongs to another request, whose caller must
		// not see it here either.
		return a, errors.Wrap(ErrAnswer, fmt.Sprintf("it carries the id %q", got))
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == outcomeNotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, r.limit))
		return a, ErrRefused
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead {
		return a, errors.Wrap(ErrAnswer, "it has no length, so its end can't be told from a cut")
	}
	if resp.ContentLength > r.limit {
		return a, errors.Wrap(ErrAnswer, fmt.Sprintf("it announces %d bytes, at most %d are taken", resp.ContentLength, r.limit))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.limit+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return a, errors.Wrap(ErrAnswer, "it was cut short")
	case err != nil:
		return a, errors.Wrap(ErrLost, err.Error())
	case int64(len(body)) > r.limit:
		return a, errors.Wrap(ErrAnswer, fmt.Sprintf("more than %d bytes", r.limit))
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
	load, leaving = self(resp.Header)
	return resp.StatusCode == http.StatusOK, load, leaving
}

// self reads what a target says of itself: its load, or -1, and whether it is leaving.
func self(h http.Header) (load int, leaving bool) {
	load, err := strconv.Atoi(h.Get(HeaderLoad))
	if err != nil || load < 0 {
		load = -1
	}
	return load, strings.EqualFold(h.Get(HeaderState), stateLeaving)
}
