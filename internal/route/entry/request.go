package entry

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/route/pool"
	"bramleysail.example/bramleysail/internal/route/relay"
)

// Headers by which callers say what they want.
const (
	headerKey        = "Idempotency-Key" // the caller's id of a request, the same in each repeat
	headerIdempotent = "Sail-Idempotent" // yes or no, where the method doesn't tell
	headerTeam       = "Sail-Team"
	headerPriority   = "Priority" // RFC 9218
	maxKey           = 128
)

// request is a caller's request, checked and whole.
type request struct {
	relay.Request
	team  string
	prio  pool.Prio
	until time.Time
	keyed bool // the key is the caller's own
}

// parse reads a request, or says what is wrong with it.
func (e *Entry) parse(w http.ResponseWriter, r *http.Request, path string, s Service) (request, *Failure) {
	q := request{team: r.Header.Get(headerTeam), prio: priority(r.Header.Get(headerPriority))}
	q.Method, q.Header = r.Method, r.Header
	q.Path = "/" + path
	if r.URL.RawQuery != "" {
		q.Path += "?" + r.URL.RawQuery
	}
	patience := s.Timeout
	if t := r.Header.Get(relay.HeaderTimeout); t != "" {
		d, err := time.ParseDuration(t)
		if err != nil || d <= 0 {
			return q, &Failure{Code: CodeBadRequest, Text: fmt.Sprintf("%s: %q is not a duration above 0", relay.HeaderTimeout, t)}
		}
		patience = min(patience, d)
	}
	q.until = time.Now().Add(patience)
	if f := q.mark(r); f != nil {
		return q, f
	}
	return q, e.body(w, r, &q)
}

// mark decides whether the request is idempotent and finds its key.
func (q *request) mark(r *http.Request) *Failure {
	switch v := strings.ToLower(r.Header.Get(headerIdempotent)); v {
	case "yes":
		q.Idempotent = true
	case "no":
	case "":
		q.Idempotent = methodIdempotent(r.Method)
	default:
		return &Failure{Code: CodeBadRequest, Text: fmt.Sprintf("%s: %q is neither yes nor no", headerIdempotent, v)}
	}
	q.Key = r.Header.Get(headerKey)
	q.keyed = q.Key != ""
	if len(q.Key) > maxKey || strings.ContainsFunc(q.Key, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return &Failure{Code: CodeBadRequest, Text: fmt.Sprintf("%s: at most %d visible ASCII characters", headerKey, maxKey)}
	}
	if !q.keyed {
		id, err := uuid.NewV7()
		if err != nil {
			return &Failure{Code: CodeNotSent, Text: err.Error(), After: time.Second}
		}
		q.Key = id.String()
	}
	return nil
}

func methodIdempotent(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// priority maps RFC 9218's urgency (u=0 to u=7, 3 when absent) to the queue's priorities.
func priority(h string) pool.Prio {
	at := strings.Index(h, "u=")
	if at < 0 || at+2 >= len(h) {
		return pool.PrioNormal
	}
	switch u := h[at+2]; {
	case u >= '0' && u <= '2':
		return pool.PrioUrgent
	case u >= '5' && u <= '7':
		return pool.PrioLow
	}
	return pool.PrioNormal
}

func (e *Entry) body(w http.ResponseWriter, r *http.Request, q *request) *Failure {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(e.o.Limit.ReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.o.Limit.MaxRequestBytes))
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return &Failure{Code: CodeTooLarge, Text: fmt.Sprintf("a request has at most %d bytes", e.o.Limit.MaxRequestBytes)}
	case err != nil:
		return &Failure{Code: CodeSlow, Text: "the request did not arrive whole in time"}
	}
	_ = rc.SetReadDeadline(time.Time{})
	q.Body = body
	return nil
}

// print identifies the content of a request, so that a key isn't taken for another's.
func (q *request) print(service string) uint64 {
	h := fnv.New64a()
	for _, s := range []string{service, q.Method, q.Path} {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = io.Copy(h, bytes.NewReader(q.Body))
	return h.Sum64()
}
