package broker

import (
	"context"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/ctrl/shard"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/route/pool"
)

// claimRetryInterval is the time between two attempts to take a target over.
const claimRetryInterval = 50 * time.Millisecond

// TakeOverAssigned starts to take over the assigned targets that this process doesn't own yet,
// from their former owners where these are alive. Each target gets the number of slots.
func (b *Broker) TakeOverAssigned(ctx context.Context, assigned map[string]shard.Assignment, slots int) {
	owned := map[string]bool{}
	for _, t := range b.Targets() {
		owned[t.Addr] = true
	}
	for addr, assignment := range assigned {
		b.mu.Lock()
		epoch, claiming := b.claims[addr]
		// The epochs keep a table older than a target's handover from taking the target back.
		start := !owned[addr] && assignment.Epoch >= b.epochs[addr] && (!claiming || epoch < assignment.Epoch)
		if start {
			if assignment.FormerHolder == "" && assignment.Epoch == b.epochs[addr] {
				// This process took the target over by the same assignment before and gave it
				// up, so requests from that time may still run there.
				assignment.FormerHolder = b.core.Self()
			}
			b.claims[addr] = assignment.Epoch
			b.epochs[addr] = assignment.Epoch
		}
		b.mu.Unlock()
		if start {
			b.wg.Go(func() { b.claimTarget(ctx, addr, assignment, slots) })
		}
	}
}

// DropTargets gives up all owned targets after this process has lost its membership, since
// others may have taken them over and may use them. Targets that are still assigned to this
// process are then taken over again like any other.
func (b *Broker) DropTargets() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, t := range b.core.Targets(now) {
		b.core.RemoveTarget(now, t.Addr, "")
	}
	clear(b.claims)
	clear(b.earlyReturns)
}

// claimTarget takes a target over. Nothing is sent to the target until the requests that others
// have in flight there are known: the outstanding permits that the former owner reports or, if
// that is gone, those that the other processes use. The requests of a former owner that is gone
// count as orphans, whose number is limited by the load that the target reports.
//
// It guards against a target that gets more requests than it has slots while its owner changes.
func (b *Broker) claimTarget(ctx context.Context, addr string, assignment shard.Assignment, slots int) {
	for ctx.Err() == nil && b.isClaiming(addr, assignment.Epoch) {
		if permits, orphans, ok := b.findOutstanding(ctx, addr, assignment, slots); ok {
			b.finishClaim(addr, assignment.Epoch, slots, permits, orphans)
			return
		}
		wait.For(ctx, claimRetryInterval)
	}
}

// isClaiming reports whether the target is being taken over by the assignment of the epoch.
func (b *Broker) isClaiming(addr string, epoch uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.claims[addr] == epoch
}

// findOutstanding returns the outstanding permits and the number of orphans of a target that is
// being taken over, and whether they are known.
func (b *Broker) findOutstanding(ctx context.Context, addr string, assignment shard.Assignment, slots int) ([]pool.OutstandingPermit, int, bool) {
	if assignment.FormerHolder == "" {
		return nil, 0, true
	}
	self := b.core.Self()
	if assignment.FormerHolder == self {
		return nil, slots, true
	}
	if m, ok := b.opts.Group.View().Get(assignment.FormerHolder); ok {
		callCtx, cancel := context.WithTimeout(ctx, b.opts.RPCTimeout)
		defer cancel()
		rep, err := link.Call[ClaimArgs, ClaimReply](callCtx, b.opts.Links.Get(m.Addr), "Peer.Claim",
			ClaimArgs{b.opts.Service, addr, self, assignment.Epoch})
		if err != nil || !rep.Absent {
			return rep.Held, rep.Ghosts, err == nil && rep.OK
		}
	}
	// The view may be older than the assignment table, and the former owner may have joined
	// since. A process that joins after this read of the store gives up the targets that it
	// owned and finds the new assignment.
	view, err := b.opts.Group.ReadView(ctx)
	if err != nil {
		return nil, 0, false
	}
	return b.askAllMembers(ctx, view, HeldArgs{b.opts.Service, addr, self, assignment.Epoch}, slots)
}

// askAllMembers returns the permits of a target that the members of the view use or have
// outstanding, if the former owner is gone or never owned it. All slots count as orphans.
func (b *Broker) askAllMembers(ctx context.Context, view member.View, in HeldArgs, slots int) ([]pool.OutstandingPermit, int, bool) {
	permits := b.HandleHeld(in).Held
	for _, m := range view.Members() {
		if m.ID == in.By {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, b.opts.RPCTimeout)
		rep, err := link.Call[HeldArgs, HeldReply](callCtx, b.opts.Links.Get(m.Addr), "Peer.Held", in)
		cancel()
		if err != nil {
			return nil, 0, false
		}
		permits = append(permits, rep.Held...)
	}
	return dedupe(permits), slots, true
}

// dedupe drops the duplicates of permits that both their user and a former owner reported.
func dedupe(permits []pool.OutstandingPermit) []pool.OutstandingPermit {
	seen := map[pool.Key]bool{}
	unique := permits[:0]
	for _, p := range permits {
		if !seen[p.Key] {
			seen[p.Key] = true
			unique = append(unique, p)
		}
	}
	return unique
}

// finishClaim makes this process the owner of a target, unless the claim has been superseded.
func (b *Broker) finishClaim(addr string, epoch uint64, slots int, permits []pool.OutstandingPermit, orphans int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.claims[addr] != epoch {
		return
	}
	delete(b.claims, addr)
	outstanding := permits[:0]
	for _, p := range permits {
		if !b.earlyReturns[addr][p.Key] {
			outstanding = append(outstanding, p)
		}
	}
	delete(b.earlyReturns, addr)
	b.execute(b.core.AddTarget(time.Now(), addr, slots, outstanding, orphans))
	b.opts.Log.Info("target taken over", "service", b.opts.Service, "target", addr, "ep", epoch, "held", len(outstanding), "ghosts", orphans)
}

// HandleClaim handles the RPC Peer.Claim of the process to which a newer table assigns a target.
//
// If the target is being taken over here, this process gives up its own claim. If it finished
// that first, two processes that claim a target from each other, after it moved on and back,
// would wait for each other.
func (b *Broker) HandleClaim(in ClaimArgs) ClaimReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, claiming := b.claims[in.Target]
	owned := b.ownsTarget(in.Target)
	if in.Ep <= b.epochs[in.Target] && (claiming || owned) {
		return ClaimReply{}
	}
	b.epochs[in.Target] = max(b.epochs[in.Target], in.Ep)
	delete(b.claims, in.Target)
	if !owned {
		return ClaimReply{Absent: true}
	}
	permits, orphans := b.core.RemoveTarget(time.Now(), in.Target, in.By)
	return ClaimReply{OK: true, Held: permits, Ghosts: orphans}
}

// ownsTarget reports whether this process owns the target. The caller holds b.mu.
func (b *Broker) ownsTarget(target string) bool {
	for _, t := range b.core.Targets(time.Now()) {
		if t.Addr == target {
			return true
		}
	}
	return false
}

// HandleHeld handles the RPC Peer.Held. It returns the permits of a target that are in use here,
// and gives the target up if this process owned it by an older table.
func (b *Broker) HandleHeld(in HeldArgs) HeldReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var rep HeldReply
	for k, p := range b.borrowed {
		if p.target == in.Target && now.Before(p.expires) {
			rep.Held = append(rep.Held, pool.OutstandingPermit{Key: k, By: b.core.Self(), Left: p.expires.Sub(now)})
		}
	}
	if in.By == b.core.Self() || in.Ep <= b.epochs[in.Target] {
		return rep
	}
	b.epochs[in.Target] = in.Ep
	delete(b.claims, in.Target)
	permits, orphans := b.core.RemoveTarget(now, in.Target, in.By)
	rep.Held, rep.Ghosts = append(rep.Held, permits...), orphans
	return rep
}
