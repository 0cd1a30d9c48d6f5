package pool

import (
	"cmp"
	"slices"
	"time"
)

// Own takes over a target. Out are the permits that its previous owner passed on;
// ghosts are requests that may be running there though nobody can name them, until
// they end or a permit's life has passed.
func (c *Core) Own(now time.Time, addr string, slots int, out []Held, ghosts int) []Action {
	if t := c.targets[addr]; t != nil {
		t.slots = slots
		c.serve(now)
		return c.take()
	}
	t := &target{addr: addr, slots: slots, out: map[Key]held{}}
	if ghosts > 0 {
		t.haunt(now, min(ghosts, slots), c.o.Life)
	}
	for _, h := range out {
		t.out[h.Key] = held{h.By, now.Add(h.Left)}
		// A permit may come back to the process that gave it first.
		delete(c.moved, h.Key)
	}
	c.targets[addr] = t
	c.sortTargets()
	c.serve(now)
	return c.take()
}

// Disown gives a target up to the process to and returns the permits that are out,
// with the number of untracked requests.
func (c *Core) Disown(now time.Time, addr, to string) ([]Held, int) {
	t := c.targets[addr]
	if t == nil {
		return nil, 0
	}
	var out []Held
	for k, h := range t.out {
		out = append(out, Held{k, h.by, h.until.Sub(now)})
		if to != "" {
			c.moved[k] = forward{to, h.until}
		}
	}
	slices.SortFunc(out, func(a, b Held) int { return cmp.Compare(a.Key.No, b.Key.No) })
	delete(c.targets, addr)
	c.sortTargets()
	return out, t.ghosts
}

// SetLeaving says that an owned target is leaving and gets nothing new, or stays after all.
func (c *Core) SetLeaving(now time.Time, addr string, leaving bool) []Action {
	if t := c.targets[addr]; t != nil {
		t.leaving = leaving
	}
	c.serve(now)
	return c.take()
}

// Probed takes in the answer to a probe of an owned target: whether it is healthy,
// how many requests it has by its own word, or -1, and whether it says it is leaving.
func (c *Core) Probed(now time.Time, addr string, healthy bool, load int, leaving bool) []Action {
	t := c.targets[addr]
	if t == nil {
		return nil
	}
	t.heed(load)
	t.said = healthy && leaving
	if !healthy && now.Before(t.ejected) {
		t.ejected = now.Add(t.backoff)
	}
	c.serve(now)
	return c.take()
}

// Asked answers a peer that wants n slots with those that are free; the rest of its
// wish is remembered and met as slots become free.
func (c *Core) Asked(now time.Time, id string, n int, wait time.Duration) ([]Permit, []Action) {
	p := c.peer(id)
	p.came = now.Add(-wait)
	var got []Permit
	for len(got) < n && c.lawful && c.queue.size == 0 {
		t := c.pick(now, "", id)
		if t == nil {
			break
		}
		got = append(got, c.issue(now, t, id))
	}
	p.want = n - len(got)
	return got, c.take()
}

// Granted takes in a peer's answer to an Ask for n slots, or with n = 0 its later offer.
func (c *Core) Granted(now time.Time, id string, n int, permits []Permit, free int) []Action {
	c.asked = max(0, c.asked-n)
	c.peer(id).free = free
	for _, p := range permits {
		c.use(now, p)
	}
	c.borrow(now)
	return c.take()
}

// use spends a borrowed permit on the first waiting call, or gives it back.
func (c *Core) use(now time.Time, p Permit) {
	for !c.still && now.Before(p.Until) {
		call, ok := c.queue.pop()
		if !ok {
			break
		}
		if c.late(now, call) {
			continue
		}
		c.send(call, p)
		return
	}
	c.emit(Free{p.Key.Owner, p.Key, p.Target, Result{Outcome: OutcomeNever, Load: -1}})
}

// AskFailed takes in that a peer didn't answer an Ask for n slots.
func (c *Core) AskFailed(now time.Time, id string, n int) []Action {
	return c.Granted(now, id, n, nil, 0)
}

// Heard takes in what a peer tells of itself.
func (c *Core) Heard(now time.Time, id string, free, want int, wait time.Duration) []Action {
	p := c.peer(id)
	p.free = free
	p.want = min(p.want, want)
	p.wait = want > 0
	p.came = now.Add(-wait)
	c.borrow(now)
	return c.take()
}

// Meet adds a peer; near says that it is in the same failure domain.
func (c *Core) Meet(id string, near bool) {
	c.peer(id).near = near
}

// Gone forgets a peer that left; the permits that it holds run out by themselves.
func (c *Core) Gone(id string) {
	delete(c.peers, id)
}

func (c *Core) peer(id string) *peer {
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
	if c.lawful && c.queue.size == 0 {
		for _, t := range c.order {
			free += t.free(now)
		}
	}
	if at := c.queue.oldest(); !at.IsZero() {
		wait = now.Sub(at)
	}
	return free, c.queue.size, wait
}

// borrow asks peers for the slots that waiting calls lack. Peers are drawn with
// chances by the free slots they last told of, those in the same failure domain
// first, so that processes which are full at the same time don't all ask the same one. When none is known to have any, one
// drawn at random is left with the wish.
func (c *Core) borrow(now time.Time) {
	for !c.still && c.queue.size > c.asked {
		id, p := c.draw()
		n := min(c.queue.size-c.asked, maxAsk)
		if p == nil {
			if now.Sub(c.askedAt) < askAgain {
				return
			}
			if id = c.any(); id == "" {
				return
			}
			c.askedAt = now
		} else {
			n = min(n, p.free)
			p.free -= n
		}
		c.asked += n
		c.emit(Ask{id, n, now.Sub(c.queue.oldest())})
	}
}

// maxAsk is how many slots one message asks for.
const maxAsk = 4

func (c *Core) draw() (string, *peer) {
	for _, near := range []bool{true, false} {
		total := 0
		for _, p := range c.peers {
			if p.near == near {
				total += max(p.free, 0)
			}
		}
		if total > 0 {
			return c.at(near, c.rand.IntN(total))
		}
	}
	return "", nil
}

// at returns the peer to whom the n-th free slot belongs.
func (c *Core) at(near bool, n int) (string, *peer) {
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if p.near != near {
			continue
		}
		if n -= max(p.free, 0); n < 0 {
			return id, p
		}
	}
	return "", nil
}

func (c *Core) any() string {
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
