package node

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/hold"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/route/broker"
	"bramleysail.example/bramleysail/internal/route/once"
)

// hostListClient is the HTTP client that reads the host list.
var hostListClient = &http.Client{}

// errUnknownService is returned for a service that this process doesn't know yet. The peer may
// repeat the call.
var errUnknownService = errors.New("node: service not known here")

// Peer is the net/rpc service for the other entry processes.
type Peer struct {
	node *Node
}

// Beat handles a peer's heartbeat and answers with one of this process.
func (p *Peer) Beat(in member.Heartbeat, out *member.Heartbeat) error {
	p.node.membership.HandleHeartbeat(in)
	*out = p.node.membership.Heartbeat()
	return nil
}

// withBroker calls f with the broker of a service and sets out to its result.
func withBroker[Out any](p *Peer, service string, out *Out, f func(*broker.Broker) Out) error {
	svc := p.node.services.get(service)
	if svc == nil {
		return errUnknownService
	}
	*out = f(svc.broker)
	return nil
}

// Ask answers a peer's request for permits, each for one slot of a target owned here.
func (p *Peer) Ask(in broker.AskArgs, out *broker.AskReply) error {
	return withBroker(p, in.Service, out, func(b *broker.Broker) broker.AskReply { return b.HandleAsk(in) })
}

// Free takes back a permit that a peer no longer uses.
func (p *Peer) Free(in broker.FreeArgs, out *bool) error {
	return withBroker(p, in.Service, out, func(b *broker.Broker) bool { b.HandleFree(in); return true })
}

// Claim hands a target over to the peer that takes it over.
func (p *Peer) Claim(in broker.ClaimArgs, out *broker.ClaimReply) error {
	return withBroker(p, in.Service, out, func(b *broker.Broker) broker.ClaimReply { return b.HandleClaim(in) })
}

// Held reports the permits that this process uses of a target whose owner was lost, and gives the
// target up if this process owns it by an older assignment.
func (p *Peer) Held(in broker.HeldArgs, out *broker.HeldReply) error {
	return withBroker(p, in.Service, out, func(b *broker.Broker) broker.HeldReply { return b.HandleHeld(in) })
}

// Begin records a non-idempotent request before the peer sends it.
func (p *Peer) Begin(in once.BeginArgs, out *once.BeginReply) error {
	*out = p.node.registry.HandleBegin(in)
	return nil
}

// Finish records how a non-idempotent request ended.
func (p *Peer) Finish(in once.FinishArgs, out *bool) error {
	p.node.registry.HandleFinish(in)
	*out = true
	return nil
}

// Pull returns the records of non-idempotent requests for which the calling peer is the home or
// the backup.
func (p *Peer) Pull(in once.PullArgs, out *once.PullReply) error {
	*out = p.node.registry.HandlePull(in)
	return nil
}

// Yield gives up a rack or a bucket to the peer that claims it.
func (p *Peer) Yield(in hold.YieldArgs, out *bool) error {
	*out = p.node.batchHolder.HandleYield(in)
	return nil
}

// Submit accepts a job or the cancellation of one, for a bucket that this process holds.
func (p *Peer) Submit(in hold.SubmitArgs, out *hold.SubmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	*out = p.node.batchHolder.SubmitLocal(ctx, in)
	return nil
}

// Sync handles the reports of a peer's racks and answers each.
func (p *Peer) Sync(in hold.SyncArgs, out *hold.SyncReply) error {
	*out = p.node.batchHolder.HandleReports(in)
	return nil
}
