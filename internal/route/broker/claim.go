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

const claimRetryInterval = 50 * time.Millisecond

// TakeOverAssigned brings what is owned here in line with the table: it takes over the targets
// that are new here, from their previous holder where that is alive.
func (b *Broker) TakeOverAssigned(ctx context.Context, mine map[string]shard.Assignment, slots int) {
	owned := map[string]bool{}
	for _, t := range b.Targets() {
		owned[t.Addr] = true
	}
	for addr, row := range mine {
		b.mu.Lock()
		ep, under := b.claims[addr]
		// A table from before a target was given away would take it back.
		start := !owned[addr] && row.Epoch >= b.epochs[addr] && (!under || ep < row.Epoch)
		if start {
			if row.FormerHolder == "" && row.Epoch == b.epochs[addr] {
				// Taken over by this row before, and given up: there may be requests from then.
				row.FormerHolder = b.core.Self()
			}
			b.claims[addr] = row.Epoch
			b.epochs[addr] = row.Epoch
		}
		b.mu.Unlock()
		if start {
			b.wg.Go(func() { b.claimTarget(ctx, addr, row, slots) })
		}
	}
}

// DropTargets gives up everything that is owned here, after this process had lost its
// membership: others may have taken it over and may still use it. What the table gives
// to this process is taken over again like anything else.
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

// claimTarget takes a target over. Nothing is sent there until it is known what others have
// in flight: the permits named by the previous holder, or, when that is gone, those
// that the other processes use, and for its own requests as many as the target says
// it has.
//
// It guards against a target that gets more requests than it has slots while it
// changes hands.
func (b *Broker) claimTarget(ctx context.Context, addr string, row shard.Assignment, slots int) {
	for ctx.Err() == nil && b.isClaiming(addr, row.Epoch) {
		if held, ghosts, ok := b.findOutstanding(ctx, addr, row, slots); ok {
			b.finishClaim(addr, row.Epoch, slots, held, ghosts)
			return
		}
		wait.For(ctx, claimRetryInterval)
	}
}

func (b *Broker) isClaiming(addr string, ep uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.claims[addr] == ep
}

func (b *Broker) findOutstanding(ctx context.Context, addr string, row shard.Assignment, slots int) ([]pool.OutstandingPermit, int, bool) {
	if row.FormerHolder == "" {
		return nil, 0, true
	}
	self := b.core.Self()
	if row.FormerHolder == self {
		return nil, slots, true
	}
	if m, ok := b.opts.Group.View().Get(row.FormerHolder); ok {
		cctx, cancel := context.WithTimeout(ctx, b.opts.RPCTimeout)
		defer cancel()
		rep, err := link.Call[ClaimArgs, ClaimReply](cctx, b.opts.Links.Get(m.Addr), "Peer.Claim",
			ClaimArgs{b.opts.Service, addr, self, row.Epoch})
		if err != nil || !rep.Absent {
			return rep.Held, rep.Ghosts, err == nil && rep.OK
		}
	}
	// The view may be older than the table, and the previous holder have joined since. One
	// that joins after this reading gives up what it owned, and finds the new row.
	view, err := b.opts.Group.ReadView(ctx)
	if err != nil {
		return nil, 0, false
	}
	return b.askAllMembers(ctx, view, HeldArgs{b.opts.Service, addr, self, row.Epoch}, slots)
}

// askAllMembers asks every process about a target whose holder is gone or never had it.
func (b *Broker) askAllMembers(ctx context.Context, view member.View, in HeldArgs, slots int) ([]pool.OutstandingPermit, int, bool) {
	held := b.HandleHeld(in).Held
	for _, m := range view.Members() {
		if m.ID == in.By {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, b.opts.RPCTimeout)
		rep, err := link.Call[HeldArgs, HeldReply](cctx, b.opts.Links.Get(m.Addr), "Peer.Held", in)
		cancel()
		if err != nil {
			return nil, 0, false
		}
		held = append(held, rep.Held...)
	}
	return dedupe(held), slots, true
}

// dedupe drops permits that both their user and a former holder have named.
func dedupe(held []pool.OutstandingPermit) []pool.OutstandingPermit {
	seen := map[pool.Key]bool{}
	out := held[:0]
	for _, h := range held {
		if !seen[h.Key] {
			seen[h.Key] = true
			out = append(out, h)
		}
	}
	return out
}

func (b *Broker) finishClaim(addr string, ep uint64, slots int, held []pool.OutstandingPermit, ghosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.claims[addr] != ep {
		return
	}
	delete(b.claims, addr)
	left := held[:0]
	for _, h := range held {
		if !b.earlyReturns[addr][h.Key] {
			left = append(left, h)
		}
	}
	delete(b.earlyReturns, addr)
	b.execute(b.core.AddTarget(time.Now(), addr, slots, left, ghosts))
	b.opts.Log.Info("target taken over", "service", b.opts.Service, "target", addr, "ep", ep, "held", len(left), "ghosts", ghosts)
}

// HandleClaim answers the process that holds a target by a newer table.
//
// A target that is being taken over here is left to the claimant. If this process took it
// over first, two that claim the same target from each other, as it moved on and back, would
// wait for each other.
func (b *Broker) HandleClaim(in ClaimArgs) ClaimReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, under := b.claims[in.Target]
	owned := b.ownsTarget(in.Target)
	if in.Ep <= b.epochs[in.Target] && (under || owned) {
		return ClaimReply{}
	}
	b.epochs[in.Target] = max(b.epochs[in.Target], in.Ep)
	delete(b.claims, in.Target)
	if !owned {
		return ClaimReply{Absent: true}
	}
	held, ghosts := b.core.RemoveTarget(time.Now(), in.Target, in.By)
	return ClaimReply{OK: true, Held: held, Ghosts: ghosts}
}

// ownsTarget reports whether the target is owned here; the lock is held.
func (b *Broker) ownsTarget(target string) bool {
	for _, t := range b.core.Targets(time.Now()) {
		if t.Addr == target {
			return true
		}
	}
	return false
}

// HandleHeld names the permits of a target that are in use here, and gives the target up if
// it was owned here by an older table.
func (b *Broker) HandleHeld(in HeldArgs) HeldReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var rep HeldReply
	for k, u := range b.borrowed {
		if u.target == in.Target && now.Before(u.expires) {
			rep.Held = append(rep.Held, pool.OutstandingPermit{Key: k, By: b.core.Self(), Left: u.expires.Sub(now)})
		}
	}
	if in.By == b.core.Self() || in.Ep <= b.epochs[in.Target] {
		return rep
	}
	b.epochs[in.Target] = in.Ep
	delete(b.claims, in.Target)
	held, ghosts := b.core.RemoveTarget(now, in.Target, in.By)
	rep.Held, rep.Ghosts = append(rep.Held, held...), ghosts
	return rep
}
