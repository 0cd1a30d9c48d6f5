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
			if row.Was == "" && row.Ep == b.epochs[addr] {
				// Taken over by this row before, and given up: there may be requests from then.
				row.Was = b.core.Self()
			}
			b.claims[addr] = row.Ep
			b.epochs[addr] = row.Ep
		}
		b.mu.Unlock()
		if start {
			b.wg.Go(func() { b.claim(ctx, addr, row, slots) })
		}
	}
}

// Rejoined gives up everything that is owned here, after this process had lost its
// membership: others may have taken it over and may still use it. What the table gives
// to this process is taken over again like anything else.
func (b *Broker) Rejoined() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, t := range b.core.Targets(now) {
		b.core.Disown(now, t.Addr, "")
	}
	clear(b.claims)
	clear(b.early)
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
		wait.For(ctx, claimEvery)
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
	if m, ok := b.o.Group.View().Get(row.Was); ok {
		cctx, cancel := context.WithTimeout(ctx, b.o.Timeout)
		defer cancel()
		rep, err := link.Call[ClaimArgs, ClaimReply](cctx, b.o.Links.Get(m.Addr), "Peer.Claim",
			ClaimArgs{b.o.Service, addr, self, row.Ep})
		if err != nil || !rep.Absent {
			return rep.Held, rep.Ghosts, err == nil && rep.OK
		}
	}
	// The view may be older than the table, and the previous holder have joined since. One
	// that joins after this reading gives up what it owned, and finds the new row.
	view, err := b.o.Group.ReadView(ctx)
	if err != nil {
		return nil, 0, false
	}
	return b.collect(ctx, view, HeldArgs{b.o.Service, addr, self, row.Ep}, slots)
}

// collect asks every process about a target whose holder is gone or never had it.
func (b *Broker) collect(ctx context.Context, view member.View, in HeldArgs, slots int) ([]pool.Held, int, bool) {
	held := b.Held(in).Held
	for _, m := range view.Members() {
		if m.ID == in.By {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, b.o.Timeout)
		rep, err := link.Call[HeldArgs, HeldReply](cctx, b.o.Links.Get(m.Addr), "Peer.Held", in)
		cancel()
		if err != nil {
			return nil, 0, false
		}
		held = append(held, rep.Held...)
	}
	return unique(held), slots, true
}

// unique drops permits that both their user and a former holder have named.
func unique(held []pool.Held) []pool.Held {
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
//
// A target that is being taken over here is left to the claimant. If this process took it
// over first, two that claim the same target from each other, as it moved on and back, would
// wait for each other.
func (b *Broker) Claim(in ClaimArgs) ClaimReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, under := b.claims[in.Target]
	owned := b.owns(in.Target)
	if in.Ep <= b.epochs[in.Target] && (under || owned) {
		return ClaimReply{}
	}
	b.epochs[in.Target] = max(b.epochs[in.Target], in.Ep)
	delete(b.claims, in.Target)
	if !owned {
		return ClaimReply{Absent: true}
	}
	held, ghosts := b.core.Disown(time.Now(), in.Target, in.By)
	return ClaimReply{OK: true, Held: held, Ghosts: ghosts}
}

// owns reports whether the target is owned here; the lock is held.
func (b *Broker) owns(target string) bool {
	for _, t := range b.core.Targets(time.Now()) {
		if t.Addr == target {
			return true
		}
	}
	return false
}

// Held names the permits of a target that are in use here, and gives the target up if
// it was owned here by an older table.
func (b *Broker) Held(in HeldArgs) HeldReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var rep HeldReply
	for k, u := range b.using {
		if u.target == in.Target && now.Before(u.until) {
			rep.Held = append(rep.Held, pool.Held{Key: k, By: b.core.Self(), Left: u.until.Sub(now)})
		}
	}
	if in.By == b.core.Self() || in.Ep <= b.epochs[in.Target] {
		return rep
	}
	b.epochs[in.Target] = in.Ep
	delete(b.claims, in.Target)
	held, ghosts := b.core.Disown(now, in.Target, in.By)
	rep.Held, rep.Ghosts = append(rep.Held, held...), ghosts
	return rep
}
