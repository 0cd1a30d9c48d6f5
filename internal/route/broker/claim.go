package broker

import (
	"context"
	"time"

	"bramleysail.example/bramleysail/internal/ctrl/shard"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/route/pool"
)

const claimEvery = 50 * time.Millisecond

// Follow brings what is owned here in line with the table: it takes over the targets
// that are new here, from their previous holder where that is alive.
func (b *Broker) Follow(ctx context.Context, mine map[string]shard.Row, slots int) {
	owned := map[string]bool{}
	for _, t := range b.Targets() {
		owned[t.Addr] = true
	}
	for addr, row := range mine {
		b.mu.Lock()
		ep, under := b.claims[addr]
		// A table from before a target was given away would take it back.
		start := !owned[addr] && row.Ep >= b.epochs[addr] && (!under || ep < row.Ep)
		if start {
			b.claims[addr] = row.Ep
			b.epochs[addr] = row.Ep
		}
		b.mu.Unlock()
		if start {
			b.wg.Go(func() { b.claim(ctx, addr, row, slots) })
		}
	}
}

// claim takes a target over. Nothing is sent there until it is known what others have
// in flight: the permits named by the previous holder, or, when that is gone, those
// that the other processes use, and for its own requests as many as the target says
// it has.
//
// It guards against a target that gets more requests than it has slots while it
// changes hands.
func (b *Broker) claim(ctx context.Context, addr string, row shard.Row, slots int) {
	for ctx.Err() == nil && b.isClaimed(addr, row.Ep) {
		if held, ghosts, ok := b.inventory(ctx, addr, row, slots); ok {
			b.own(addr, row.Ep, slots, held, ghosts)
			return
		}
		t := time.NewTimer(claimEvery)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

func (b *Broker) isClaimed(addr string, ep uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.claims[addr] == ep
}

func (b *Broker) inventory(ctx context.Context, addr string, row shard.Row, slots int) ([]pool.Held, int, bool) {
	if row.Was == "" {
		return nil, 0, true
	}
	self := b.core.Self()
	if row.Was == self {
		return nil, slots, true
	}
	view := b.o.Group.View()
	if m, ok := view.Get(row.Was); ok {
		cctx, cancel := context.WithTimeout(ctx, b.o.Timeout)
		defer cancel()
		rep, err := link.Call[ClaimArgs, ClaimReply](cctx, b.o.Links.To(m.Addr), "Peer.Claim",
			ClaimArgs{b.o.Service, addr, self, row.Ep})
		return rep.Held, rep.Ghosts, err == nil && rep.OK
	}
	held := b.Held(HeldArgs{b.o.Service, addr, row.Was}).Held
	for _, m := range view.Members() {
		if m.ID == self {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, b.o.Timeout)
		rep, err := link.Call[HeldArgs, HeldReply](cctx, b.o.Links.To(m.Addr), "Peer.Held",
			HeldArgs{b.o.Service, addr, row.Was})
		cancel()
		if err != nil {
			return nil, 0, false
		}
		held = append(held, rep.Held...)
	}
	return held, slots, true
}

func (b *Broker) own(addr string, ep uint64, slots int, held []pool.Held, ghosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.claims[addr] != ep {
		return
	}
	delete(b.claims, addr)
	left := held[:0]
	for _, h := range held {
		if !b.early[addr][h.Key] {
			left = append(left, h)
		}
	}
	delete(b.early, addr)
	b.do(b.core.Own(time.Now(), addr, slots, left, ghosts))
	b.o.Log.Info("target taken over", "service", b.o.Service, "target", addr, "ep", ep, "held", len(left), "ghosts", ghosts)
}

// Claim answers the process that holds a target by a newer table.
func (b *Broker) Claim(in ClaimArgs) ClaimReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	if in.Ep <= b.epochs[in.Target] {
		return ClaimReply{}
	}
	b.epochs[in.Target] = in.Ep
	if _, under := b.claims[in.Target]; under {
		// It passed on before it was ever taken over here. Only the target itself
		// can tell what is in flight there.
		delete(b.claims, in.Target)
		delete(b.early, in.Target)
		return ClaimReply{OK: true, Ghosts: allSlots}
	}
	owned := false
	for _, t := range b.core.Targets(time.Now()) {
		owned = owned || t.Addr == in.Target
	}
	if !owned {
		return ClaimReply{OK: true, Ghosts: allSlots}
	}
	held, ghosts := b.core.Disown(time.Now(), in.Target, in.By)
	return ClaimReply{true, held, ghosts}
}

// allSlots stands for as many untracked requests as the target has slots.
const allSlots = 1 << 20

// Held names the permits of a lost owner's target that are in use here.
func (b *Broker) Held(in HeldArgs) HeldReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var rep HeldReply
	for k, u := range b.using {
		if k.Owner == in.Owner && u.target == in.Target && now.Before(u.until) {
			rep.Held = append(rep.Held, pool.Held{Key: k, By: b.core.Self(), Left: u.until.Sub(now)})
		}
	}
	return rep
}

// Lose gives up taking over the targets that the table no longer gives to this process.
func (b *Broker) Lose(mine map[string]shard.Row) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for addr := range b.claims {
		if _, ok := mine[addr]; !ok {
			delete(b.claims, addr)
			delete(b.early, addr)
		}
	}
}
