package pool

import (
	"cmp"
	"slices"
	"time"
)

// AddTarget takes over a target. Out are the permits that its previous owner passed on;
// ghosts are requests that may be running there though nobody can name them, until
// they end or a permit's life has passed.
func (c *Core) AddTarget(now time.Time, addr string, slots int, out []OutstandingPermit, ghosts int) []Action {
	if t := c.targets[addr]; t != nil {
		t.slots = slots
		c.serveWaiting(now)
		return c.takeActions()
	}
	t := &target{addr: addr, slots: slots, permits: map[Key]issued{}}
	if ghosts > 0 {
		t.addOrphans(now, min(ghosts, slots), c.opts.MaxRequestTime)
	}
	for _, h := range out {
		t.permits[h.Key] = issued{h.By, now.Add(h.Left)}
		// A permit may come back to the process that gave it first.
		delete(c.forwards, h.Key)
	}
	c.targets[addr] = t
	c.sortTargets()
	c.serveWaiting(now)
	return c.takeActions()
}

// RemoveTarget gives a target up to the process to and returns the permits that are out,
// with the number of untracked requests.
func (c *Core) RemoveTarget(now time.Time, addr, to string) ([]OutstandingPermit, int) {
	t := c.targets[addr]
	if t == nil {
		return nil, 0
	}
	var out []OutstandingPermit
	for k, h := range t.permits {
		out = append(out, OutstandingPermit{k, h.user, h.expires.Sub(now)})
		if to != "" {
			c.forwards[k] = forward{to, h.expires}
		}
	}
	slices.SortFunc(out, func(a, b OutstandingPermit) int { return cmp.Compare(a.Key.No, b.Key.No) })
	delete(c.targets, addr)
	c.sortTargets()
	return out, t.orphans
}

// SetLeaving says that an owned target is leaving and gets nothing new, or stays after all.
func (c *Core) SetLeaving(now time.Time, addr string, leaving bool) []Action {
	if t := c.targets[addr]; t != nil {
		t.leaving = leaving
	}
	c.serveWaiting(now)
	return c.takeActions()
}

// HandleProbe takes in the answer to a probe of an owned target: whether it is healthy,
// how many requests it has by its own word, or -1, and whether it says it is leaving.
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

// HandleBorrow answers a peer that wants n slots with those that are free; the rest of its
// wish is remembered and met as slots become free.
func (c *Core) HandleBorrow(now time.Time, id string, n int, wait time.Duration) ([]Permit, []Action) {
	p := c.ensurePeer(id)
	p.oldestArrival = now.Add(-wait)
	var got []Permit
	for len(got) < n && c.ownershipValid && c.queue.size == 0 {
		t := c.pickTarget(now, "", id)
		if t == nil {
			break
		}
		got = append(got, c.issuePermit(now, t, id))
	}
	p.wantedSlots = n - len(got)
	return got, c.takeActions()
}

// HandleGrant takes in a peer's answer to an Ask for n slots, or with n = 0 its later offer.
func (c *Core) HandleGrant(now time.Time, id string, n int, permits []Permit, free int) []Action {
	c.pendingSlots = max(0, c.pendingSlots-n)
	c.ensurePeer(id).freeSlots = free
	for _, p := range permits {
		c.usePermit(now, p)
	}
	c.borrowSlots(now)
	return c.takeActions()
}

// usePermit spends a borrowed permit on the first waiting call, or gives it back.
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

// HandleBorrowFailure takes in that a peer didn't answer an Ask for n slots.
func (c *Core) HandleBorrowFailure(now time.Time, id string, n int) []Action {
	return c.HandleGrant(now, id, n, nil, 0)
}

// HandleHeartbeat takes in what a peer tells of itself.
func (c *Core) HandleHeartbeat(now time.Time, id string, free, want int, wait time.Duration) []Action {
	p := c.ensurePeer(id)
	p.freeSlots = free
	p.wantedSlots = min(p.wantedSlots, want)
	p.hasWaiting = want > 0
	p.oldestArrival = now.Add(-wait)
	c.borrowSlots(now)
	return c.takeActions()
}

// AddPeer adds a peer; near says that it is in the same failure domain.
func (c *Core) AddPeer(id string, near bool) {
	c.ensurePeer(id).sameZone = near
}

// RemovePeer forgets a peer that left; the permits that it holds run out by themselves.
func (c *Core) RemovePeer(id string) {
	delete(c.peers, id)
}

func (c *Core) ensurePeer(id string) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{}
		c.peers[id] = p
	}
	return p
}

// Load returns what heartbeats tell the peers: own free slots, waiting calls and the
// longest wait among them.
func (c *Core) Load(now time.Time) (free, want int, wait time.Duration) {
	if c.ownershipValid && c.queue.size == 0 {
		for _, t := range c.sortedTargets {
			free += t.freeSlots(now)
		}
	}
	if at := c.queue.oldestArrival(); !at.IsZero() {
		wait = now.Sub(at)
	}
	return free, c.queue.size, wait
}

// borrowSlots asks peers for the slots that waiting calls lack. Peers are drawn with
// chances by the free slots they last told of, those in the same failure domain
// first, so that processes which are full at the same time don't all ask the same one. When none is known to have any, one
// drawn at random is left with the wish.
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

// maxBorrow is how many slots one message asks for.
const maxBorrow = 4

func (c *Core) drawLender() (string, *peer) {
	for _, near := range []bool{true, false} {
		total := 0
		for _, p := range c.peers {
			if p.sameZone == near {
				total += max(p.freeSlots, 0)
			}
		}
		if total > 0 {
			return c.lenderOfSlot(near, c.rand.IntN(total))
		}
	}
	return "", nil
}

// lenderOfSlot returns the peer to whom the n-th free slot belongs.
func (c *Core) lenderOfSlot(near bool, n int) (string, *peer) {
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if p.sameZone != near {
			continue
		}
		if n -= max(p.freeSlots, 0); n < 0 {
			return id, p
		}
	}
	return "", nil
}

func (c *Core) anyPeer() string {
	ids := c.peerIDs()
	if len(ids) == 0 {
		return ""
	}
	return ids[c.rand.IntN(len(ids))]
}

// peerIDs returns the peers in order, so that the same events lead to the same draws.
func (c *Core) peerIDs() []string {
	ids := make([]string, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
