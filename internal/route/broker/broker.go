package broker

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/route/pool"
)

// Refused says that a call got no slot; the request hasn't been sent anywhere.
type Refused struct {
	Why   pool.Reason
	After time.Duration // when it is worth coming back
}

// Error implements error.
func (r *Refused) Error() string { return "broker: refused: " + string(r.Why) }

// Options says how a Broker is set up; all fields but Seed are needed.
type Options struct {
	Service string
	Group   *member.Group
	Links   *link.Set
	Timeout time.Duration              // of one call to a peer
	Sure    func() bool                // whether this process may use what it holds
	Lawful  func() bool                // whether it may send at all, also to slots of its peers
	Holder  func(target string) string // who holds a target by the latest table
	Probe   func(target string) (bool, int, bool)
	Log     logr.Logger
	Seed    uint64
}

// Broker serves one service at one process; New makes one and Run keeps it going.
type Broker struct {
	o Options

	mu      sync.Mutex
	core    *pool.Core
	next    uint64
	waiting map[uint64]chan decision
	using   map[pool.Key]used             // permits of other owners that are in use here
	parked  map[string][]chan pool.Permit // asks of peers whose answer is held back
	early   map[string]map[pool.Key]bool  // permits freed before their target was taken over
	claims  map[string]uint64             // targets being taken over, with their epochs
	epochs  map[string]uint64             // the highest epoch known of each target
	down    map[string]bool               // own targets to be probed
	queued  chan struct{}
	lawful  bool
	still   bool
	wg      sync.WaitGroup
}

type used struct {
	target string
	until  time.Time
}

type decision struct {
	permit pool.Permit
	refuse *Refused
}

// New returns a broker that holds no target.
func New(o Options) *Broker {
	return &Broker{
		o:       o,
		core:    pool.New(pool.Options{Self: o.Group.Self().ID, Seed: o.Seed}),
		waiting: map[uint64]chan decision{},
		using:   map[pool.Key]used{},
		parked:  map[string][]chan pool.Permit{},
		early:   map[string]map[pool.Key]bool{},
		claims:  map[string]uint64{},
		epochs:  map[string]uint64{},
		down:    map[string]bool{},
		queued:  make(chan struct{}, 1),
		lawful:  true, // as the core is at first
	}
}

const (
	tick        = 5 * time.Millisecond  // while calls wait
	idleTick    = 50 * time.Millisecond // while none does
	probeEvery  = 250 * time.Millisecond
	parkFor     = 100 * time.Millisecond // how long an ask waits at its owner
	askPatience = 5 * time.Millisecond   // after which a parked ask no longer keeps the asker from asking others
	freeTries   = 3
)

// Run does what is due by time until ctx ends, then waits for calls under way.
func (b *Broker) Run(ctx context.Context) {
	t := time.NewTimer(tick)
	defer t.Stop()
	p := time.NewTicker(probeEvery)
	defer p.Stop()
	for {
		select {
		case <-ctx.Done():
			b.wg.Wait()
			return
		case <-b.queued:
			t.Reset(tick)
		case <-t.C:
			t.Reset(b.tick())
		case <-p.C:
			b.probe()
		}
	}
}

// tick does what is due and returns when to come again.
func (b *Broker) tick() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.recheck(now)
	b.do(b.core.Tick(now))
	if b.core.Queued() > 0 {
		return tick
	}
	return idleTick
}

// recheck takes in whether this process may use what it holds and whether it may send;
// the lock is held.
func (b *Broker) recheck(now time.Time) {
	if sure := b.o.Sure(); sure != b.lawful {
		b.lawful = sure
		b.do(b.core.SetLawful(now, sure))
	}
	if still := !b.o.Lawful(); still != b.still {
		b.still = still
		b.do(b.core.SetStill(now, still))
	}
}

// Recheck takes in at once, and not with the next tick, whether this process may use
// what it holds and whether it may send.
func (b *Broker) Recheck() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recheck(time.Now())
}

// Acquire waits for a slot for the call and returns its permit, or *Refused, or ctx's error.
func (b *Broker) Acquire(ctx context.Context, c pool.Call) (pool.Permit, error) {
	ch := make(chan decision, 1)
	b.mu.Lock()
	b.next++
	c.ID = b.next
	b.waiting[c.ID] = ch
	b.do(b.core.Arrive(time.Now(), c))
	if b.core.Queued() == 1 {
		select {
		case b.queued <- struct{}{}:
		default:
		}
	}
	b.mu.Unlock()
	select {
	case d := <-ch:
		return d.outcome()
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, c.ID)
	select {
	case d := <-ch: // decided meanwhile
		if d.refuse == nil {
			b.end(d.permit, pool.Result{Outcome: pool.OutcomeNever, Load: -1})
		}
	default:
		b.core.Cancel(c.ID)
	}
	return pool.Permit{}, errors.Wrap(ctx.Err(), "broker")
}

func (d decision) outcome() (pool.Permit, error) {
	if d.refuse != nil {
		return pool.Permit{}, d.refuse
	}
	return d.permit, nil
}

// Release ends the use of a permit.
func (b *Broker) Release(p pool.Permit, r pool.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(p, r)
}

// end ends the use of a permit; the lock is held.
func (b *Broker) end(p pool.Permit, r pool.Result) {
	delete(b.using, p.Key)
	b.do(b.core.Done(time.Now(), p, r))
}

// Own reports whether this process owns the permit's target.
func (b *Broker) Own(p pool.Permit) bool {
	return p.Key.Owner == b.core.Self()
}

// do carries out the core's actions; the lock is held.
func (b *Broker) do(actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.Send:
			b.decide(a)
		case pool.Refuse:
			b.refuse(a)
		case pool.Ask:
			b.wg.Go(func() { b.ask(a) })
		case pool.Give:
			b.give(a)
		case pool.Free:
			b.wg.Go(func() { b.free(a) })
		}
	}
}

func (b *Broker) decide(a pool.Send) {
	if a.Permit.Key.Owner != b.core.Self() {
		b.using[a.Permit.Key] = used{a.Permit.Target, a.Permit.Until}
	}
	ch := b.waiting[a.Call.ID]
	delete(b.waiting, a.Call.ID)
	if ch == nil { // its caller went away between two events
		b.end(a.Permit, pool.Result{Outcome: pool.OutcomeNever, Load: -1})
		return
	}
	ch <- decision{permit: a.Permit}
}

func (b *Broker) refuse(a pool.Refuse) {
	if ch := b.waiting[a.Call.ID]; ch != nil {
		delete(b.waiting, a.Call.ID)
		ch <- decision{refuse: &Refused{a.Why, a.After}}
	}
}

// ask carries an Ask to its peer. Its permits live from before it was sent.
func (b *Broker) ask(a pool.Ask) {
	m, ok := b.o.Group.View().Get(a.Peer)
	if !ok {
		b.granted(func(now time.Time) []pool.Action { return b.core.AskFailed(now, a.Peer, a.N) })
		return
	}
	sent := time.Now()
	// An ask that its owner holds back counts as answered with nothing, so that others
	// are asked; what it brings in the end is on top.
	early := time.AfterFunc(askPatience, func() {
		b.granted(func(now time.Time) []pool.Action { return b.core.Granted(now, a.Peer, a.N, nil, 0) })
	})
	ctx, cancel := context.WithTimeout(context.Background(), parkFor+b.o.Timeout)
	defer cancel()
	rep, err := link.Call[AskArgs, AskReply](ctx, b.o.Links.Get(m.Addr), "Peer.Ask",
		AskArgs{b.o.Service, b.core.Self(), a.N, a.Wait})
	n := 0
	if early.Stop() {
		n = a.N
	}
	b.granted(func(now time.Time) []pool.Action {
		if err != nil {
			return b.core.AskFailed(now, a.Peer, n)
		}
		return b.core.Granted(now, a.Peer, n, permits(a.Peer, sent, rep), rep.Free)
	})
}

// permits reads the grants of an answer to an ask that was sent at a time.
func permits(owner string, sent time.Time, rep AskReply) []pool.Permit {
	list := make([]pool.Permit, 0, len(rep.Permits))
	for _, g := range rep.Permits {
		list = append(list, pool.Permit{Key: pool.Key{Owner: owner, No: g.No}, Target: g.Target, Until: sent.Add(g.Life)})
	}
	return list
}

func (b *Broker) granted(f func(time.Time) []pool.Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.do(f(time.Now()))
}

// Ask answers a peer's Ask, holding the answer back for a moment when no slot is free.
func (b *Broker) Ask(in AskArgs) AskReply {
	b.mu.Lock()
	got, actions := b.core.Asked(time.Now(), in.By, in.N, in.Wait)
	b.do(actions)
	if len(got) > 0 {
		defer b.mu.Unlock()
		return b.reply(got)
	}
	ch := make(chan pool.Permit, 1)
	b.parked[in.By] = append(b.parked[in.By], ch)
	b.mu.Unlock()
	t := time.NewTimer(parkFor)
	defer t.Stop()
	select {
	case p := <-ch:
		got = append(got, p)
	case <-t.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unpark(in.By, ch)
	select {
	case p := <-ch:
		got = append(got, p)
	default:
	}
	return b.reply(got)
}

func (b *Broker) reply(got []pool.Permit) AskReply {
	free, _, _ := b.core.Load(time.Now())
	rep := AskReply{Free: free}
	for _, p := range got {
		rep.Permits = append(rep.Permits, Grant{p.Key.No, p.Target, b.core.Life()})
	}
	return rep
}

func (b *Broker) unpark(by string, ch chan pool.Permit) {
	list := b.parked[by]
	for i, c := range list {
		if c == ch {
			b.parked[by] = append(list[:i:i], list[i+1:]...)
		}
	}
	if len(b.parked[by]) == 0 {
		delete(b.parked, by)
	}
}

// give answers an ask that was held back; when there is none any more the permits
// come back. A permit pushed to a peer by itself would start its life when the peer
// reads it, which may be long after a pause; an answer starts it when the peer asked.
func (b *Broker) give(a pool.Give) {
	for _, p := range a.Permits {
		list := b.parked[a.Peer]
		if len(list) > 0 {
			b.parked[a.Peer] = list[1:]
			list[0] <- p
			continue
		}
		now := time.Now()
		b.do(b.core.Heard(now, a.Peer, 0, 0, 0))
		b.do(b.core.Freed(now, p.Key, p.Target, pool.Result{Outcome: pool.OutcomeNever, Load: -1}))
	}
}

// free tells the owner that a permit is done with, or whoever holds the target since.
// When nobody hears it the permit runs out by itself.
func (b *Broker) free(a pool.Free) {
	for range freeTries {
		to := a.Peer
		if _, ok := b.o.Group.View().Get(to); !ok {
			to = b.o.Holder(a.Target)
		}
		m, ok := b.o.Group.View().Get(to)
		if !ok {
			return
		}
		if to == b.core.Self() {
			b.Free(FreeArgs{b.o.Service, a.Key, a.Target, a.Result})
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), b.o.Timeout)
		_, err := link.Call[FreeArgs, bool](ctx, b.o.Links.Get(m.Addr), "Peer.Free",
			FreeArgs{b.o.Service, a.Key, a.Target, a.Result})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(b.o.Timeout / 5)
	}
}

// Free takes in a peer's word that a permit is done with.
func (b *Broker) Free(in FreeArgs) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, claimed := b.claims[in.Target]; claimed {
		// The target is being taken over; its list of permits may be on its way and
		// still name this one.
		if b.early[in.Target] == nil {
			b.early[in.Target] = map[pool.Key]bool{}
		}
		b.early[in.Target][in.Key] = true
	}
	b.do(b.core.Freed(time.Now(), in.Key, in.Target, in.Result))
}

// Load returns what heartbeats tell of this service here.
func (b *Broker) Load() member.ServiceLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	free, want, wait := b.core.Load(time.Now())
	return member.ServiceLoad{Free: free, Want: want, Wait: wait}
}

// Heard takes in a peer's heartbeat.
func (b *Broker) Heard(id string, l member.ServiceLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.do(b.core.Heard(time.Now(), id, l.Free, l.Want, l.Wait))
}

// SetView takes in who else there is.
func (b *Broker) SetView(old, view member.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	self := b.o.Group.Self()
	for _, m := range view.Members() {
		if m.ID != self.ID {
			b.core.Meet(m.ID, m.Zone == self.Zone)
		}
	}
	for _, m := range old.Members() {
		if _, ok := view.Get(m.ID); !ok {
			b.core.Gone(m.ID)
		}
	}
}

// SetLimits changes the service's limits.
func (b *Broker) SetLimits(life, wait time.Duration, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetLimits(life, wait, most)
}

// SetLeaving says that an owned target gets nothing new, or may again.
func (b *Broker) SetLeaving(target string, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.do(b.core.SetLeaving(time.Now(), target, leaving))
}

// Targets returns the owned targets.
func (b *Broker) Targets() []pool.Owned {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Targets(time.Now())
}

// Queued returns how many calls wait here.
func (b *Broker) Queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Queued()
}

// probe asks the owned targets that are ejected, leaving or may have untracked
// requests how they are.
func (b *Broker) probe() {
	for _, t := range b.Targets() {
		if !t.Ejected && !t.Leaving && t.Ghosts == 0 {
			continue
		}
		b.mu.Lock()
		busy := b.down[t.Addr]
		b.down[t.Addr] = true
		b.mu.Unlock()
		if busy {
			continue
		}
		b.wg.Go(func() {
			healthy, load, leaving := b.o.Probe(t.Addr)
			b.mu.Lock()
			defer b.mu.Unlock()
			delete(b.down, t.Addr)
			b.do(b.core.Probed(time.Now(), t.Addr, healthy, load, leaving))
		})
	}
}
