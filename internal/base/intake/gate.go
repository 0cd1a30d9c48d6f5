package intake

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	tally "github.com/uber-go/tally/v4"
)

// Cause is why a request or a connection is refused or given up.
type Cause string

// The causes.
const (
	CauseRoom   Cause = "room"   // the memory for requests in flight is used up
	CauseLarge  Cause = "large"  // the body is larger than allowed
	CauseSlow   Cause = "slow"   // the body didn't arrive in time
	CauseBroken Cause = "broken" // the body ended early or is malformed
	CauseConns  Cause = "conns"  // a connection is refused, as too many requests are in progress
	CauseClosed Cause = "closed" // a connection is closed for a new one
)

// causes lists all causes.
var causes = []Cause{CauseRoom, CauseLarge, CauseSlow, CauseBroken, CauseConns, CauseClosed}

const (
	// RetryAfter is the delay after which a caller should retry who was refused for want of memory.
	RetryAfter = time.Second
	// logInterval is the least time between two log lines about a cause.
	logInterval = time.Second
)

// Options are the settings of a gate.
type Options struct {
	Budget   *Budget // of the memory of requests in flight; nil: no bound
	MaxBody  int64   // size of the largest body in bytes
	MaxConns int     // most connections of its listeners at the same time; 0: no bound
	ReadTime ReadTime
	Log      logr.Logger
	Scope    tally.Scope // of the metrics
}

// Gate is the entrance of an HTTP server. It is safe for concurrent use.
type Gate struct {
	options  Options
	conns    *connTable
	counters map[Cause]tally.Counter

	mu     sync.Mutex
	logged map[Cause]*logState
}

// logState is what has been logged about a cause.
type logState struct {
	at    time.Time // when it was last logged
	count int       // refusals since
}

// New returns a gate.
func New(o Options) *Gate {
	g := &Gate{options: o, conns: newConnTable(o.MaxConns), counters: map[Cause]tally.Counter{}, logged: map[Cause]*logState{}}
	for _, c := range causes {
		g.counters[c] = o.Scope.Tagged(map[string]string{"cause": string(c)}).Counter("turned_away")
		g.logged[c] = &logState{}
	}
	return g
}

// refuse counts a refusal and returns err.
func (g *Gate) refuse(c Cause, err error) error {
	g.count(c)
	return err
}

// count counts a refusal. It logs the first one, and then at most one line for each logInterval with their number.
func (g *Gate) count(c Cause) {
	g.counters[c].Inc(1)
	now := time.Now()
	g.mu.Lock()
	s := g.logged[c]
	s.count++
	count := 0
	if now.Sub(s.at) >= logInterval {
		count, s.at, s.count = s.count, now, 0
	}
	g.mu.Unlock()
	if count > 0 {
		g.options.Log.Info("turned away", "cause", c, "count", count, "bytes", g.options.Budget.Used(), "conns", g.conns.count())
	}
}

// causeOf returns the cause of an error of ReadBody.
func causeOf(err error) Cause {
	switch err {
	case ErrNoRoom:
		return CauseRoom
	case ErrTooLarge:
		return CauseLarge
	case ErrTooSlow:
		return CauseSlow
	}
	return CauseBroken
}

// Handler returns a handler that reads the body of a POST request before next handles it, and refuses the request if it
// can't: with 503 for want of memory, so that it may be sent again, and with 400 otherwise. The bodies of other requests
// aren't read, and their connections are closed.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		if r.Method != http.MethodPost {
			defer Linger(w, r)
			w.Header().Set("Connection", "close")
			next.ServeHTTP(w, withBody(r, nil))
			return
		}
		body, err := g.ReadBody(w, r)
		if err != nil {
			defer Linger(w, r)
			writeRefusal(w, err)
			return
		}
		defer body.Release()
		next.ServeHTTP(w, withBody(r, body.Data))
	})
}

// withBody returns a request that differs from r in its body. net/http goes on to use r.
func withBody(r *http.Request, data []byte) *http.Request {
	r = r.WithContext(r.Context())
	r.Body, r.ContentLength = &bufferedBody{bytes.NewReader(data), data}, int64(len(data))
	return r
}

// writeRefusal answers an error of ReadBody and has the connection closed.
func writeRefusal(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	if errors.Is(err, ErrNoRoom) {
		w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	http.Error(w, "body not read", http.StatusBadRequest)
}
