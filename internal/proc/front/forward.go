package front

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/peer/link"
)

// Forwarder answers callers' requests through whoever holds.
type Forwarder struct {
	log     logr.Logger
	scope   tally.Scope
	elector *lead.Elector
	links   link.Set
	monitor *peerMonitor
	name    string

	mu            sync.Mutex
	holder        *drive.Holder // this process's own, while it holds
	newestVersion int64         // newest configuration that an answer was based on
}

// defaultRequestTimeout bounds a request that came without a deadline.
const defaultRequestTimeout = 3 * time.Second

// Handle answers a request from here or, if another process holds, from there.
func (d *Forwarder) Handle(ctx context.Context, a drive.Request) drive.Reply {
	began := time.Now()
	rep := d.answerFromNewestConfig(ctx, a, d.forward)
	d.recordAnswer(a, rep, time.Since(began))
	return rep
}

// answerFromNewestConfig has a request answered by the answerFromNewestConfig configuration that an answer from here was based on.
//
// The failure it guards against: a former holder that doesn't know it has been replaced would
// take a configuration back. An older one also shows in the answer to a request that was on its
// way to the store as the configuration changed; ended as of unknown outcome, that job was
// lost to its caller. Asked again, whoever holds now answers for what it has stored.
func (d *Forwarder) answerFromNewestConfig(ctx context.Context, a drive.Request, pass func(context.Context, drive.Request) drive.Reply) drive.Reply {
	rep := pass(ctx, a)
	carried := false // it may have been, by an answer that was based on an older configuration
	for d.isOlderVersion(rep.Version) {
		carried = carried || a.Verb != drive.VerbState && (rep.Result == drive.ResultDone || rep.Result == drive.ResultUnknown)
		if !wait.For(ctx, retryInterval) {
			rep = drive.RefusedReply("answer of a former holder", drive.RetryAfterHolderChange)
			break
		}
		rep = pass(ctx, a)
	}
	if carried && rep.Result != drive.ResultDone {
		return drive.Reply{Result: drive.ResultUnknown, Why: "answered by an older configuration"}
	}
	return rep
}

// recordAnswer logs an answer that a caller may ask about: any that isn't what was asked for.
func (d *Forwarder) recordAnswer(a drive.Request, rep drive.Reply, took time.Duration) {
	d.scope.Tagged(map[string]string{"verb": string(a.Verb), "result": string(rep.Result)}).Counter("answers").Inc(1)
	d.scope.Tagged(map[string]string{"verb": string(a.Verb)}).Histogram("answer_time", answerTimeBuckets).RecordDuration(took)
	switch rep.Result {
	case drive.ResultRefused, drive.ResultUnknown, drive.ResultBad, drive.ResultNoJob:
		d.log.Info("answer", "verb", a.Verb, "path", a.Path, "result", rep.Result, "why", rep.Why, "version", rep.Version, "took", took)
	}
}

// answerTimeBuckets are the bounds of the histogram of answers: from within one host to the longest deadline.
var answerTimeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

func (d *Forwarder) isOlderVersion(version int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version == 0 || version >= d.newestVersion {
		d.newestVersion = max(version, d.newestVersion)
		return false
	}
	return true
}

// forward has the holder answer. A holder that falls silent may have carried the request out; as
// every request is idempotent by its job's id, the next holder is asked then.
//
// The failure it guards against: a host without power doesn't reset connections, and every
// request sent to it would hang until its deadline and end without a known outcome.
//
// Where the store is silent too, no next holder can come, and the caller is told at once.
func (d *Forwarder) forward(ctx context.Context, a drive.Request) drive.Reply {
	sent := false
	for {
		holder, changed := d.elector.Holder()
		away, isAway := d.monitor.isolation()
		if isAway && d.localHolder() == nil {
			if !sent {
				return drive.RefusedReply(reasonIsolated, drive.RetryAfterHolderChange)
			}
			return unknownOutcomeReply(a, reasonIsolated)
		}
		rep, err := d.callHolder(ctx, holder, changed, away, a)
		switch {
		case err == nil && !(sent && rep.Result == drive.ResultRefused):
			return rep
		case errors.Is(err, link.ErrAnswerLost):
			sent = true
			d.log.Info("no answer from holder", "holder", holder.Name, "path", a.Path, "cause", err.Error())
		case !sent && err != nil:
			return drive.RefusedReply(err.Error(), drive.RetryAfterHolderChange)
		}
		// The outcome of what was sent is open: only a holder that has read the store knows it.
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return unknownOutcomeReply(a, "caller left")
			}
			return unknownOutcomeReply(a, "holder doesn't answer")
		case <-changed:
		case <-away:
		case <-time.After(retryInterval):
		}
	}
}

// retryInterval is between two tries to learn what became of a request.
const retryInterval = 100 * time.Millisecond

// unknownOutcomeReply is the reply for a request whose outcome isn't known.
func unknownOutcomeReply(a drive.Request, why string) drive.Reply {
	if a.Verb == drive.VerbState {
		return drive.RefusedReply(why, drive.RetryAfterHolderChange)
	}
	return drive.Reply{Result: drive.ResultUnknown, Why: why}
}

// reasonIsolated is why nobody can answer a request here.
const reasonIsolated = "neither holder nor store answers"

// errNoHolder says that no process is known to hold.
var errNoHolder = errors.New("front: no holder")

// callHolder asks one holder, until it answers, another takes its place or there can be no answer; link.ErrLost says
// that the request may have been carried out.
func (d *Forwarder) callHolder(ctx context.Context, holder lead.Holder, changed, away <-chan struct{}, a drive.Request) (drive.Reply, error) {
	if h := d.localHolder(); h != nil {
		return h.Handle(ctx, a), nil
	}
	if holder.Name == "" || holder.Name == d.name {
		return drive.Reply{}, errNoHolder
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-away:
			cancel()
		case <-ctx.Done():
		}
	}()
	return link.Call[drive.Request, drive.Reply](ctx, d.links.Get(holder.Addr), "Peer.Handle", a)
}

func (d *Forwarder) localHolder() *drive.Holder {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder
}

func (d *Forwarder) setLocalHolder(h *drive.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder = h
}

// Peer is what entry processes ask of each other, over net/rpc.
type Peer struct {
	forwarder *Forwarder
	monitor   *peerMonitor
}

// Handle answers a request that another entry process took.
func (p *Peer) Handle(a drive.Request, rep *drive.Reply) error {
	h := p.forwarder.localHolder()
	if h == nil {
		*rep = drive.RefusedReply("no longer the holder", drive.RetryAfterHolderChange)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), defaultRequestTimeout)
	defer cancel()
	*rep = h.Handle(ctx, a)
	return nil
}

// Alive tells whether this process holds; the argument isn't used.
func (p *Peer) Alive(_ int, yes *bool) error {
	*yes = p.forwarder.localHolder() != nil
	return nil
}

// Follow tells the holder that the process with a peer interface at addr follows it; the error
// says that this one doesn't hold.
func (p *Peer) Follow(addr string, _ *int) error {
	if p.forwarder.localHolder() == nil {
		return errNoHolder
	}
	p.monitor.recordFollower(addr, time.Now())
	return nil
}

// FollowerStatus is what a process tells the holder when this doesn't reach the store, or carries less
// than its workers.
type FollowerStatus struct {
	Failing bool  // the store doesn't answer here either
	Term    int64 // of the newest holder known
	Carries int   // how many workers this process would hold; 0: not known, or none
}

// Outlook tells how the store looks from here; the argument isn't used.
func (p *Peer) Outlook(_ int, out *FollowerStatus) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeProbeTimeout)
	defer cancel()
	out.Failing = !p.forwarder.elector.ProbeStore(ctx)
	h, _ := p.forwarder.elector.Holder()
	out.Term = h.Term
	out.Carries = p.monitor.capacity()
	return nil
}
