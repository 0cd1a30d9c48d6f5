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

var hostListClient = &http.Client{}

// errUnknownService says that the service isn't known here yet; the peer may ask again.
var errUnknownService = errors.New("node: service not known here")

// Peer is what the other entry processes call over net/rpc.
type Peer struct {
	node *Node
}

// Beat exchanges heartbeats.
func (p *Peer) Beat(in member.Heartbeat, out *member.Heartbeat) error {
	p.node.membership.HandleHeartbeat(in)
	*out = p.node.membership.Heartbeat()
	return nil
}

// withBroker runs f on the broker of a service.
func withBroker[Out any](p *Peer, service string, out *Out, f func(*broker.Broker) Out) error {
	rt := p.node.services.get(service)
	if rt == nil {
		return errUnknownService
	}
	*out = f(rt.broker)
	return nil
}

// Ask asks for slots.
func (p *Peer) Ask(in broker.AskArgs, out *broker.AskReply) error {
	return withBroker(p, in.Service, out, func(b *broker.Broker) broker.AskReply { return b.HandleAsk(in) })
}

// Free gives a permit back.
func (p *Peer) Free(in broker.FreeArgs, out *bool) error {
	return withBroker(p, in.Service, out, func(b *broker.Broker) bool { b.HandleFree(in); return true })
}

// Claim takes a target over.
func (p *Peer) Claim(in broker.ClaimArgs, out *broker.ClaimReply) error {
	return withBroker(p, in.Service, out, func(b *broker.Broker) broker.ClaimReply { return b.HandleClaim(in) })
}

// Held asks for the permits in use of a lost owner's target.
func (p *Peer) Held(in broker.HeldArgs, out *broker.HeldReply) error {
	return withBroker(p, in.Service, out, func(b *broker.Broker) broker.HeldReply { return b.HandleHeld(in) })
}

// Begin enters a non-idempotent request.
func (p *Peer) Begin(in once.BeginArgs, out *once.BeginReply) error {
	*out = p.node.registry.HandleBegin(in)
	return nil
}

// Finish tells how a non-idempotent request ended.
func (p *Peer) Finish(in once.FinishArgs, out *bool) error {
	p.node.registry.HandleFinish(in)
	*out = true
	return nil
}

// Pull asks for the records whose home or witness the asker is.
func (p *Peer) Pull(in once.PullArgs, out *once.PullReply) error {
	*out = p.node.registry.HandlePull(in)
	return nil
}

// Yield gives up a rack or a bucket.
func (p *Peer) Yield(in hold.YieldArgs, out *bool) error {
	*out = p.node.batchHolder.HandleYield(in)
	return nil
}

// Submit takes in a job, or its cancellation, for a bucket that is held here.
func (p *Peer) Submit(in hold.SubmitArgs, out *hold.SubmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	*out = p.node.batchHolder.SubmitLocal(ctx, in)
	return nil
}

// Sync answers the reports of racks.
func (p *Peer) Sync(in hold.SyncArgs, out *hold.SyncReply) error {
	*out = p.node.batchHolder.HandleReports(in)
	return nil
}
