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

	"bramleysail.example/bramleysail/internal/base/intake"
	"bramleysail.example/bramleysail/internal/route/pool"
	"bramleysail.example/bramleysail/internal/route/relay"
)

// Headers of callers' requests.
const (
	headerIdempotencyKey = "Idempotency-Key" // the caller's id of the request, the same in each repeat
	headerIdempotent     = "Sail-Idempotent" // yes or no; overrides what the method implies
	headerTeam           = "Sail-Team"       // the team that the request counts for in fair queueing
	headerPriority       = "Priority"        // RFC 9218
	maxKeyLength         = 128               // most characters of an idempotency key
)

// request is a caller's request, completely read and validated.
type request struct {
	relay.Request
	team         string        // team that it counts for in fair queueing
	priority     pool.Priority // priority in the queue for slots
	deadline     time.Time     // when the caller stops waiting
	hasCallerKey bool          // the key comes from the caller, not from this process
	memory       *intake.Grant // memory that it takes; released when it ends
}

// parseRequest reads and validates a request. The failure is nil if the request is valid.
func (e *Entry) parseRequest(w http.ResponseWriter, r *http.Request, path string, s Service) (request, *Failure) {
	q := request{team: r.Header.Get(headerTeam), priority: parsePriority(r.Header.Get(headerPriority))}
	q.Method, q.Header = r.Method, r.Header
	q.Path = "/" + path
	if r.URL.RawQuery != "" {
		q.Path += "?" + r.URL.RawQuery
	}
	timeout := s.Timeout
	if t := r.Header.Get(relay.HeaderTimeout); t != "" {
		d, err := time.ParseDuration(t)
		if err != nil || d <= 0 {
			return q, &Failure{Code: CodeBadRequest, Text: fmt.Sprintf("%s: %q is not a duration above 0", relay.HeaderTimeout, t)}
		}
		timeout = min(timeout, d)
	}
	q.deadline = time.Now().Add(timeout)
	if f := q.parseIdempotency(r); f != nil {
		return q, f
	}
	return q, e.readBody(w, r, &q)
}

// parseIdempotency sets whether the request is idempotent, and its key: the caller's or a new one.
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

// isIdempotentMethod reports whether HTTP defines the method as idempotent.
func isIdempotentMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// parsePriority maps RFC 9218's urgency (u=0 to u=7, 3 when absent) to a priority in the queue.
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

// readBody reads the request's body within the limits of size, time and memory.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, q *request) *Failure {
	body, err := e.opts.Gate.ReadBody(w, r)
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return &Failure{Code: CodeTooLarge, Text: fmt.Sprintf("a request has at most %d bytes", e.opts.Limits.MaxRequestBytes)}
	case errors.Is(err, intake.ErrNoRoom):
		return &Failure{Code: CodeOverloaded, Text: "more requests are in flight than there is memory for", RetryAfter: intake.RetryAfter}
	case err != nil:
		return &Failure{Code: CodeSlowRequest, Text: "the request did not arrive whole in time"}
	}
	q.Body, q.memory = body.Data, body.Grant
	return nil
}

// fingerprint returns a hash of the request's content. It guards against answering a request
// that reuses a key with the answer of another request.
func (q *request) fingerprint(service string) uint64 {
	h := fnv.New64a()
	for _, s := range []string{service, q.Method, q.Path} {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = io.Copy(h, bytes.NewReader(q.Body))
	return h.Sum64()
}
