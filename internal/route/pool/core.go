package pool

import (
	"math/rand/v2"
	"time"
)

// Options says how a Core decides; Self is needed.
type Options struct {
	Self string
	Life time.Duration // longest that a request runs at a target; a permit lives several times that
	Wait time.Duration // longest that a request waits for a slot
	Seed uint64
	Most int // permits of one target that one peer has at once; 0 means no limit
}

const (
	defaultLife = 10 * time.Second
	defaultWait = 500 * time.Millisecond
	rateStep    = 100 * time.Millisecond // over which the drain rate is measured
	rateWeight  = 0.3
	askAgain    = 5 * time.Millisecond // how long an unmet ask is left with one peer
	minAfter    = 50 * time.Millisecond
	lives       = 3                    // a permit's life, as a multiple of a request's, so that it serves several
	ownFirst    = 2 * time.Millisecond // how much longer a peer's call must have waited to go before an own one
)

// Core is the decision core of one service at one process; it isn't safe for concurrent use.
type Core struct {
	o       Options
	rand    *rand.Rand
	targets map[string]*target
	order   []*target
	moved   map[Key]forward // permits of targets that went to another owner
	peers   map[string]*peer
	queue   queue
	asked   int // slots asked for and not yet answered
	askedAt time.Time
	next    uint64
	lawful  bool
	still   bool
	slow    time.Duration

	took      time.Duration // moving average over all requests sent from here
	rate      float64       // calls a second that leave the queue
	sent      int
	stepAt    time.Time
	saturated bool
	out       []Action
}

type forward struct {
	to    string
	until time.Time
}

type peer struct {
	near bool
	free int
	want int
	wait bool      // calls wait there
	came time.Time // when its oldest waiting call came, by this process's clock
}

// New returns a core that owns nothing yet.
func New(o Options) *Core {
	if o.Life <= 0 {
		o.Life = defaultLife
	}
	if o.Wait <= 0 {
		o.Wait = defaultWait
	}
	return &Core{
		o:       o,
		rand:    rand.New(rand.NewPCG(o.Seed, 1)),
		targets: map[string]*target{},
		moved:   map[Key]forward{},
		peers:   map[string]*peer{},
		lawful:  true,
	}
}

// take returns the actions since the last event.
func (c *Core) take() []Action {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) emit(a Action) {
	c.out = append(c.out, a)
}

// Self returns the id of the process that the core decides for.
func (c *Core) Self() string { return c.o.Self }

// Life returns how long a permit lives.
func (c *Core) Life() time.Duration { return lives * c.o.Life }

// SetLimits changes the longest run, the longest wait and the permits of one target
// that one peer has at once.
func (c *Core) SetLimits(life, wait time.Duration, most int) {
	c.o.Life, c.o.Wait, c.o.Most = life, wait, most
}

// SetLawful tells whether this process may still use and lend what it owns.
func (c *Core) SetLawful(now time.Time, lawful bool) []Action {
	c.lawful = lawful
	c.serve(now)
	return c.take()
}

// SetStill tells whether this process has to stand still: it sends nothing then, not even
// to slots of its peers.
func (c *Core) SetStill(now time.Time, still bool) []Action {
	c.still = still
	c.serve(now)
	c.borrow(now)
	return c.take()
}

// Arrive takes in a call: it is sent, queued or refused at once.
func (c *Core) Arrive(now time.Time, call Call) []Action {
	if c.queue.size == 0 {
		if t := c.own(now, call.Avoid); t != nil {
			c.send(call, c.issue(now, t, c.o.Self))
			return c.take()
		}
	}
	c.admit(now, call)
	c.serve(now)
	c.borrow(now)
	return c.take()
}

func (c *Core) own(now time.Time, avoid string) *target {
	if !c.lawful || c.still {
		return nil
	}
	return c.pick(now, avoid, c.o.Self)
}

// admit queues the call if it can be served in time. When it can't, but its team
// has less than its share of the queue or it is more urgent, the call served last
// makes room; it is refused at once, not at its deadline.
func (c *Core) admit(now time.Time, call Call) {
	if len(c.order) == 0 && len(c.peers) == 0 {
		c.refuse(now, call, ReasonEmpty)
		return
	}
	if !c.fits(now, call) {
		c.refuse(now, call, ReasonBusy)
		return
	}
	c.queue.push(call)
	c.shed(now)
}

// fits reports whether the call can be served in time, with some to spare: the drain
// rate wavers, and a call that just fits now is often refused after it has waited.
func (c *Core) fits(now time.Time, call Call) bool {
	wait := c.estimate(c.queue.ahead(call.Prio, call.Team))
	return now.Add(wait + 2*wait).Before(c.latest(call))
}

// latest returns when the call has to leave the queue to be answered in time.
func (c *Core) latest(call Call) time.Time {
	byDeadline := call.Until.Add(-c.took)
	byWait := call.Came.Add(c.o.Wait)
	if byDeadline.Before(byWait) {
		return byDeadline
	}
	return byWait
}

// estimate returns how long a queue of n takes to drain.
func (c *Core) estimate(n int) time.Duration {
	rate := c.drain()
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// drain returns the rate at which calls leave the queue. What is measured below
// saturation is only what arrived, so there the owned slots' own rate counts too.
func (c *Core) drain() float64 {
	if c.saturated || c.took <= 0 {
		return c.rate
	}
	slots := 0
	for _, t := range c.order {
		slots += t.slots
	}
	return max(c.rate, float64(slots)/c.took.Seconds())
}

// shed refuses the calls served last while the queue is longer than its calls can wait.
func (c *Core) shed(now time.Time) {
	for c.queue.size > 0 && c.estimate(c.queue.size-1) > c.o.Wait {
		call, _ := c.queue.last()
		c.refuse(now, call, ReasonBusy)
	}
}

// sweep refuses the calls that can't be answered in time any more.
func (c *Core) sweep(now time.Time) {
	for _, call := range c.queue.pick(func(call Call) bool { return !now.Before(c.latest(call)) }) {
		c.refuse(now, call, ReasonBusy)
	}
}

func (c *Core) refuse(now time.Time, call Call, why Reason) {
	after := c.estimate(c.queue.size)
	after = max(after, minAfter)
	after += time.Duration(c.rand.Float64() * float64(after))
	if !now.Before(call.Until) {
		why = ReasonExpired
	}
	c.emit(Refuse{call, why, after})
}

// Cancel takes out a waiting call whose caller has gone.
func (c *Core) Cancel(id uint64) {
	c.queue.remove(id)
}

// issue makes a permit for one of the target's slots.
func (c *Core) issue(now time.Time, t *target, by string) Permit {
	c.next++
	p := Permit{Key{c.o.Self, c.next}, t.addr, now.Add(lives * c.o.Life)}
	t.out[p.Key] = held{by, p.Until}
	return p
}

func (c *Core) send(call Call, p Permit) {
	c.sent++
	c.emit(Send{call, p})
}

// serve gives free slots to those who have waited longest, here or at peers.
func (c *Core) serve(now time.Time) {
	if !c.lawful || c.still {
		return
	}
	for {
		call, mine := c.queue.peek()
		id, theirs := c.longest()
		if !mine && theirs == nil {
			return
		}
		by := c.o.Self
		if !mine || theirs != nil && theirs.came.Add(ownFirst).Before(call.Came) {
			by = id
		}
		t := c.pick(now, call.Avoid, by)
		if t == nil {
			return
		}
		if by == c.o.Self {
			c.queue.pop()
			if c.late(now, call) {
				continue
			}
			c.send(call, c.issue(now, t, c.o.Self))
			continue
		}
		theirs.want--
		c.emit(Give{id, []Permit{c.issue(now, t, id)}})
	}
}

// late refuses a call whose deadline has passed while it waited.
func (c *Core) late(now time.Time, call Call) bool {
	if now.Before(call.Until) {
		return false
	}
	c.refuse(now, call, ReasonExpired)
	return true
}

// longest returns the peer whose call has waited longest among those that asked.
func (c *Core) longest() (string, *peer) {
	var id string
	var best *peer
	for k, p := range c.peers {
		if p.want <= 0 {
			continue
		}
		if best == nil || p.came.Before(best.came) || p.came.Equal(best.came) && k < id {
			id, best = k, p
		}
	}
	return id, best
}

// Done takes in the result of a request that was sent from here.
func (c *Core) Done(now time.Time, p Permit, r Result) []Action {
	if r.Outcome == OutcomeOK {
		c.learn(r.Took)
		if c.reuse(now, p) {
			return c.take()
		}
	}
	c.release(now, p.Key, p.Target, r)
	c.serve(now)
	c.borrow(now)
	return c.take()
}

// reuse spends a borrowed permit that has just served a call on the next one, when
// no call at its owner has waited longer. Sent back instead, the slot would lie idle
// for the way there and the way of the next permit here: at 95 % of the slots and
// 20 ms a request that is the difference between a queue that drains and one that
// doesn't.
func (c *Core) reuse(now time.Time, p Permit) bool {
	call, ok := c.queue.peek()
	if !ok || c.still || p.Key.Owner == c.o.Self || call.Avoid == p.Target || now.Add(c.o.Life).After(p.Until) {
		return false
	}
	if owner := c.peers[p.Key.Owner]; owner == nil || owner.wait && owner.came.Before(call.Came) {
		return false
	}
	c.queue.pop()
	if c.late(now, call) {
		return false
	}
	c.send(call, p)
	return true
}

func (c *Core) learn(took time.Duration) {
	if c.took == 0 {
		c.took = took
		return
	}
	c.took += time.Duration(tookWeight * float64(took-c.took))
}

// release ends a permit wherever it belongs: here, or with the process that owns the target by now.
func (c *Core) release(now time.Time, k Key, addr string, r Result) {
	if !c.settle(now, k, addr, r) && k.Owner != c.o.Self {
		c.emit(Free{k.Owner, k, addr, r})
	}
}

// settle ends a permit of an owned target, or passes its end on to the process that
// took the target over; it reports whether it knew the permit.
func (c *Core) settle(now time.Time, k Key, addr string, r Result) bool {
	if f, ok := c.moved[k]; ok {
		delete(c.moved, k)
		c.emit(Free{f.to, k, addr, r})
		return true
	}
	t := c.targets[addr]
	if t == nil {
		return false
	}
	if _, ok := t.out[k]; !ok {
		return false
	}
	delete(t.out, k)
	t.ended(now, r, c.o.Life, c.mayEject(now))
	return true
}

// Freed takes in a peer's word that a permit given here, or passed on to here, is done with.
func (c *Core) Freed(now time.Time, k Key, addr string, r Result) []Action {
	c.settle(now, k, addr, r)
	c.serve(now)
	return c.take()
}

// Tick does what is due by time alone; it's called every few milliseconds.
func (c *Core) Tick(now time.Time) []Action {
	c.measure(now)
	for _, t := range c.order {
		c.expire(now, t)
	}
	for k, f := range c.moved {
		if now.After(f.until) {
			delete(c.moved, k)
		}
	}
	c.sweep(now)
	c.shed(now)
	c.serve(now)
	c.borrow(now)
	return c.take()
}

// expire ends the permits and ghosts whose time is over. By then their request has
// ended at its sender; a sender that died or was cut off never says so.
func (c *Core) expire(now time.Time, t *target) {
	for k, h := range t.out {
		if now.After(h.until) {
			delete(t.out, k)
		}
	}
	if t.ghosts > 0 && now.After(t.until) {
		t.ghosts = 0
	}
}

// measure updates the drain rate.
func (c *Core) measure(now time.Time) {
	if c.stepAt.IsZero() {
		c.stepAt = now
		return
	}
	d := now.Sub(c.stepAt)
	if d < rateStep {
		return
	}
	c.rate += rateWeight * (float64(c.sent)/d.Seconds() - c.rate)
	c.sent = 0
	c.stepAt = now
	c.saturated = c.queue.size > 0
	c.learnSlow()
}

// Owned is what a process tells of a target that it owns.
type Owned struct {
	Addr    string
	Slots   int
	Out     int
	Ghosts  int
	Leaving bool // by the host list, an operator or its own word
	Ejected bool
}

// Targets returns the owned targets in order of address.
func (c *Core) Targets(now time.Time) []Owned {
	var rows []Owned
	for _, t := range c.order {
		rows = append(rows, Owned{t.addr, t.slots, len(t.out), t.ghosts, t.leaving || t.said, now.Before(t.ejected)})
	}
	return rows
}

// Queued returns how many calls wait here.
func (c *Core) Queued() int {
	return c.queue.size
}
