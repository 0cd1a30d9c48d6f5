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
	Name    string
	Broker  *broker.Broker
	Budget  *Budget
	Timeout time.Duration
	Slots   int // connections that the owner of a target opens to it
	Share   int // connections that a borrower opens to it
}

// Options says how an Entry is set up; all fields are needed.
type Options struct {
	Find  func(service string) (Service, bool)
	Homes *once.Homes
	Relay *relay.Relay
	Limit conf.Limit
	Log   logr.Logger
	Scope tally.Scope
}

// Entry answers callers' requests; New makes one.
type Entry struct {
	o      Options
	tries  atomic.Uint64
	name   string
	meters sync.Map // of meterKey to *meter
}

// New returns an entry whose tries carry name in their ids, which is unique to the process.
func New(name string, o Options) *Entry {
	return &Entry{o: o, name: name}
}

// Handler returns the HTTP interface for callers: /{service}/{path}.
func (e *Entry) Handler() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/{service}", e.serve)
	r.HandleFunc("/{service}/*", e.serve)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		(&Failure{Code: CodeService, Text: "the path begins with the name of a service"}).write(w)
	})
	return r
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	name := chi.URLParam(r, "service")
	ctx, span := telem.Tracer().Start(telem.ExtractSpan(r.Context(), r.Header), "entry.request",
		trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("service", name)))
	defer span.End()
	code := e.handle(ctx, w, r, name)
	span.SetAttributes(attribute.String("code", string(code)))
	if code == CodeService {
		name = "unknown" // the caller's words would make a series of metrics each
	}
	e.meter(name, code).add(time.Since(began))
}

func (e *Entry) handle(ctx context.Context, w http.ResponseWriter, r *http.Request, name string) Code {
	s, ok := e.o.Find(name)
	if !ok {
		return fail(w, &Failure{Code: CodeService, Text: fmt.Sprintf("no service %q is declared", name)})
	}
	q, f := e.parse(w, r, chi.URLParam(r, "*"), s)
	if f != nil {
		return fail(w, f)
	}
	if q.Idempotent {
		ctx, cancel := context.WithDeadline(ctx, q.until)
		defer cancel()
		a, f := e.run(ctx, s, q)
		return e.finish(w, a, f)
	}
	// The caller may go away, but its request goes on to the end: a repeat then gets
	// the answer instead of "unknown".
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.until)
	defer cancel()
	return e.atMostOnce(ctx, w, s, q)
}

func fail(w http.ResponseWriter, f *Failure) Code {
	f.write(w)
	return f.Code
}

func (e *Entry) finish(w http.ResponseWriter, a relay.Answer, f *Failure) Code {
	if f != nil {
		return fail(w, f)
	}
	write(w, a.Status, a.Header, a.Body)
	return CodeOK
}

// hopHeaders end at each connection and aren't passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	relay.HeaderLoad, relay.HeaderState, relay.HeaderID, "Content-Length"}

func write(w http.ResponseWriter, status int, header http.Header, body []byte) {
	h := w.Header()
	for k, v := range header {
		h[k] = v
	}
	for _, k := range hopHeaders {
		h.Del(k)
	}
	h.Set(relay.HeaderOutcome, string(OutcomeDone))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

const headerType = "Content-Type"

const maxKept = 4 << 10 // bytes of an answer that are kept for repeats

// atMostOnce runs a non-idempotent request unless its key is known.
func (e *Entry) atMostOnce(ctx context.Context, w http.ResponseWriter, s Service, q request) Code {
	print := q.print(s.Name)
	bctx, span := telem.Tracer().Start(ctx, "once.begin")
	v, rec, err := e.o.Homes.Begin(bctx, q.Key, print)
	span.End()
	if err != nil {
		return fail(w, &Failure{Code: CodeUnsure, Text: "the request was not begun: " + err.Error(), After: time.Second})
	}
	if v != once.Fresh {
		return e.repeat(w, v, rec)
	}
	a, f := e.run(ctx, s, q)
	if f != nil && meanings[f.Code].outcome == OutcomeNotRun {
		e.o.Homes.Drop(q.Key)
		return fail(w, f)
	}
	done := once.Record{ID: q.Key, Print: print, State: once.StateUnknown}
	if f == nil {
		done.State = once.StateDone
		done.Answer = kept(a)
	}
	// The caller has its answer first; its repeat finds the request begun meanwhile.
	code := e.finish(w, a, f)
	e.o.Homes.Finish(done)
	return code
}

func kept(a relay.Answer) once.Answer {
	k := once.Answer{Status: a.Status, Whole: len(a.Body) <= maxKept}
	if k.Whole {
		// A copy, as the body as read has room to spare.
		k.Body = bytes.Clone(a.Body)
		k.Type = a.Header.Get(headerType)
	}
	return k
}

// repeat answers a request that was begun before.
func (e *Entry) repeat(w http.ResponseWriter, v once.Verdict, rec once.Record) Code {
	switch v {
	case once.Running:
		return fail(w, &Failure{Code: CodeRunning, Text: "the request with this key is being run", After: time.Second})
	case once.Mismatch:
		return fail(w, &Failure{Code: CodeMismatch, Text: "the key was used for a different request"})
	case once.Done:
		if !rec.Answer.Whole {
			return fail(w, &Failure{Code: CodeAlready,
				Text: fmt.Sprintf("the request ran and was answered with status %d; the answer was too large to be kept", rec.Answer.Status)})
		}
		w.Header().Set("Sail-Replayed", "yes")
		write(w, rec.Answer.Status, http.Header{headerType: {rec.Answer.Type}}, rec.Answer.Body)
		return CodeOK
	}
	return fail(w, &Failure{Code: CodeUnknown, Text: "the request may have run before; it was not run again"})
}

// run gets the request a slot and its answer, trying again where that is harmless and
// the budget allows it.
func (e *Entry) run(ctx context.Context, s Service, q request) (relay.Answer, *Failure) {
	s.Budget.request()
	came, avoid := time.Now(), ""
	var last *Failure
	for {
		p, err := e.acquire(ctx, s, pool.Call{Team: q.team, Prio: q.prio, Came: came, Until: q.until, Avoid: avoid})
		if err != nil {
			if last != nil {
				return relay.Answer{}, last // what a try before has come to is the truer word
			}
			return relay.Answer{}, refusal(err)
		}
		a, err := e.try(ctx, s, p, q)
		if errors.Is(err, relay.ErrUnlawful) && ctx.Err() == nil {
			// It waits until this process may send again. No target has seen it, so it is
			// no retry that the budget is there to bound.
			continue
		}
		if err == nil && !(q.Idempotent && passing(a.Status) && ctx.Err() == nil && s.Budget.retry()) {
			return a, nil
		}
		last = failure(err)
		if err == nil {
			last = &Failure{Code: CodeLost, Text: fmt.Sprintf("the target answered with status %d", a.Status), After: time.Second}
		} else if !harmless(err, q.Idempotent) || ctx.Err() != nil || !s.Budget.retry() {
			return a, last
		}
		avoid = p.Target
	}
}

// passing reports whether a status tells of a state that another target may not be in.
func passing(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// harmless reports whether a request may be sent again after the error: it certainly
// didn't run, or running twice does nothing more than once.
func harmless(err error, idempotent bool) bool {
	return idempotent || errors.Is(err, relay.ErrNever) || errors.Is(err, relay.ErrRefused)
}

func (e *Entry) acquire(ctx context.Context, s Service, c pool.Call) (pool.Permit, error) {
	ctx, span := telem.Tracer().Start(ctx, "broker.wait")
	defer span.End()
	return s.Broker.Acquire(ctx, c)
}

// reply is how one try ended.
type reply struct {
	answer relay.Answer
	err    error
}

// try sends the request and, when it is idempotent and takes much longer than requests
// to the service do, sends it to a second target as well; the first whole answer counts.
// The other try isn't cut: the target may go on with it all the same, and its slot stays
// accounted for until it ends.
func (e *Entry) try(ctx context.Context, s Service, p pool.Permit, q request) (relay.Answer, error) {
	after := s.Budget.patience()
	if !q.Idempotent || after == 0 {
		return e.timed(ctx, s, p, q)
	}
	replies := make(chan reply, 2)
	// Detached from the caller, who may have its answer from the other try.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.until)
	begin := func(p pool.Permit) {
		a, err := e.timed(ctx, s, p, q)
		replies <- reply{a, err}
	}
	go begin(p)
	running := 1
	defer func() { e.release(cancel, replies, running) }()
	t := time.NewTimer(after)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if second, ok := e.hedge(ctx, s, p, q); ok {
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

// release ends the context of a request's tries after the last of them.
func (e *Entry) release(cancel context.CancelFunc, replies <-chan reply, running int) {
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

// hedge gets a slot for a second try, if one is free now and the budget allows it.
func (e *Entry) hedge(ctx context.Context, s Service, first pool.Permit, q request) (pool.Permit, bool) {
	if !s.Budget.retry() {
		return pool.Permit{}, false
	}
	now := time.Now()
	p, err := e.acquire(ctx, s, pool.Call{Team: q.team, Prio: pool.PrioLow, Came: now, Until: now.Add(hedgeWait), Avoid: first.Target})
	return p, err == nil
}

// hedgeWait is how long a second try waits for a slot.
const hedgeWait = 5 * time.Millisecond

// timed sends the request and notes how long whole answers take.
func (e *Entry) timed(ctx context.Context, s Service, p pool.Permit, q request) (relay.Answer, error) {
	began := time.Now()
	a, err := e.send(ctx, s, p, q)
	if err == nil {
		s.Budget.took(time.Since(began))
	}
	return a, err
}

func (e *Entry) send(ctx context.Context, s Service, p pool.Permit, q request) (relay.Answer, error) {
	// The permit's end bounds the exchange, as its owner may use the slot after it.
	ctx, cancel := context.WithDeadline(ctx, p.Until)
	defer cancel()
	ctx, span := telem.Tracer().Start(ctx, "relay.send", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("target", p.Target)))
	defer span.End()
	q.ID = fmt.Sprintf("%s-%d", e.name, e.tries.Add(1))
	role, conns := relay.RoleBorrower, s.Share
	if s.Broker.Own(p) {
		role, conns = relay.RoleOwner, s.Slots
	}
	began := time.Now()
	if err := ctx.Err(); err != nil {
		s.Broker.Release(p, pool.Result{Outcome: pool.OutcomeNever, Load: -1})
		return relay.Answer{}, errors.Wrap(relay.ErrNever, err.Error())
	}
	a, err := e.o.Relay.Do(ctx, p.Target, role, conns, q.Request)
	if errors.Is(err, relay.ErrUnlawful) {
		// Before the release, as the slot would go to the next call.
		s.Broker.Recheck()
	}
	s.Broker.Release(p, result(a, err, time.Since(began)))
	if err != nil {
		e.o.Log.V(0).Info("try failed", "service", s.Name, "target", p.Target, "try", q.ID, "err", err.Error())
	}
	return a, err
}

func result(a relay.Answer, err error, took time.Duration) pool.Result {
	r := pool.Result{Outcome: pool.OutcomeOK, Took: took, Load: a.Load, Leaving: a.Leaving}
	switch {
	case errors.Is(err, relay.ErrUnlawful):
		r.Outcome = pool.OutcomeNever
	case errors.Is(err, relay.ErrNever):
		// The target can't be reached: that counts against it like a failure.
		r.Outcome = pool.OutcomeFailed
	case errors.Is(err, relay.ErrRefused):
		r.Outcome = pool.OutcomeRefused
	case errors.Is(err, relay.ErrLost):
		r.Outcome = pool.OutcomeLost
	case err != nil:
		r.Outcome = pool.OutcomeLost
	case a.Status >= http.StatusInternalServerError:
		r.Outcome = pool.OutcomeFailed
	}
	return r
}

// refusal turns a broker's error into the caller's answer. Nothing was sent.
func refusal(err error) *Failure {
	var r *broker.Refused
	if !errors.As(err, &r) {
		return &Failure{Code: CodeDeadline, Text: "the deadline passed before a slot was free", After: time.Second}
	}
	switch r.Why {
	case pool.ReasonExpired:
		return &Failure{Code: CodeDeadline, Text: "the deadline passed before a slot was free", After: r.After}
	case pool.ReasonEmpty:
		return &Failure{Code: CodeNoTarget, Text: "no target can be used now", After: max(r.After, time.Second)}
	}
	return &Failure{Code: CodeOverloaded, Text: "more requests wait than can be answered in time", After: r.After}
}

// failure turns a relay's error into the caller's answer.
func failure(err error) *Failure {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, relay.ErrNever), errors.Is(err, relay.ErrRefused):
		return &Failure{Code: CodeNotSent, Text: "no target took the request", After: time.Second}
	case errors.Is(err, relay.ErrAnswer):
		return &Failure{Code: CodeAnswer, Text: "the target's answer can't be used; the request may have run"}
	}
	return &Failure{Code: CodeLost, Text: "the target's answer was lost; the request may have run"}
}
