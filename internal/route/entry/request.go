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
	headerIdempotencyKey = "Idempotency-Key" // the caller's id of a request, the same in each repeat
	headerIdempotent     = "Sail-Idempotent" // yes or no, where the method doesn't tell
	headerTeam           = "Sail-Team"
	headerPriority       = "Priority" // RFC 9218
	maxKeyLength         = 128
)

// request is a caller's request, checked and whole.
type request struct {
	relay.Request
	team         string
	priority     pool.Priority
	deadline     time.Time
	hasCallerKey bool // the key is the caller's own
}

// parseRequest reads a request, or says what is wrong with it.
func (e *Entry) parseRequest(w http.ResponseWriter, r *http.Request, path string, s Service) (request, *Failure) {
	q := request{team: r.Header.Get(headerTeam), priority: parsePriority(r.Header.Get(headerPriority))}
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
	q.deadline = time.Now().Add(patience)
	if f := q.parseIdempotency(r); f != nil {
		return q, f
	}
	return q, e.readBody(w, r, &q)
}

// parseIdempotency decides whether the request is idempotent and finds its key.
func (q *request) parseIdempotency(r *http.Request) *Failure {
	switch v := strings.ToLower(r.Header.Get(headerIdempotent)); v {
	case "yes":
		q.Idempotent = true
	case "no":
	case "":
		q.Idempotent = isIdempotentMethod(r.Method)
	default:
		return &Failure{Code: CodeBadRequest, Text: fmt.Sprintf("%s: %q is neither yes nor no", headerIdempotent, v)}
	}
	q.Key = r.Header.Get(headerIdempotencyKey)
	q.hasCallerKey = q.Key != ""
	if len(q.Key) > maxKeyLength || strings.ContainsFunc(q.Key, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return &Failure{Code: CodeBadRequest, Text: fmt.Sprintf("%s: at most %d visible ASCII characters", headerIdempotencyKey, maxKeyLength)}
	}
	if !q.hasCallerKey {
		id, err := uuid.NewV7()
		if err != nil {
			return &Failure{Code: CodeNotSent, Text: err.Error(), RetryAfter: time.Second}
		}
		q.Key = id.String()
	}
	return nil
}

func isIdempotentMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// parsePriority maps RFC 9218's urgency (u=0 to u=7, 3 when absent) to the queue's priorities.
func parsePriority(h string) pool.Priority {
	at := strings.Index(h, "u=")
	if at < 0 || at+2 >= len(h) {
		return pool.PriorityNormal
	}
	switch u := h[at+2]; {
	case u >= '0' && u <= '2':
		return pool.PriorityUrgent
	case u >= '5' && u <= '7':
		return pool.PriorityLow
	}
	return pool.PriorityNormal
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, q *request) *Failure {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(e.opts.Limits.ReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.opts.Limits.MaxRequestBytes))
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return &Failure{Code: CodeTooLarge, Text: fmt.Sprintf("a request has at most %d bytes", e.opts.Limits.MaxRequestBytes)}
	case err != nil:
		return &Failure{Code: CodeSlowRequest, Text: "the request did not arrive whole in time"}
	}
	_ = rc.SetReadDeadline(time.Time{})
	q.Body = body
	return nil
}

// fingerprint identifies the content of a request, so that a key isn't taken for another's.
func (q *request) fingerprint(service string) uint64 {
	h := fnv.New64a()
	for _, s := range []string{service, q.Method, q.Path} {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = io.Copy(h, bytes.NewReader(q.Body))
	return h.Sum64()
}
