package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	tally "github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/base/intake"
	"bramleysail.example/bramleysail/internal/base/telem"
	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/route/broker"
	"bramleysail.example/bramleysail/internal/route/once"
	"bramleysail.example/bramleysail/internal/route/pool"
	"bramleysail.example/bramleysail/internal/route/relay"
)

// Service is what an entry process needs to handle a request to a service.
type Service struct {
	Name          string         // name of the service
	Broker        *broker.Broker // assigns slots of the service's targets
	RetryBudget   *RetryBudget   // limits retries and hedged attempts
	Timeout       time.Duration  // longest time for a request, waiting included
	Slots         int            // most connections that the owner of a target opens to it
	BorrowerConns int            // most connections that a borrower opens to a target
}

// Options are the settings of an Entry; all fields are required.
type Options struct {
	FindService func(service string) (Service, bool) // returns a declared service by its name
	Registry    *once.Registry                       // registry of request ids
	Relay       *relay.Relay                         // sends requests to targets
	Gate        *intake.Gate                         // reads the bodies of requests, within the limits of size, time and memory
	Limits      conf.Limit                           // limits of size and time of requests
	Log         logr.Logger
	Scope       tally.Scope // scope of the metrics
}

// Entry answers callers' requests; New makes one.
type Entry struct {
	opts     Options
	attempts atomic.Uint64 // number of attempts so far
	process  string        // name of this process
	metrics  sync.Map      // of answerMetricsKey to *answerMetrics
}

// New returns an entry. The ids of its attempts begin with process, the unique name of this
// process.
func New(process string, o Options) *Entry {
	return &Entry{opts: o, process: process}
}

// Handler returns the HTTP handler of the callers' interface: /{service}/{path}.
func (e *Entry) Handler() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/{service}", e.serveHTTP)
	r.HandleFunc("/{service}/*", e.serveHTTP)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		(&Failure{Code: CodeUnknownService, Text: "the path begins with the name of a service"}).writeTo(w)
	})
	return r
}

// serveHTTP handles one request, with its trace span and its metrics.
func (e *Entry) serveHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	name := chi.URLParam(r, "service")
	ctx, span := telem.Tracer().Start(telem.ExtractSpan(r.Context(), r.Header), "entry.request",
		trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("service", name)))
	defer span.End()
	code := e.handleRequest(ctx, w, r, name)
	span.SetAttributes(attribute.String("code", string(code)))
	if code == CodeUnknownService {
		name = "unknown" // each name that a caller makes up would create a metric series of its own
	}
	e.metricsFor(name, code).record(time.Since(began))
}

// handleRequest answers one request to the named service and returns the code of the answer.
func (e *Entry) handleRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, name string) Code {
	s, ok := e.opts.FindService(name)
	if !ok {
		return writeEarlyFailure(w, r, &Failure{Code: CodeUnknownService, Text: fmt.Sprintf("no service %q is declared", name)})
	}
	q, f := e.parseRequest(w, r, chi.URLParam(r, "*"), s)
	if f != nil {
		return writeEarlyFailure(w, r, f)
	}
	defer q.memory.Release()
	if q.Idempotent {
		ctx, cancel := context.WithDeadline(ctx, q.deadline)
		defer cancel()
		a, f := e.sendWithRetries(ctx, s, q)
		return e.writeResult(w, a, f)
	}
	// The request continues when its caller goes away, so that a repeat gets the answer
	// instead of an unknown outcome.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	return e.runAtMostOnce(ctx, w, s, q)
}

// writeFailure sends a failure to the caller and returns its code.
func writeFailure(w http.ResponseWriter, f *Failure) Code {
	f.writeTo(w)
	return f.Code
}

// writeEarlyFailure sends a failure to the caller of a request whose body hasn't been read, and has its connection closed. It returns
// the failure's code.
func writeEarlyFailure(w http.ResponseWriter, r *http.Request, f *Failure) Code {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		defer intake.Linger(w, r)
	}
	return writeFailure(w, f)
}

// writeResult sends the failure or, if that is nil, the target's answer to the caller.
func (e *Entry) writeResult(w http.ResponseWriter, a relay.Answer, f *Failure) Code {
	if f != nil {
		return writeFailure(w, f)
	}
	writeAnswer(w, a.Status, a.Header, a.Body)
	return CodeOK
}

// hopByHopHeaders concern only the connection to the target; they aren't passed on to the caller.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	relay.HeaderLoad, relay.HeaderState, relay.HeaderAttemptID, "Content-Length"}

// writeAnswer sends a target's answer to the caller.
func writeAnswer(w http.ResponseWriter, status int, header http.Header, body []byte) {
	h := w.Header()
	for k, v := range header {
		h[k] = v
	}
	for _, k := range hopByHopHeaders {
		h.Del(k)
	}
	h.Set(relay.HeaderOutcome, string(OutcomeDone))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

const headerContentType = "Content-Type"

const maxStoredBody = 4 << 10 // largest body of an answer, in bytes, that is stored for repeats

// runAtMostOnce sends a non-idempotent request if its key is new, and otherwise answers it as a
// repeat of the request that has the key.
func (e *Entry) runAtMostOnce(ctx context.Context, w http.ResponseWriter, s Service, q request) Code {
	fingerprint := q.fingerprint(s.Name)
	bctx, span := telem.Tracer().Start(ctx, "once.begin")
	v, rec, err := e.beginOrAwait(bctx, q.Key, fingerprint)
	span.End()
	if err != nil {
		return writeFailure(w, &Failure{Code: CodeHomeUnavailable, Text: "the request was not begun: " + err.Error(), RetryAfter: time.Second})
	}
	if v != once.VerdictNew {
		return e.answerRepeat(w, v, rec)
	}
	a, f := e.sendWithRetries(ctx, s, q)
	if f != nil && codeInfos[f.Code].outcome == OutcomeNotRun {
		e.opts.Registry.DropUnsent(q.Key)
		return writeFailure(w, f)
	}
	final := once.Record{ID: q.Key, Print: fingerprint, State: once.StateUnknown}
	if f == nil {
		final.State = once.StateDone
		final.Answer = storedAnswer(a)
	}
	// A large answer may leave before the outcome is recorded. A repeat that arrives in
	// between waits for that.
	code := e.writeResult(w, a, f)
	e.opts.Registry.Finish(final)
	return code
}

const (
	// stillRunningWait is how long a repeat waits for the outcome of the request with its key. Refused
	// at once, its caller would be told to come back after the same time.
	stillRunningWait = time.Second
	// minOutcomePause and maxOutcomePause bound the growing pause between two looks for the outcome.
	minOutcomePause = 2 * time.Millisecond
	maxOutcomePause = 250 * time.Millisecond
)

// beginOrAwait registers a request. If one with its key is being run, it waits for the outcome, up to
// stillRunningWait and not beyond ctx.
func (e *Entry) beginOrAwait(ctx context.Context, key string, fingerprint uint64) (once.Verdict, once.Record, error) {
	began, pause := time.Now(), minOutcomePause
	for {
		v, rec, err := e.opts.Registry.Begin(ctx, key, fingerprint)
		if err != nil || v != once.VerdictRunning || time.Since(began)+pause > stillRunningWait || !wait.For(ctx, pause) {
			return v, rec, err
		}
		pause = min(2*pause, maxOutcomePause)
	}
}

// storedAnswer returns what is stored of an answer for repeats.
func storedAnswer(a relay.Answer) once.Answer {
	stored := once.Answer{Status: a.Status, Whole: len(a.Body) <= maxStoredBody}
	if stored.Whole {
		// The body as read has spare capacity, which a copy doesn't keep in memory.
		stored.Body = bytes.Clone(a.Body)
		stored.Type = a.Header.Get(headerContentType)
	}
	return stored
}

// answerRepeat answers a request whose key is known already.
func (e *Entry) answerRepeat(w http.ResponseWriter, v once.Verdict, rec once.Record) Code {
	switch v {
	case once.VerdictRunning:
		return writeFailure(w, &Failure{Code: CodeStillRunning, Text: "the request with this key is being run", RetryAfter: time.Second})
	case once.VerdictMismatch:
		return writeFailure(w, &Failure{Code: CodeKeyReused, Text: "the key was used for a different request"})
	case once.VerdictDone:
		if !rec.Answer.Whole {
			return writeFailure(w, &Failure{Code: CodeAlreadyRun,
				Text: fmt.Sprintf("the request ran and was answered with status %d; the answer was too large to be kept", rec.Answer.Status)})
		}
		w.Header().Set("Sail-Replayed", "yes")
		writeAnswer(w, rec.Answer.Status, http.Header{headerContentType: {rec.Answer.Type}}, rec.Answer.Body)
		return CodeOK
	}
	return writeFailure(w, &Failure{Code: CodeOutcomeUnknown, Text: "the request may have run before; it was not run again"})
}

// sendWithRetries waits for a slot, sends the request and returns its answer. It retries where
// that is safe and the budget allows it.
func (e *Entry) sendWithRetries(ctx context.Context, s Service, q request) (relay.Answer, *Failure) {
	s.RetryBudget.addTokens()
	arrived, avoidTarget := time.Now(), ""
	var last *Failure
	for {
		p, err := e.acquirePermit(ctx, s, pool.Call{Team: q.team, Priority: q.priority, Arrived: arrived, Deadline: q.deadline, AvoidTarget: avoidTarget})
		if err != nil {
			if last != nil {
				return relay.Answer{}, last // the earlier attempt's failure says more exactly whether the request ran
			}
			return relay.Answer{}, brokerFailure(err)
		}
		a, err := e.sendHedged(ctx, s, p, q)
		if errors.Is(err, relay.ErrUnauthorized) && ctx.Err() == nil {
			// The next acquirePermit waits until this process may send again. No target has
			// received the request, so sending it again isn't a retry that the budget limits.
			continue
		}
		if err == nil && !(q.Idempotent && isTransientStatus(a.Status) && ctx.Err() == nil && s.RetryBudget.takeToken()) {
			return a, nil
		}
		last = relayFailure(err)
		if err == nil {
			last = &Failure{Code: CodeAnswerLost, Text: fmt.Sprintf("the target answered with status %d", a.Status), RetryAfter: time.Second}
		} else if !isSafeToRetry(err, q.Idempotent) || ctx.Err() != nil || !s.RetryBudget.takeToken() {
			return a, last
		}
		avoidTarget = p.Target
	}
}

// isTransientStatus reports whether a status describes a state of the target that another target
// may not be in.
func isTransientStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// isSafeToRetry reports whether a request may be sent again after the error: it certainly
// didn't run, or running it twice has the same effect as running it once.
func isSafeToRetry(err error, idempotent bool) bool {
	return idempotent || errors.Is(err, relay.ErrNotSent) || errors.Is(err, relay.ErrRefused)
}

// acquirePermit waits for a slot, within a trace span.
func (e *Entry) acquirePermit(ctx context.Context, s Service, c pool.Call) (pool.Permit, error) {
	ctx, span := telem.Tracer().Start(ctx, "broker.wait")
	defer span.End()
	return s.Broker.Acquire(ctx, c)
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	answer relay.Answer
	err    error
}

// sendHedged sends the request to the permit's target. If the request is idempotent and takes
// much longer than the service's mean latency, it sends it to a second target as well and
// returns the first whole answer. The other attempt isn't cancelled: its target may go on with
// the request in any case, and its slot stays accounted for until the attempt ends.
func (e *Entry) sendHedged(ctx context.Context, s Service, p pool.Permit, q request) (relay.Answer, error) {
	after := s.RetryBudget.hedgeDelay()
	if !q.Idempotent || after == 0 {
		return e.sendTimed(ctx, s, p, q)
	}
	results := make(chan attemptResult, 2)
	// Detached from the caller's context, as the caller may already have the answer of the
	// other attempt.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	send := func(p pool.Permit) {
		a, err := e.sendTimed(ctx, s, p, q)
		results <- attemptResult{a, err}
	}
	go send(p)
	running := 1
	defer func() { e.cancelAfterLast(cancel, results, running) }()
	t := time.NewTimer(after)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if hedge, ok := e.acquireHedgePermit(ctx, s, p, q); ok {
				running++
				go send(hedge)
			}
		case r := <-results:
			running--
			if r.err == nil || running == 0 {
				return r.answer, r.err
			}
		}
	}
}

// cancelAfterLast cancels the context of a request's attempts when the last of them has ended.
func (e *Entry) cancelAfterLast(cancel context.CancelFunc, results <-chan attemptResult, running int) {
	if running == 0 {
		cancel()
		return
	}
	go func() {
		for range running {
			<-results
		}
		cancel()
	}()
}

// acquireHedgePermit returns a permit for a hedged attempt, if the budget allows it and a slot
// becomes free within maxHedgeWait.
func (e *Entry) acquireHedgePermit(ctx context.Context, s Service, first pool.Permit, q request) (pool.Permit, bool) {
	if !s.RetryBudget.takeToken() {
		return pool.Permit{}, false
	}
	now := time.Now()
	p, err := e.acquirePermit(ctx, s, pool.Call{Team: q.team, Priority: pool.PriorityLow, Arrived: now, Deadline: now.Add(maxHedgeWait), AvoidTarget: first.Target})
	return p, err == nil
}

// maxHedgeWait is how long a hedged attempt waits for a slot.
const maxHedgeWait = 5 * time.Millisecond

// sendTimed sends one attempt and records the latency of a whole answer.
func (e *Entry) sendTimed(ctx context.Context, s Service, p pool.Permit, q request) (relay.Answer, error) {
	began := time.Now()
	a, err := e.sendAttempt(ctx, s, p, q)
	if err == nil {
		s.RetryBudget.recordLatency(time.Since(began))
	}
	return a, err
}

// sendAttempt sends the request once, to the permit's target, and releases the permit.
func (e *Entry) sendAttempt(ctx context.Context, s Service, p pool.Permit, q request) (relay.Answer, error) {
	// The permit's expiry bounds the exchange, as the owner of the target may reuse the slot after it.
	ctx, cancel := context.WithDeadline(ctx, p.Until)
	defer cancel()
	ctx, span := telem.Tracer().Start(ctx, "relay.send", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("target", p.Target)))
	defer span.End()
	q.ID = fmt.Sprintf("%s-%d", e.process, e.attempts.Add(1))
	role, conns := relay.RoleBorrower, s.BorrowerConns
	if s.Broker.IssuedHere(p) {
		role, conns = relay.RoleOwner, s.Slots
	}
	began := time.Now()
	if err := ctx.Err(); err != nil {
		s.Broker.Release(p, pool.Result{Outcome: pool.OutcomeNotSent, Load: -1})
		return relay.Answer{}, errors.Wrap(relay.ErrNotSent, err.Error())
	}
	a, err := e.opts.Relay.Do(ctx, p.Target, role, conns, q.Request)
	if errors.Is(err, relay.ErrUnauthorized) {
		// This comes before the release, which would otherwise give the slot to the next call.
		s.Broker.RecheckPermissions()
	}
	s.Broker.Release(p, poolResult(a, err, time.Since(began)))
	if err != nil {
		e.opts.Log.V(0).Info("attempt failed", "service", s.Name, "target", p.Target, "try", q.ID, "err", err.Error())
	}
	return a, err
}

// poolResult returns how an attempt counts in the accounting of its target.
func poolResult(a relay.Answer, err error, latency time.Duration) pool.Result {
	r := pool.Result{Outcome: pool.OutcomeOK, Took: latency, Load: a.Load, Leaving: a.Leaving}
	switch {
	case errors.Is(err, relay.ErrUnauthorized):
		r.Outcome = pool.OutcomeNotSent
	case errors.Is(err, relay.ErrNotSent):
		// The target can't be reached, which counts as a failure of the target.
		r.Outcome = pool.OutcomeFailed
	case errors.Is(err, relay.ErrRefused):
		r.Outcome = pool.OutcomeRefused
	case errors.Is(err, relay.ErrAnswerLost):
		r.Outcome = pool.OutcomeLost
	case err != nil:
		r.Outcome = pool.OutcomeLost
	case a.Status >= http.StatusInternalServerError:
		r.Outcome = pool.OutcomeFailed
	}
	return r
}

// brokerFailure returns the answer to the caller for an error of the broker. The request was
// not sent.
func brokerFailure(err error) *Failure {
	var r *broker.RefusedError
	if !errors.As(err, &r) {
		return &Failure{Code: CodeDeadline, Text: "the deadline passed before a slot was free", RetryAfter: time.Second}
	}
	switch r.Reason {
	case pool.ReasonDeadline:
		return &Failure{Code: CodeDeadline, Text: "the deadline passed before a slot was free", RetryAfter: r.RetryAfter}
	case pool.ReasonNoTarget:
		return &Failure{Code: CodeNoTarget, Text: "no target can be used now", RetryAfter: max(r.RetryAfter, time.Second)}
	}
	return &Failure{Code: CodeOverloaded, Text: "more requests wait than can be answered in time", RetryAfter: r.RetryAfter}
}

// relayFailure returns the answer to the caller for an error of the relay.
func relayFailure(err error) *Failure {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, relay.ErrNotSent), errors.Is(err, relay.ErrRefused):
		return &Failure{Code: CodeNotSent, Text: "no target took the request", RetryAfter: time.Second}
	case errors.Is(err, relay.ErrAnswerUnusable):
		return &Failure{Code: CodeAnswerUnusable, Text: "the target's answer can't be used; the request may have run"}
	}
	return &Failure{Code: CodeAnswerLost, Text: "the target's answer was lost; the request may have run"}
}
