package pool

import (
	"math/rand/v2"
	"time"
)

// Options says how a Core decides; Self is needed.
type Options struct {
	Self           string
	MaxRequestTime time.Duration // longest that a request runs at a target; a permit lives several times that
	MaxWait        time.Duration // longest that a request waits for a slot
	Seed           uint64
	MaxPerBorrower int // permits of one target that one peer has at once; 0 means no limit
}

const (
	defaultMaxRequestTime = 10 * time.Second
	defaultMaxWait        = 500 * time.Millisecond
	rateWindow            = 100 * time.Millisecond // over which the drain rate is measured
	rateWeight            = 0.3
	borrowRetryInterval   = 5 * time.Millisecond // how long an unmet ask is left with one peer
	minRetryAfter         = 50 * time.Millisecond
	permitLifeFactor      = 3                    // a permit's life, as a multiple of a request's, so that it serves several
	peerWaitMargin        = 2 * time.Millisecond // how much longer a peer's call must have waited to go before an own one
)

// Core is the decision core of one service at one process; it isn't safe for concurrent use.
type Core struct {
	opts            Options
	rand            *rand.Rand
	targets         map[string]*target
	sortedTargets   []*target
	forwards        map[Key]forward // permits of targets that went to another owner
	peers           map[string]*peer
	queue           queue
	pendingSlots    int // slots asked for and not yet answered
	lastBlindBorrow time.Time
	lastPermit      uint64
	ownershipValid  bool
	suspended       bool
	slowLimit       time.Duration

	avgLatency   time.Duration // moving average over all requests sent from here
	measuredRate float64       // calls a second that leave the queue
	sentInWindow int
	windowStart  time.Time
	saturated    bool
	actions      []Action
}

type forward struct {
	owner   string
	expires time.Time
}

type peer struct {
	sameZone      bool
	freeSlots     int
	wantedSlots   int
	hasWaiting    bool      // calls wait there
	oldestArrival time.Time // when its oldest waiting call came, by this process's clock
}

// New returns a core that owns nothing yet.
func New(o Options) *Core {
	if o.MaxRequestTime <= 0 {
		o.MaxRequestTime = defaultMaxRequestTime
	}
	if o.MaxWait <= 0 {
		o.MaxWait = defaultMaxWait
	}
	return &Core{
		opts:           o,
		rand:           rand.New(rand.NewPCG(o.Seed, 1)),
		targets:        map[string]*target{},
		forwards:       map[Key]forward{},
		peers:          map[string]*peer{},
		ownershipValid: true,
	}
}

// takeActions returns the actions since the last event.
func (c *Core) takeActions() []Action {
	out := c.actions
	c.actions = nil
	return out
}

func (c *Core) emit(a Action) {
	c.actions = append(c.actions, a)
}

// Self returns the id of the process that the core decides for.
func (c *Core) Self() string { return c.opts.Self }

// PermitLifetime returns how long a permit lives.
func (c *Core) PermitLifetime() time.Duration { return permitLifeFactor * c.opts.MaxRequestTime }

// SetLimits changes the longest run, the longest wait and the permits of one target
// that one peer has at once.
func (c *Core) SetLimits(life, wait time.Duration, most int) {
	c.opts.MaxRequestTime, c.opts.MaxWait, c.opts.MaxPerBorrower = life, wait, most
}

// SetOwnershipValid tells whether this process may still use and lend what it owns.
func (c *Core) SetOwnershipValid(now time.Time, lawful bool) []Action {
	c.ownershipValid = lawful
	c.serveWaiting(now)
	return c.takeActions()
}

// SetSuspended tells whether this process has to stand still: it sends nothing then, not even
// to slots of its peers.
func (c *Core) SetSuspended(now time.Time, still bool) []Action {
	c.suspended = still
	c.serveWaiting(now)
	c.borrowSlots(now)
	return c.takeActions()
}

// HandleCall takes in a call: it is sent, queued or refused at once.
func (c *Core) HandleCall(now time.Time, call Call) []Action {
	if c.queue.size == 0 {
		if t := c.freeOwnedTarget(now, call.AvoidTarget); t != nil {
			c.sendCall(call, c.issuePermit(now, t, c.opts.Self))
			return c.takeActions()
		}
	}
	c.admit(now, call)
	c.serveWaiting(now)
	c.borrowSlots(now)
	return c.takeActions()
}

func (c *Core) freeOwnedTarget(now time.Time, avoid string) *target {
	if !c.ownershipValid || c.suspended {
		return nil
	}
	return c.pickTarget(now, avoid, c.opts.Self)
}

// admit queues the call if it can be served in time. When it can't, but its team
// has less than its share of the queue or it is more urgent, the call served last
// makes room; it is refused at once, not at its deadline.
func (c *Core) admit(now time.Time, call Call) {
	if len(c.sortedTargets) == 0 && len(c.peers) == 0 {
		c.refuse(now, call, ReasonNoTarget)
		return
	}
	if !c.canServeInTime(now, call) {
		c.refuse(now, call, ReasonOverloaded)
		return
	}
	c.queue.push(call)
	c.shedCalls(now)
}

// canServeInTime reports whether the call can be served in time, with some to spare: the drain
// rate wavers, and a call that just canServeInTime now is often refused after it has waited.
func (c *Core) canServeInTime(now time.Time, call Call) bool {
	wait := c.drainTime(c.queue.countAhead(call.Priority, call.Team))
	return now.Add(wait + 2*wait).Before(c.latestStart(call))
}

// latestStart returns when the call has to leave the queue to be answered in time.
func (c *Core) latestStart(call Call) time.Time {
	byDeadline := call.Deadline.Add(-c.avgLatency)
	byWait := call.Arrived.Add(c.opts.MaxWait)
	if byDeadline.Before(byWait) {
		return byDeadline
	}
	return byWait
}

// drainTime returns how long a queue of n takes to drain.
func (c *Core) drainTime(n int) time.Duration {
	rate := c.drainRate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// drainRate returns the rate at which calls leave the queue. What is measured below
// saturation is only what arrived, so there the owned slots' own rate counts too.
func (c *Core) drainRate() float64 {
	if c.saturated || c.avgLatency <= 0 {
		return c.measuredRate
	}
	slots := 0
	for _, t := range c.sortedTargets {
		slots += t.slots
	}
	return max(c.measuredRate, float64(slots)/c.avgLatency.Seconds())
}

// shedCalls refuses the calls served last while the queue is longer than its calls can wait.
func (c *Core) shedCalls(now time.Time) {
	for c.queue.size > 0 && c.drainTime(c.queue.size-1) > c.opts.MaxWait {
		call, _ := c.queue.popLast()
		c.refuse(now, call, ReasonOverloaded)
	}
}

// refuseLate refuses the calls that can't be answered in time any more.
func (c *Core) refuseLate(now time.Time) {
	for _, call := range c.queue.removeMatching(func(call Call) bool { return !now.Before(c.latestStart(call)) }) {
		c.refuse(now, call, ReasonOverloaded)
	}
}

func (c *Core) refuse(now time.Time, call Call, why Reason) {
	after := c.drainTime(c.queue.size)
	after = max(after, minRetryAfter)
	after += time.Duration(c.rand.Float64() * float64(after))
	if !now.Before(call.Deadline) {
		why = ReasonDeadline
	}
	c.emit(Refuse{call, why, after})
}

// CancelCall takes out a waiting call whose caller has gone.
func (c *Core) CancelCall(id uint64) {
	c.queue.remove(id)
}

// issuePermit makes a permit for one of the target's slots.
func (c *Core) issuePermit(now time.Time, t *target, by string) Permit {
	c.lastPermit++
	p := Permit{Key{c.opts.Self, c.lastPermit}, t.addr, now.Add(permitLifeFactor * c.opts.MaxRequestTime)}
	t.permits[p.Key] = issued{by, p.Until}
	return p
}

func (c *Core) sendCall(call Call, p Permit) {
	c.sentInWindow++
	c.emit(Send{call, p})
}

// serveWaiting gives free slots to those who have waited longest, here or at peers.
func (c *Core) serveWaiting(now time.Time) {
	if !c.ownershipValid || c.suspended {
		return
	}
	for {
		call, mine := c.queue.peek()
		id, theirs := c.longestWaitingPeer()
		if !mine && theirs == nil {
			return
		}
		by := c.opts.Self
		if !mine || theirs != nil && theirs.oldestArrival.Add(peerWaitMargin).Before(call.Arrived) {
			by = id
		}
		t := c.pickTarget(now, call.AvoidTarget, by)
		if t == nil {
			return
		}
		if by == c.opts.Self {
			c.queue.pop()
			if c.refuseIfExpired(now, call) {
				continue
			}
			c.sendCall(call, c.issuePermit(now, t, c.opts.Self))
			continue
		}
		theirs.wantedSlots--
		c.emit(Lend{id, []Permit{c.issuePermit(now, t, id)}})
	}
}

// refuseIfExpired refuses a call whose deadline has passed while it waited.
func (c *Core) refuseIfExpired(now time.Time, call Call) bool {
	if now.Before(call.Deadline) {
		return false
	}
	c.refuse(now, call, ReasonDeadline)
	return true
}

// longestWaitingPeer returns the peer whose call has waited longestWaitingPeer among those that asked.
func (c *Core) longestWaitingPeer() (string, *peer) {
	var id string
	var best *peer
	for k, p := range c.peers {
		if p.wantedSlots <= 0 {
			continue
		}
		if best == nil || p.oldestArrival.Before(best.oldestArrival) || p.oldestArrival.Equal(best.oldestArrival) && k < id {
			id, best = k, p
		}
	}
	return id, best
}

// HandleResult takes in the result of a request that was sent from here.
func (c *Core) HandleResult(now time.Time, p Permit, r Result) []Action {
	if r.Outcome == OutcomeOK {
		c.updateLatency(r.Took)
		if c.reusePermit(now, p) {
			return c.takeActions()
		}
	}
	c.releasePermit(now, p.Key, p.Target, r)
	c.serveWaiting(now)
	c.borrowSlots(now)
	return c.takeActions()
}

// reusePermit spends a borrowed permit that has just served a call on the next one, when
// no call at its owner has waited longer. Sent back instead, the slot would lie idle
// for the way there and the way of the next permit here: at 95 % of the slots and
// 20 ms a request that is the difference between a queue that drains and one that
// doesn't.
func (c *Core) reusePermit(now time.Time, p Permit) bool {
	call, ok := c.queue.peek()
	if !ok || c.suspended || p.Key.Owner == c.opts.Self || call.AvoidTarget == p.Target || now.Add(c.opts.MaxRequestTime).After(p.Until) {
		return false
	}
	if owner := c.peers[p.Key.Owner]; owner == nil || owner.hasWaiting && owner.oldestArrival.Before(call.Arrived) {
		return false
	}
	c.queue.pop()
	if c.refuseIfExpired(now, call) {
		return false
	}
	c.sendCall(call, p)
	return true
}

func (c *Core) updateLatency(took time.Duration) {
	if c.avgLatency == 0 {
		c.avgLatency = took
		return
	}
	c.avgLatency += time.Duration(latencyWeight * float64(took-c.avgLatency))
}

// releasePermit ends a permit wherever it belongs: here, or with the process that owns the target by now.
func (c *Core) releasePermit(now time.Time, k Key, addr string, r Result) {
	if !c.endPermit(now, k, addr, r) && k.Owner != c.opts.Self {
		c.emit(Return{k.Owner, k, addr, r})
	}
}

// endPermit ends a permit of an owned target, or passes its end on to the process that
// took the target over; it reports whether it knew the permit.
func (c *Core) endPermit(now time.Time, k Key, addr string, r Result) bool {
	if f, ok := c.forwards[k]; ok {
		delete(c.forwards, k)
		c.emit(Return{f.owner, k, addr, r})
		return true
	}
	t := c.targets[addr]
	if t == nil {
		return false
	}
	if _, ok := t.permits[k]; !ok {
		return false
	}
	delete(t.permits, k)
	t.recordResult(now, r, c.opts.MaxRequestTime, c.mayEject(now))
	return true
}

// HandleReturn takes in a peer's word that a permit given here, or passed on to here, is done with.
func (c *Core) HandleReturn(now time.Time, k Key, addr string, r Result) []Action {
	c.endPermit(now, k, addr, r)
	c.serveWaiting(now)
	return c.takeActions()
}

// Tick does what is due by time alone; it's called every few milliseconds.
func (c *Core) Tick(now time.Time) []Action {
	c.updateDrainRate(now)
	for _, t := range c.sortedTargets {
		c.expirePermits(now, t)
	}
	for k, f := range c.forwards {
		if now.After(f.expires) {
			delete(c.forwards, k)
		}
	}
	c.refuseLate(now)
	c.shedCalls(now)
	c.serveWaiting(now)
	c.borrowSlots(now)
	return c.takeActions()
}

// expirePermits ends the permits and ghosts whose time is over. By then their request has
// ended at its sender; a sender that died or was cut off never says so.
func (c *Core) expirePermits(now time.Time, t *target) {
	for k, h := range t.permits {
		if now.After(h.expires) {
			delete(t.permits, k)
		}
	}
	if t.orphans > 0 && now.After(t.orphansUntil) {
		t.orphans = 0
	}
}

// updateDrainRate updates the drain rate.
func (c *Core) updateDrainRate(now time.Time) {
	if c.windowStart.IsZero() {
		c.windowStart = now
		return
	}
	d := now.Sub(c.windowStart)
	if d < rateWindow {
		return
	}
	c.measuredRate += rateWeight * (float64(c.sentInWindow)/d.Seconds() - c.measuredRate)
	c.sentInWindow = 0
	c.windowStart = now
	c.saturated = c.queue.size > 0
	c.updateSlowLimit()
}

// OwnedTarget is what a process tells of a target that it owns.
type OwnedTarget struct {
	Addr    string
	Slots   int
	Out     int
	Ghosts  int
	Leaving bool // by the host list, an operator or its own word
	Ejected bool
}

// Targets returns the owned targets in order of address.
func (c *Core) Targets(now time.Time) []OwnedTarget {
	var rows []OwnedTarget
	for _, t := range c.sortedTargets {
		rows = append(rows, OwnedTarget{t.addr, t.slots, len(t.permits), t.orphans, t.leaving || t.reportedLeaving, now.Before(t.ejectedUntil)})
	}
	return rows
}

// QueueLen returns how many calls wait here.
func (c *Core) QueueLen() int {
	return c.queue.size
}
