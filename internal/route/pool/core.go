package pool

import (
	"math/rand/v2"
	"time"
)

// Options configures a Core. Self is required.
type Options struct {
	Self           string        // id of the process that the core decides for
	MaxRequestTime time.Duration // longest time that a request runs at a target; a permit lives several times as long
	MaxWait        time.Duration // longest time that a call waits for a slot
	Seed           uint64        // of the random numbers
	MaxPerBorrower int           // number of permits of one target that one peer may have at once; 0 means no limit
}

const (
	defaultMaxRequestTime = 10 * time.Second
	defaultMaxWait        = 500 * time.Millisecond
	rateWindow            = 100 * time.Millisecond // window over which the drain rate is measured
	rateWeight            = 0.3                    // weight of the latest window in the measured drain rate
	borrowRetryInterval   = 5 * time.Millisecond   // between two Borrow actions to peers without known free slots
	minRetryAfter         = 50 * time.Millisecond  // least RetryAfter of a refusal, before its random part
	permitLifeFactor      = 3                      // lifetime of a permit in multiples of MaxRequestTime, so that it serves several calls
	peerWaitMargin        = 2 * time.Millisecond   // how much longer a peer's call must have waited than a local one to be served first
)

// Core decides on the slots of one service in one process. It isn't safe for concurrent use.
type Core struct {
	opts            Options
	rand            *rand.Rand
	targets         map[string]*target // owned targets by address
	sortedTargets   []*target          // owned targets in order of address
	forwards        map[Key]forward    // outstanding permits of targets that have another owner now
	peers           map[string]*peer   // by process id
	queue           queue              // calls that wait for a slot
	pendingSlots    int                // slots asked of peers that haven't answered yet
	lastBlindBorrow time.Time          // when slots were last asked of a peer without known free slots
	lastPermit      uint64             // number of the permit issued last
	ownershipValid  bool               // whether the owned targets may be used and lent
	suspended       bool               // whether this process must send nothing
	slowLimit       time.Duration      // average latency above which a target counts as slow

	avgLatency   time.Duration // moving average over the successful requests sent from here
	measuredRate float64       // calls a second that leave the queue or are sent at once, as a moving average
	sentInWindow int           // calls sent since windowStart
	windowStart  time.Time     // start of the current rate window
	saturated    bool          // whether calls waited at the end of the last rate window
	actions      []Action      // decided in the current event
}

// forward says where to forward the return of an outstanding permit.
type forward struct {
	owner   string    // process that took over the permit's target
	expires time.Time // when the permit expires
}

// peer is what this process knows of another entry process.
type peer struct {
	sameZone      bool      // whether it is in this process's failure domain
	freeSlots     int       // last reported free slots, less those asked of it since
	wantedSlots   int       // slots that it has asked for and not received
	hasWaiting    bool      // whether calls wait there, by its last heartbeat
	oldestArrival time.Time // arrival of its longest waiting call, by this process's clock
}

// New returns a core that owns no target.
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

// takeActions returns the actions of the current event and clears them.
func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// emit adds an action to those of the current event.
func (c *Core) emit(a Action) {
	c.actions = append(c.actions, a)
}

// Self returns the id of the process that the core decides for.
func (c *Core) Self() string { return c.opts.Self }

// PermitLifetime returns the time from issuing a permit until it expires.
func (c *Core) PermitLifetime() time.Duration { return permitLifeFactor * c.opts.MaxRequestTime }

// SetLimits changes MaxRequestTime, MaxWait and MaxPerBorrower of the Options.
func (c *Core) SetLimits(maxRequestTime, maxWait time.Duration, maxPerBorrower int) {
	c.opts.MaxRequestTime, c.opts.MaxWait, c.opts.MaxPerBorrower = maxRequestTime, maxWait, maxPerBorrower
}

// SetOwnershipValid sets whether this process may use and lend the slots of its targets.
func (c *Core) SetOwnershipValid(now time.Time, valid bool) []Action {
	c.ownershipValid = valid
	c.serveWaiting(now)
	return c.takeActions()
}

// SetSuspended sets whether this process is suspended: it then sends no requests, not even
// with slots borrowed from its peers, and borrows none.
func (c *Core) SetSuspended(now time.Time, suspended bool) []Action {
	c.suspended = suspended
	c.serveWaiting(now)
	c.borrowSlots(now)
	return c.takeActions()
}

// HandleCall handles the arrival of a call, which is sent, queued or refused at once.
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

// freeOwnedTarget returns an owned target with a free slot for a local call, or nil.
func (c *Core) freeOwnedTarget(now time.Time, avoid string) *target {
	if !c.ownershipValid || c.suspended {
		return nil
	}
	return c.pickTarget(now, avoid, c.opts.Self)
}

// admit queues the call if it can be served in time, and otherwise refuses it at once
// instead of at its deadline. Only the calls ahead of it count, so a call that is more urgent
// or whose team has less than its share of the queue is admitted to a full queue, and the
// call that would be served last is refused in its place.
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

// canServeInTime reports whether the call can be served in time even if it waits three times
// as long as estimated. The drain rate fluctuates, so without this margin a call is often
// admitted and refused after it has waited.
func (c *Core) canServeInTime(now time.Time, call Call) bool {
	wait := c.drainTime(c.queue.countAhead(call.Priority, call.Team))
	return now.Add(wait + 2*wait).Before(c.latestStart(call))
}

// latestStart returns when the call has to leave the queue at the latest: for an average
// request to end by the call's deadline, and for the call to wait no longer than MaxWait.
func (c *Core) latestStart(call Call) time.Time {
	byDeadline := call.Deadline.Add(-c.avgLatency)
	byWait := call.Arrived.Add(c.opts.MaxWait)
	if byDeadline.Before(byWait) {
		return byDeadline
	}
	return byWait
}

// drainTime returns the estimated time until n queued calls have been sent.
func (c *Core) drainTime(n int) time.Duration {
	rate := c.drainRate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// drainRate returns how many calls a second can leave the queue. Below saturation the
// measured rate only shows how many calls arrived, so the rate that the owned slots
// can serve is used if it is higher.
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

// shedCalls refuses the calls that would be served last until the queue drains within MaxWait.
func (c *Core) shedCalls(now time.Time) {
	for c.queue.size > 0 && c.drainTime(c.queue.size-1) > c.opts.MaxWait {
		call, _ := c.queue.popLast()
		c.refuse(now, call, ReasonOverloaded)
	}
}

// refuseLate refuses the queued calls that can no longer be answered in time.
func (c *Core) refuseLate(now time.Time) {
	for _, call := range c.queue.removeMatching(func(call Call) bool { return !now.Before(c.latestStart(call)) }) {
		c.refuse(now, call, ReasonOverloaded)
	}
}

// refuse refuses the call, with a random part in RetryAfter to spread the retries.
func (c *Core) refuse(now time.Time, call Call, reason Reason) {
	retryAfter := c.drainTime(c.queue.size)
	retryAfter = max(retryAfter, minRetryAfter)
	retryAfter += time.Duration(c.rand.Float64() * float64(retryAfter))
	if !now.Before(call.Deadline) {
		reason = ReasonDeadline
	}
	c.emit(Refuse{call, reason, retryAfter})
}

// CancelCall removes a waiting call whose caller has gone.
func (c *Core) CancelCall(id uint64) {
	c.queue.remove(id)
}

// issuePermit issues a permit for one of the target's slots to the process user.
func (c *Core) issuePermit(now time.Time, t *target, user string) Permit {
	c.lastPermit++
	p := Permit{Key{c.opts.Self, c.lastPermit}, t.addr, now.Add(permitLifeFactor * c.opts.MaxRequestTime)}
	t.permits[p.Key] = issued{user, p.Until}
	return p
}

// sendCall sends the call with the permit and counts it for the drain rate.
func (c *Core) sendCall(call Call, p Permit) {
	c.sentInWindow++
	c.emit(Send{call, p})
}

// serveWaiting gives free slots to the calls that have waited longest, here or at peers.
func (c *Core) serveWaiting(now time.Time) {
	if !c.ownershipValid || c.suspended {
		return
	}
	for {
		call, hasLocal := c.queue.peek()
		id, waitingPeer := c.longestWaitingPeer()
		if !hasLocal && waitingPeer == nil {
			return
		}
		user := c.opts.Self
		if !hasLocal || waitingPeer != nil && waitingPeer.oldestArrival.Add(peerWaitMargin).Before(call.Arrived) {
			user = id
		}
		t := c.pickTarget(now, call.AvoidTarget, user)
		if t == nil {
			return
		}
		if user == c.opts.Self {
			c.queue.pop()
			if c.refuseIfExpired(now, call) {
				continue
			}
			c.sendCall(call, c.issuePermit(now, t, c.opts.Self))
			continue
		}
		waitingPeer.wantedSlots--
		c.emit(Lend{id, []Permit{c.issuePermit(now, t, id)}})
	}
}

// refuseIfExpired refuses a call whose deadline has passed while it waited, and reports
// whether it did.
func (c *Core) refuseIfExpired(now time.Time, call Call) bool {
	if now.Before(call.Deadline) {
		return false
	}
	c.refuse(now, call, ReasonDeadline)
	return true
}

// longestWaitingPeer returns the peer with the longest waiting call among the peers that
// want slots, or nil.
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

// HandleResult handles the result of a request that was sent from here with the permit.
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

// reusePermit uses a borrowed permit that has just served a call for the next one, unless
// a call at the permit's owner has waited longer. It reports whether it did. If the permit
// were returned instead, its slot would be idle for the time of the return and of the next
// grant: with 95 % of the slots in use and 20 ms a request the queue would not drain.
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

// updateLatency adds the latency of a request to the moving average over all targets.
func (c *Core) updateLatency(took time.Duration) {
	if c.avgLatency == 0 {
		c.avgLatency = took
		return
	}
	c.avgLatency += time.Duration(latencyWeight * float64(took-c.avgLatency))
}

// releasePermit ends a permit of an owned target, or returns a borrowed permit to its owner.
func (c *Core) releasePermit(now time.Time, k Key, addr string, r Result) {
	if !c.endPermit(now, k, addr, r) && k.Owner != c.opts.Self {
		c.emit(Return{k.Owner, k, addr, r})
	}
}

// endPermit ends a permit of an owned target, or forwards its return to the process that
// took the target over. It reports whether the permit was known.
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

// HandleReturn handles a peer's report that a permit of a target that is or was owned here
// is no longer in use.
func (c *Core) HandleReturn(now time.Time, k Key, addr string, r Result) []Action {
	c.endPermit(now, k, addr, r)
	c.serveWaiting(now)
	return c.takeActions()
}

// Tick does the work that depends on the time alone, such as expiry. It has to be called
// every few milliseconds while calls wait.
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

// expirePermits ends the target's expired permits and orphans. By then the sender of the
// request has given it up; a sender that died or was cut off never returns its permit.
func (c *Core) expirePermits(now time.Time, t *target) {
	for k, p := range t.permits {
		if now.After(p.expires) {
			delete(t.permits, k)
		}
	}
	if t.orphans > 0 && now.After(t.orphansUntil) {
		t.orphans = 0
	}
}

// updateDrainRate updates the measured drain rate and the slow limit at the end of each rate window.
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

// OwnedTarget is the state of a target that this process owns.
type OwnedTarget struct {
	Addr    string
	Slots   int
	Out     int  // number of outstanding permits
	Ghosts  int  // number of orphans: requests that may still run there though no process tracks them
	Leaving bool // by the host list, an operator or the target's own report
	Ejected bool // whether it gets no requests after failures
}

// Targets returns the owned targets in order of address.
func (c *Core) Targets(now time.Time) []OwnedTarget {
	var rows []OwnedTarget
	for _, t := range c.sortedTargets {
		rows = append(rows, OwnedTarget{t.addr, t.slots, len(t.permits), t.orphans, t.leaving || t.reportedLeaving, now.Before(t.ejectedUntil)})
	}
	return rows
}

// QueueLen returns the number of calls that wait for a slot in this process.
func (c *Core) QueueLen() int {
	return c.queue.size
}
