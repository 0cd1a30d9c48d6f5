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
	"bramleysail.example/bramleysail/internal/base/telem"
	"bramleysail.example/bramleysail/internal/route/broker"
	"bramleysail.example/bramleysail/internal/route/once"
	"bramleysail.example/bramleysail/internal/route/pool"
	"bramleysail.example/bramleysail/internal/route/relay"
)

// Service is what an entry process knows of a service when a request comes.
type Service struct {
	Name          string
	Broker        *broker.Broker
	RetryBudget   *RetryBudget
	Timeout       time.Duration
	Slots         int // connections that the owner of a target opens to it
	BorrowerConns int // connections that a borrower opens to it
}

// Options says how an Entry is set up; all fields are needed.
type Options struct {
	FindService func(service string) (Service, bool)
	Registry    *once.Registry
	Relay       *relay.Relay
	Limits      conf.Limit
	Log         logr.Logger
	Scope       tally.Scope
}

// Entry answers callers' requests; New makes one.
type Entry struct {
	opts     Options
	attempts atomic.Uint64
	process  string
	metrics  sync.Map // of meterKey to *meter
}

// New returns an entry whose tries carry name in their ids, which is unique to the process.
func New(name string, o Options) *Entry {
	return &Entry{opts: o, process: name}
}

// Handler returns the HTTP interface for callers: /{service}/{path}.
func (e *Entry) Handler() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/{service}", e.serveHTTP)
	r.HandleFunc("/{service}/*", e.serveHTTP)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		(&Failure{Code: CodeUnknownService, Text: "the path begins with the name of a service"}).writeTo(w)
	})
	return r
}

func (e *Entry) serveHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	name := chi.URLParam(r, "service")
	ctx, span := telem.Tracer().Start(telem.ExtractSpan(r.Context(), r.Header), "entry.request",
		trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("service", name)))
	defer span.End()
	code := e.handleRequest(ctx, w, r, name)
	span.SetAttributes(attribute.String("code", string(code)))
	if code == CodeUnknownService {
		name = "unknown" // the caller's words would make a series of metrics each
	}
	e.metricsFor(name, code).record(time.Since(began))
}

func (e *Entry) handleRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, name string) Code {
	s, ok := e.opts.FindService(name)
	if !ok {
		return writeFailure(w, &Failure{Code: CodeUnknownService, Text: fmt.Sprintf("no service %q is declared", name)})
	}
	q, f := e.parseRequest(w, r, chi.URLParam(r, "*"), s)
	if f != nil {
		return writeFailure(w, f)
	}
	if q.Idempotent {
		ctx, cancel := context.WithDeadline(ctx, q.deadline)
		defer cancel()
		a, f := e.sendWithRetries(ctx, s, q)
		return e.writeResult(w, a, f)
	}
	// The caller may go away, but its request goes on to the end: a repeat then gets
	// the answer instead of "unknown".
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	return e.runAtMostOnce(ctx, w, s, q)
}

func writeFailure(w http.ResponseWriter, f *Failure) Code {
	f.writeTo(w)
	return f.Code
}

func (e *Entry) writeResult(w http.ResponseWriter, a relay.Answer, f *Failure) Code {
	if f != nil {
		return writeFailure(w, f)
	}
	writeAnswer(w, a.Status, a.Header, a.Body)
	return CodeOK
}

// hopByHopHeaders end at each connection and aren't passed on.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	relay.HeaderLoad, relay.HeaderState, relay.HeaderAttemptID, "Content-Length"}

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

const maxStoredBody = 4 << 10 // bytes of an answer that are kept for repeats

// runAtMostOnce runs a non-idempotent request unless its key is known.
func (e *Entry) runAtMostOnce(ctx context.Context, w http.ResponseWriter, s Service, q request) Code {
	print := q.fingerprint(s.Name)
	bctx, span := telem.Tracer().Start(ctx, "once.begin")
	v, rec, err := e.opts.Registry.Begin(bctx, q.Key, print)
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
	done := once.Record{ID: q.Key, Print: print, State: once.StateUnknown}
	if f == nil {
		done.State = once.StateDone
		done.Answer = storedAnswer(a)
	}
	// The caller has its answer first; its repeat finds the request begun meanwhile.
	code := e.writeResult(w, a, f)
	e.opts.Registry.Finish(done)
	return code
}

func storedAnswer(a relay.Answer) once.Answer {
	k := once.Answer{Status: a.Status, Whole: len(a.Body) <= maxStoredBody}
	if k.Whole {
		// A copy, as the body as read has room to spare.
		k.Body = bytes.Clone(a.Body)
		k.Type = a.Header.Get(headerContentType)
	}
	return k
}

// answerRepeat answers a request that was begun before.
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

// sendWithRetries gets the request a slot and its answer, trying again where that is harmless and
// the budget allows it.
func (e *Entry) sendWithRetries(ctx context.Context, s Service, q request) (relay.Answer, *Failure) {
	s.RetryBudget.addTokens()
	came, avoid := time.Now(), ""
	var last *Failure
	for {
		p, err := e.acquirePermit(ctx, s, pool.Call{Team: q.team, Priority: q.priority, Arrived: came, Deadline: q.deadline, AvoidTarget: avoid})
		if err != nil {
			if last != nil {
				return relay.Answer{}, last // what a try before has come to is the truer word
			}
			return relay.Answer{}, brokerFailure(err)
		}
		a, err := e.sendHedged(ctx, s, p, q)
		if errors.Is(err, relay.ErrUnauthorized) && ctx.Err() == nil {
			// It waits until this process may send again. No target has seen it, so it is
			// no retry that the budget is there to bound.
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
		avoid = p.Target
	}
}

// isTransientStatus reports whether a status tells of a state that another target may not be in.
func isTransientStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// isSafeToRetry reports whether a request may be sent again after the error: it certainly
// didn't run, or running twice does nothing more than once.
func isSafeToRetry(err error, idempotent bool) bool {
	return idempotent || errors.Is(err, relay.ErrNotSent) || errors.Is(err, relay.ErrRefused)
}

func (e *Entry) acquirePermit(ctx context.Context, s Service, c pool.Call) (pool.Permit, error) {
	ctx, span := telem.Tracer().Start(ctx, "broker.wait")
	defer span.End()
	return s.Broker.Acquire(ctx, c)
}

// attemptResult is how one try ended.
type attemptResult struct {
	answer relay.Answer
	err    error
}

// sendHedged sends the request and, when it is idempotent and takes much longer than requests
// to the service do, sends it to a second target as well; the first whole answer counts.
// The other sendHedged isn't cut: the target may go on with it all the same, and its slot stays
// accounted for until it ends.
func (e *Entry) sendHedged(ctx context.Context, s Service, p pool.Permit, q request) (relay.Answer, error) {
	after := s.RetryBudget.hedgeDelay()
	if !q.Idempotent || after == 0 {
		return e.sendTimed(ctx, s, p, q)
	}
	replies := make(chan attemptResult, 2)
	// Detached from the caller, who may have its answer from the other try.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	begin := func(p pool.Permit) {
		a, err := e.sendTimed(ctx, s, p, q)
		replies <- attemptResult{a, err}
	}
	go begin(p)
	running := 1
	defer func() { e.cancelAfterLast(cancel, replies, running) }()
	t := time.NewTimer(after)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if second, ok := e.acquireHedgePermit(ctx, s, p, q); ok {
				running++
				go begin(second)
			}
		case r := <-replies:
			running--
			if r.err == nil || running == 0 {
				return r.answer, r.err
			}
		}
	}
}

// cancelAfterLast ends the context of a request's tries after the last of them.
func (e *Entry) cancelAfterLast(cancel context.CancelFunc, replies <-chan attemptResult, running int) {
	if running == 0 {
		cancel()
		return
	}
	go func() {
		for range running {
			<-replies
		}
		cancel()
	}()
}

// acquireHedgePermit gets a slot for a second try, if one is free now and the budget allows it.
func (e *Entry) acquireHedgePermit(ctx context.Context, s Service, first pool.Permit, q request) (pool.Permit, bool) {
	if !s.RetryBudget.takeToken() {
		return pool.Permit{}, false
	}
	now := time.Now()
	p, err := e.acquirePermit(ctx, s, pool.Call{Team: q.team, Priority: pool.PriorityLow, Arrived: now, Deadline: now.Add(maxHedgeWait), AvoidTarget: first.Target})
	return p, err == nil
}

// maxHedgeWait is how long a second try waits for a slot.
const maxHedgeWait = 5 * time.Millisecond

// sendTimed sends the request and notes how long whole answers take.
func (e *Entry) sendTimed(ctx context.Context, s Service, p pool.Permit, q request) (relay.Answer, error) {
	began := time.Now()
	a, err := e.sendAttempt(ctx, s, p, q)
	if err == nil {
		s.RetryBudget.recordLatency(time.Since(began))
	}
	return a, err
}

func (e *Entry) sendAttempt(ctx context.Context, s Service, p pool.Permit, q request) (relay.Answer, error) {
	// The permit's end bounds the exchange, as its owner may use the slot after it.
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
		// Before the release, as the slot would go to the next call.
		s.Broker.RecheckPermissions()
	}
	s.Broker.Release(p, poolResult(a, err, time.Since(began)))
	if err != nil {
		e.opts.Log.V(0).Info("try failed", "service", s.Name, "target", p.Target, "try", q.ID, "err", err.Error())
	}
	return a, err
}

func poolResult(a relay.Answer, err error, took time.Duration) pool.Result {
	r := pool.Result{Outcome: pool.OutcomeOK, Took: took, Load: a.Load, Leaving: a.Leaving}
	switch {
	case errors.Is(err, relay.ErrUnauthorized):
		r.Outcome = pool.OutcomeNotSent
	case errors.Is(err, relay.ErrNotSent):
		// The target can't be reached: that counts against it like a failure.
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

// brokerFailure turns a broker's error into the caller's answer. Nothing was sent.
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

// relayFailure turns a relay's error into the caller's answer.
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
