package pool

import (
	"cmp"
	"slices"
	"time"
)

// AddTarget makes this process the owner of a target, or changes the slots of a target that
// it owns. The permits are those outstanding under the former owner. The orphans are requests
// that may run at the target though no process tracks them; they occupy slots until the target
// reports a lower load or MaxRequestTime has passed.
func (c *Core) AddTarget(now time.Time, addr string, slots int, permits []OutstandingPermit, orphans int) []Action {
	if t := c.targets[addr]; t != nil {
		t.slots = slots
		c.serveWaiting(now)
		return c.takeActions()
	}
	t := &target{addr: addr, slots: slots, permits: map[Key]issued{}}
	if orphans > 0 {
		t.addOrphans(now, min(orphans, slots), c.opts.MaxRequestTime)
	}
	for _, p := range permits {
		t.permits[p.Key] = issued{p.By, now.Add(p.Left)}
		// The permit may be one that this process issued before it gave the target up.
		delete(c.forwards, p.Key)
	}
	c.targets[addr] = t
	c.sortTargets()
	c.serveWaiting(now)
	return c.takeActions()
}

// RemoveTarget ends the ownership of a target, and returns its outstanding permits and the
// number of its orphans. Permits that come back later are forwarded to newOwner, if it is set.
func (c *Core) RemoveTarget(now time.Time, addr, newOwner string) ([]OutstandingPermit, int) {
	t := c.targets[addr]
	if t == nil {
		return nil, 0
	}
	var permits []OutstandingPermit
	for k, p := range t.permits {
		permits = append(permits, OutstandingPermit{k, p.user, p.expires.Sub(now)})
		if newOwner != "" {
			c.forwards[k] = forward{newOwner, p.expires}
		}
	}
	slices.SortFunc(permits, func(a, b OutstandingPermit) int { return cmp.Compare(a.Key.No, b.Key.No) })
	delete(c.targets, addr)
	c.sortTargets()
	return permits, t.orphans
}

// SetLeaving sets whether an owned target is leaving by the host list or an operator. A target
// that is leaving gets no new requests.
func (c *Core) SetLeaving(now time.Time, addr string, leaving bool) []Action {
	if t := c.targets[addr]; t != nil {
		t.leaving = leaving
	}
	c.serveWaiting(now)
	return c.takeActions()
}

// HandleProbe handles the response to a probe of an owned target: whether the target is
// healthy, the number of requests that it reports to have, or -1, and whether it reports
// that it is leaving.
func (c *Core) HandleProbe(now time.Time, addr string, healthy bool, load int, leaving bool) []Action {
	t := c.targets[addr]
	if t == nil {
		return nil
	}
	t.limitOrphans(load)
	t.reportedLeaving = healthy && leaving
	if !healthy && now.Before(t.ejectedUntil) {
		t.ejectedUntil = now.Add(t.backoff)
	}
	c.serveWaiting(now)
	return c.takeActions()
}

// HandleBorrow handles a peer's request for slots, whose oldest call has waited for longestWait.
// It returns permits for the slots that are free. The core lends the peer the remaining slots as
// they become free.
func (c *Core) HandleBorrow(now time.Time, id string, slots int, longestWait time.Duration) ([]Permit, []Action) {
	p := c.ensurePeer(id)
	p.oldestArrival = now.Add(-longestWait)
	var permits []Permit
	for len(permits) < slots && c.ownershipValid && c.queue.size == 0 {
		t := c.pickTarget(now, "", id)
		if t == nil {
			break
		}
		permits = append(permits, c.issuePermit(now, t, id))
	}
	p.wantedSlots = slots - len(permits)
	return permits, c.takeActions()
}

// HandleGrant handles the permits that a peer granted in answer to a Borrow for the number of
// slots, or with slots = 0 the permits that it lent later. The peer has freeSlots left.
func (c *Core) HandleGrant(now time.Time, id string, slots int, permits []Permit, freeSlots int) []Action {
	c.pendingSlots = max(0, c.pendingSlots-slots)
	c.ensurePeer(id).freeSlots = freeSlots
	for _, p := range permits {
		c.usePermit(now, p)
	}
	c.borrowSlots(now)
	return c.takeActions()
}

// usePermit uses a borrowed permit for the next waiting call, or returns it.
func (c *Core) usePermit(now time.Time, p Permit) {
	for !c.suspended && now.Before(p.Until) {
		call, ok := c.queue.pop()
		if !ok {
			break
		}
		if c.refuseIfExpired(now, call) {
			continue
		}
		c.sendCall(call, p)
		return
	}
	c.emit(Return{p.Key.Owner, p.Key, p.Target, Result{Outcome: OutcomeNotSent, Load: -1}})
}

// HandleBorrowFailure handles that a peer didn't answer a Borrow for the number of slots.
func (c *Core) HandleBorrowFailure(now time.Time, id string, slots int) []Action {
	return c.HandleGrant(now, id, slots, nil, 0)
}

// HandleHeartbeat handles the load that a peer reports: its free slots, its number of waiting
// calls and the wait of the oldest one.
func (c *Core) HandleHeartbeat(now time.Time, id string, freeSlots, waiting int, longestWait time.Duration) []Action {
	p := c.ensurePeer(id)
	p.freeSlots = freeSlots
	p.wantedSlots = min(p.wantedSlots, waiting)
	p.hasWaiting = waiting > 0
	p.oldestArrival = now.Add(-longestWait)
	c.borrowSlots(now)
	return c.takeActions()
}

// AddPeer adds a peer, or updates whether it is in the same failure domain.
func (c *Core) AddPeer(id string, sameZone bool) {
	c.ensurePeer(id).sameZone = sameZone
}

// RemovePeer removes a peer that left. The permits that it uses end when they expire.
func (c *Core) RemovePeer(id string) {
	delete(c.peers, id)
}

// ensurePeer returns the peer with the id, which it adds if it is unknown.
func (c *Core) ensurePeer(id string) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{}
		c.peers[id] = p
	}
	return p
}

// Load returns what the heartbeats report to the peers: the free slots of this process, its
// number of waiting calls and the wait of the oldest one. No slot counts as free while calls wait.
func (c *Core) Load(now time.Time) (freeSlots, waiting int, longestWait time.Duration) {
	if c.ownershipValid && c.queue.size == 0 {
		for _, t := range c.sortedTargets {
			freeSlots += t.freeSlots(now)
		}
	}
	if oldest := c.queue.oldestArrival(); !oldest.IsZero() {
		longestWait = now.Sub(oldest)
	}
	return freeSlots, c.queue.size, longestWait
}

// borrowSlots asks peers for the slots that the waiting calls lack. It draws each peer at
// random, weighted by the free slots that the peer last reported, and first from the same
// failure domain. The random choice keeps processes that are full at the same time from all
// asking the same peer. If no peer is known to have free slots, it asks one drawn uniformly,
// at most once in a borrowRetryInterval; that peer lends slots as they become free.
func (c *Core) borrowSlots(now time.Time) {
	for !c.suspended && c.queue.size > c.pendingSlots {
		id, p := c.drawLender()
		n := min(c.queue.size-c.pendingSlots, maxBorrow)
		if p == nil {
			if now.Sub(c.lastBlindBorrow) < borrowRetryInterval {
				return
			}
			if id = c.anyPeer(); id == "" {
				return
			}
			c.lastBlindBorrow = now
		} else {
			n = min(n, p.freeSlots)
			p.freeSlots -= n
		}
		c.pendingSlots += n
		c.emit(Borrow{id, n, now.Sub(c.queue.oldestArrival())})
	}
}

// maxBorrow is the greatest number of slots that one Borrow asks for.
const maxBorrow = 4

// drawLender draws a peer with free slots, weighted by their number, or returns nil if none is
// known to have any.
func (c *Core) drawLender() (string, *peer) {
	for _, sameZone := range []bool{true, false} {
		total := 0
		for _, p := range c.peers {
			if p.sameZone == sameZone {
				total += max(p.freeSlots, 0)
			}
		}
		if total > 0 {
			return c.lenderOfSlot(sameZone, c.rand.IntN(total))
		}
	}
	return "", nil
}

// lenderOfSlot returns the peer that has the n-th of the free slots in the same failure domain,
// or in the others.
func (c *Core) lenderOfSlot(sameZone bool, n int) (string, *peer) {
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if p.sameZone != sameZone {
			continue
		}
		if n -= max(p.freeSlots, 0); n < 0 {
			return id, p
		}
	}
	return "", nil
}

// anyPeer returns the id of a peer drawn uniformly, or "" if there is none.
func (c *Core) anyPeer() string {
	ids := c.peerIDs()
	if len(ids) == 0 {
		return ""
	}
	return ids[c.rand.IntN(len(ids))]
}

// peerIDs returns the ids of the peers in order, so that the same events with the same seed
// lead to the same draws.
func (c *Core) peerIDs() []string {
	ids := make([]string, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
