package front

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/base/intake"
	"bramleysail.example/bramleysail/internal/base/stall"
	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/peer/link"
)

// Forwarder answers callers' requests if this process is the holder, and forwards them to the holder otherwise.
type Forwarder struct {
	log     logr.Logger
	scope   tally.Scope   // of the metrics
	elector *lead.Elector // knows who the holder is
	links   link.Set      // connections to other entry processes
	monitor *peerMonitor  // knows whether this process is isolated
	name    string        // of this process
	stalls  stall.Detector
	budget  *intake.Budget // memory of callers' requests in flight, those that peers have forwarded included

	mu            sync.Mutex
	holder        *drive.Holder // set while this process is the holder
	newestVersion int64         // newest version of the configuration that an answer was based on
}

// defaultRequestTimeout limits the handling of a request that another process has forwarded, as the call carries no
// deadline.
const defaultRequestTimeout = 3 * time.Second

// Handle answers a caller's request, by forwarding it if another process is the holder.
func (f *Forwarder) Handle(ctx context.Context, req drive.Request) drive.Reply {
	began := time.Now()
	if len(req.Job) > drive.MaxJobSize {
		rep := drive.Reply{Result: drive.ResultBad, Why: "job too large"}
		f.recordAnswer(req, rep, time.Since(began))
		return rep
	}
	sent := began.Add(-f.stalls.MaxAge(began))
	rep := f.answerFromNewestConfig(ctx, req, func(ctx context.Context, req drive.Request) drive.Reply { return f.forward(ctx, req, sent) })
	f.recordAnswer(req, rep, time.Since(began))
	return rep
}

// answerFromNewestConfig calls forward until the answer is based on a configuration that isn't older than that of an
// earlier answer of this process.
//
// Otherwise, a former holder that doesn't know that it has been replaced would answer from an older configuration, as
// if a change had been undone. The answer to a request that was being stored while the configuration changed is based
// on the older configuration, too. If its outcome were reported as unknown, the caller would lose track of a stored
// job; on a retry the current holder answers according to what is stored.
func (f *Forwarder) answerFromNewestConfig(ctx context.Context, req drive.Request, forward func(context.Context, drive.Request) drive.Reply) drive.Reply {
	rep := forward(ctx, req)
	mayBeDone := false // the request may have been carried out, by an answer based on an older configuration
	for f.isOlderVersion(rep.Version) {
		mayBeDone = mayBeDone || req.Verb != drive.VerbState && (rep.Result == drive.ResultDone || rep.Result == drive.ResultUnknown)
		if !wait.For(ctx, retryInterval) {
			rep = drive.RefusedReply("answer of a former holder", drive.RetryAfterHolderChange)
			break
		}
		rep = forward(ctx, req)
	}
	if mayBeDone && rep.Result != drive.ResultDone {
		return drive.Reply{Result: drive.ResultUnknown, Why: "answered by an older configuration"}
	}
	return rep
}

// recordAnswer counts an answer in the metrics and logs it unless the request succeeded, as callers ask why it didn't.
func (f *Forwarder) recordAnswer(req drive.Request, rep drive.Reply, took time.Duration) {
	f.scope.Tagged(map[string]string{"verb": string(req.Verb), "result": string(rep.Result)}).Counter("answers").Inc(1)
	f.scope.Tagged(map[string]string{"verb": string(req.Verb)}).Histogram("answer_time", answerTimeBuckets).RecordDuration(took)
	switch rep.Result {
	case drive.ResultRefused, drive.ResultUnknown, drive.ResultBad, drive.ResultNoJob:
		f.log.Info("answer", "verb", req.Verb, "path", req.Path, "result", rep.Result, "why", rep.Why, "version", rep.Version, "took", took)
	}
}

// answerTimeBuckets are the bucket bounds of the histogram of answer times. They range from an answer within the same
// host to the longest deadline.
var answerTimeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// isOlderVersion reports whether a version of the configuration is older than that of an earlier answer, and stores it
// if it is newer. Version 0, of an answer that isn't based on a configuration, is never older.
func (f *Forwarder) isOlderVersion(version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version == 0 || version >= f.newestVersion {
		f.newestVersion = max(version, f.newestVersion)
		return false
	}
	return true
}

// forward sends a request to the holder and returns its answer. If the holder stops responding, it may have carried out
// the request; as every request is idempotent by its job's id, it is then sent again, to the next holder once there is
// one.
//
// A host that loses power doesn't reset its connections. Without the retry, every request sent to it would hang until
// its deadline and end with an unknown outcome.
//
// If the store doesn't answer either, there can be no next holder, and forward returns at once.
//
// sent is the earliest time at which the caller can have sent the request. A submission that may be too old isn't passed on:
// its caller may have left and have been told that no such job exists.
func (f *Forwarder) forward(ctx context.Context, req drive.Request, sent time.Time) drive.Reply {
	answerLost := false
	for {
		if isTooOld(req, sent, time.Now()) {
			if answerLost {
				return unknownOutcomeReply(req, reasonTooOld)
			}
			return drive.RefusedReply(reasonTooOld, drive.RetryAfterHolderChange)
		}
		holder, changed := f.elector.Holder()
		isolatedCh, isolated := f.monitor.isolation()
		if isolated && f.localHolder() == nil {
			if !answerLost {
				return drive.RefusedReply(reasonIsolated, drive.RetryAfterHolderChange)
			}
			return unknownOutcomeReply(req, reasonIsolated)
		}
		rep, err := f.callHolder(ctx, holder, changed, isolatedCh, req)
		switch {
		case err == nil && settles(rep, answerLost):
			return rep
		case errors.Is(err, link.ErrAnswerLost):
			answerLost = true
			f.log.Info("no answer from holder", "holder", holder.Name, "path", req.Path, "cause", err.Error())
		case !answerLost && err != nil:
			return drive.RefusedReply(err.Error(), drive.RetryAfterHolderChange)
		}
		// A call got no answer, so the outcome of the request is unknown until a holder that has read the store
		// answers.
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return unknownOutcomeReply(req, "caller left")
			}
			return unknownOutcomeReply(req, "holder doesn't answer")
		case <-changed:
		case <-isolatedCh:
		case <-time.After(retryInterval):
		}
	}
}

// reasonTooOld is the reason given for a submission that isn't passed on.
const reasonTooOld = "this host stood still; the submission may be too old"

// isTooOld reports whether a request that was sent at the given time or later may be too old to be passed on.
func isTooOld(req drive.Request, sent, now time.Time) bool {
	return req.Verb == drive.VerbSubmit && wait.Elapsed(now, sent) > drive.MaxSubmissionAge
}

// settles reports whether a holder's answer settles a request, of which earlier calls may have got no answer. A refusal of
// this call says nothing about those, unless it is final.
func settles(rep drive.Reply, answerLost bool) bool {
	return !answerLost || rep.Result != drive.ResultRefused || rep.Final
}

// retryInterval is the pause between two attempts to get an answer to a request.
const retryInterval = 100 * time.Millisecond

// unknownOutcomeReply returns the reply to a request whose outcome isn't known. A request for a job's state changes
// nothing, so it is refused.
func unknownOutcomeReply(req drive.Request, why string) drive.Reply {
	if req.Verb == drive.VerbState {
		return drive.RefusedReply(why, drive.RetryAfterHolderChange)
	}
	return drive.Reply{Result: drive.ResultUnknown, Why: why}
}

// reasonIsolated is the reason given in replies while this process is isolated.
const reasonIsolated = "neither holder nor store answers"

// errNoHolder means that no holder is known, or that a peer that was called as the holder isn't the holder.
var errNoHolder = errors.New("front: no holder")

// callHolder sends a request to the given holder, or to this process's own. It waits until the holder answers, changed
// is closed because there is another holder, or isolatedCh is closed. link.ErrAnswerLost means that the request may
// have been carried out.
func (f *Forwarder) callHolder(ctx context.Context, holder lead.Holder, changed, isolatedCh <-chan struct{}, req drive.Request) (drive.Reply, error) {
	if h := f.localHolder(); h != nil {
		return h.Handle(ctx, req), nil
	}
	if holder.Name == "" || holder.Name == f.name {
		return drive.Reply{}, errNoHolder
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-isolatedCh:
			cancel()
		case <-ctx.Done():
		}
	}()
	return link.Call[drive.Request, drive.Reply](ctx, f.links.Get(holder.Addr), "Peer.Handle", req)
}

// handleForwarded answers a request that a peer has forwarded to h, if there is memory for it.
func (f *Forwarder) handleForwarded(h *drive.Holder, req drive.Request) drive.Reply {
	grant, ok := f.budget.Take(time.Now(), intake.Cost(int64(len(req.Job))))
	if !ok {
		f.scope.Tagged(map[string]string{"cause": "forwarded"}).Counter("turned_away").Inc(1)
		return drive.RefusedReply(reasonNoRoom, intake.RetryAfter)
	}
	defer grant.Release()
	ctx, cancel := context.WithTimeout(context.Background(), defaultRequestTimeout)
	defer cancel()
	return h.Handle(ctx, req)
}

// reasonNoRoom is the reason given for a request that is refused for want of memory for requests in flight.
const reasonNoRoom = "too many requests in flight"

// localHolder returns this process's drive.Holder, or nil if this process isn't the holder.
func (f *Forwarder) localHolder() *drive.Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holder
}

// setLocalHolder sets this process's drive.Holder, or nil when this process is no longer the holder.
func (f *Forwarder) setLocalHolder(h *drive.Holder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder = h
}

// Peer has the methods that entry processes call on each other over net/rpc.
type Peer struct {
	forwarder *Forwarder   // has this process's drive.Holder
	monitor   *peerMonitor // records the followers
}

// Handle answers a request that another entry process has forwarded. It refuses it if this process isn't the holder.
func (p *Peer) Handle(req drive.Request, rep *drive.Reply) error {
	h := p.forwarder.localHolder()
	if h == nil {
		*rep = drive.RefusedReply("no longer the holder", drive.RetryAfterHolderChange)
		return nil
	}
	*rep = p.forwarder.handleForwarded(h, req)
	return nil
}

// Alive reports whether this process is the holder. The argument isn't used.
func (p *Peer) Alive(_ int, isHolder *bool) error {
	*isHolder = p.forwarder.localHolder() != nil
	return nil
}

// Follow records a heartbeat of a follower of an older build, whose limits aren't known, like Announce.
func (p *Peer) Follow(addr string, out *int) error {
	return p.Announce(Heartbeat{Addr: addr}, out)
}

// Announce records a heartbeat of a follower. It returns an error if this process isn't the holder, or not yet: a new holder
// may choose agents before it has read the jobs.
func (p *Peer) Announce(h Heartbeat, _ *int) error {
	p.monitor.recordFollower(h, time.Now())
	p.forwarder.elector.Promise(h.Term)
	if p.forwarder.localHolder() == nil {
		return errNoHolder
	}
	return nil
}

// Promise makes this process confirm no holder of a term older than the given one. If it is that holder itself, its
// tenure ends.
func (p *Peer) Promise(term int64, out *Promise) error {
	e := p.forwarder.elector
	e.Promise(term)
	*out = Promise{e.Self().ID, e.NewestTerm()}
	return nil
}

// Outlook reports this process's status as a follower. The argument isn't used.
func (p *Peer) Outlook(_ int, status *FollowerStatus) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeProbeTimeout)
	defer cancel()
	e := p.forwarder.elector
	status.Failing = !e.ProbeStore(ctx)
	status.ID, status.Term = e.Self().ID, e.NewestTerm()
	status.Carries = p.monitor.capacity()
	return nil
}
