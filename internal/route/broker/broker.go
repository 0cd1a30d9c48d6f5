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

// RefusedError says that a call got no slot; the request hasn't been sent anywhere.
type RefusedError struct {
	Reason     pool.Reason
	RetryAfter time.Duration // when it is worth coming back
}

// Error implements error.
func (r *RefusedError) Error() string { return "broker: refused: " + string(r.Reason) }

// Options says how a Broker is set up; all fields but Seed are needed.
type Options struct {
	Service        string
	Group          *member.Group
	Links          *link.Set
	RPCTimeout     time.Duration              // of one call to a peer
	OwnershipValid func() bool                // whether this process may use what it holds
	Authorized     func() bool                // whether it may send at all, also to slots of its peers
	Owner          func(target string) string // who holds a target by the latest table
	Probe          func(target string) (bool, int, bool)
	Log            logr.Logger
	Seed           uint64
}

// Broker serves one service at one process; New makes one and Run keeps it going.
type Broker struct {
	opts Options

	mu             sync.Mutex
	core           *pool.Core
	lastCall       uint64
	waiting        map[uint64]chan decision
	borrowed       map[pool.Key]borrowedPermit   // permits of other owners that are in use here
	pendingAsks    map[string][]chan pool.Permit // asks of peers whose answer is held back
	earlyReturns   map[string]map[pool.Key]bool  // permits freed before their target was taken over
	claims         map[string]uint64             // targets being taken over, with their epochs
	epochs         map[string]uint64             // the highest epoch known of each target
	probing        map[string]bool               // own targets to be probed
	wake           chan struct{}
	ownershipValid bool
	suspended      bool
	wg             sync.WaitGroup
}

type borrowedPermit struct {
	target  string
	expires time.Time
}

type decision struct {
	permit  pool.Permit
	refusal *RefusedError
}

// New returns a broker that holds no target.
func New(o Options) *Broker {
	return &Broker{
		opts:           o,
		core:           pool.New(pool.Options{Self: o.Group.Self().ID, Seed: o.Seed}),
		waiting:        map[uint64]chan decision{},
		borrowed:       map[pool.Key]borrowedPermit{},
		pendingAsks:    map[string][]chan pool.Permit{},
		earlyReturns:   map[string]map[pool.Key]bool{},
		claims:         map[string]uint64{},
		epochs:         map[string]uint64{},
		probing:        map[string]bool{},
		wake:           make(chan struct{}, 1),
		ownershipValid: true, // as the core is at first
	}
}

const (
	busyTick          = 5 * time.Millisecond  // while calls wait
	idleTick          = 50 * time.Millisecond // while none does
	probeInterval     = 250 * time.Millisecond
	maxReplyDelay     = 100 * time.Millisecond // how long an ask waits at its owner
	pendingAskTimeout = 5 * time.Millisecond   // after which a parked ask no longer keeps the asker from asking others
	returnAttempts    = 3
)

// Run does what is due by time until ctx ends, then waits for calls under way.
func (b *Broker) Run(ctx context.Context) {
	t := time.NewTimer(busyTick)
	defer t.Stop()
	p := time.NewTicker(probeInterval)
	defer p.Stop()
	for {
		select {
		case <-ctx.Done():
			b.wg.Wait()
			return
		case <-b.wake:
			t.Reset(busyTick)
		case <-t.C:
			t.Reset(b.tick())
		case <-p.C:
			b.probeTargets()
		}
	}
}

// tick does what is due and returns when to come again.
func (b *Broker) tick() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.recheckPermissions(now)
	b.execute(b.core.Tick(now))
	if b.core.QueueLen() > 0 {
		return busyTick
	}
	return idleTick
}

// recheckPermissions takes in whether this process may use what it holds and whether it may send;
// the lock is held.
func (b *Broker) recheckPermissions(now time.Time) {
	if sure := b.opts.OwnershipValid(); sure != b.ownershipValid {
		b.ownershipValid = sure
		b.execute(b.core.SetOwnershipValid(now, sure))
	}
	if still := !b.opts.Authorized(); still != b.suspended {
		b.suspended = still
		b.execute(b.core.SetSuspended(now, still))
	}
}

// RecheckPermissions takes in at once, and not with the next tick, whether this process may use
// what it holds and whether it may send.
func (b *Broker) RecheckPermissions() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recheckPermissions(time.Now())
}

// Acquire waits for a slot for the call and returns its permit, or *Refused, or ctx's error.
func (b *Broker) Acquire(ctx context.Context, c pool.Call) (pool.Permit, error) {
	ch := make(chan decision, 1)
	b.mu.Lock()
	b.lastCall++
	c.ID = b.lastCall
	b.waiting[c.ID] = ch
	b.execute(b.core.HandleCall(time.Now(), c))
	if b.core.QueueLen() == 1 {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	b.mu.Unlock()
	select {
	case d := <-ch:
		return d.result()
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, c.ID)
	select {
	case d := <-ch: // decided meanwhile
		if d.refusal == nil {
			b.release(d.permit, pool.Result{Outcome: pool.OutcomeNotSent, Load: -1})
		}
	default:
		b.core.CancelCall(c.ID)
	}
	return pool.Permit{}, errors.Wrap(ctx.Err(), "broker")
}

func (d decision) result() (pool.Permit, error) {
	if d.refusal != nil {
		return pool.Permit{}, d.refusal
	}
	return d.permit, nil
}

// Release ends the use of a permit.
func (b *Broker) Release(p pool.Permit, r pool.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(p, r)
}

// release ends the use of a permit; the lock is held.
func (b *Broker) release(p pool.Permit, r pool.Result) {
	delete(b.borrowed, p.Key)
	b.execute(b.core.HandleResult(time.Now(), p, r))
}

// IssuedHere reports whether this process owns the permit's target.
func (b *Broker) IssuedHere(p pool.Permit) bool {
	return p.Key.Owner == b.core.Self()
}

// execute carries out the core's actions; the lock is held.
func (b *Broker) execute(actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.Send:
			b.deliverPermit(a)
		case pool.Refuse:
			b.deliverRefusal(a)
		case pool.Borrow:
			b.wg.Go(func() { b.borrow(a) })
		case pool.Lend:
			b.lend(a)
		case pool.Return:
			b.wg.Go(func() { b.returnPermit(a) })
		}
	}
}

func (b *Broker) deliverPermit(a pool.Send) {
	if a.Permit.Key.Owner != b.core.Self() {
		b.borrowed[a.Permit.Key] = borrowedPermit{a.Permit.Target, a.Permit.Until}
	}
	ch := b.waiting[a.Call.ID]
	delete(b.waiting, a.Call.ID)
	if ch == nil { // its caller went away between two events
		b.release(a.Permit, pool.Result{Outcome: pool.OutcomeNotSent, Load: -1})
		return
	}
	ch <- decision{permit: a.Permit}
}

func (b *Broker) deliverRefusal(a pool.Refuse) {
	if ch := b.waiting[a.Call.ID]; ch != nil {
		delete(b.waiting, a.Call.ID)
		ch <- decision{refusal: &RefusedError{a.Reason, a.RetryAfter}}
	}
}

// borrow carries an Ask to its peer. Its permits live from before it was sent.
func (b *Broker) borrow(a pool.Borrow) {
	m, ok := b.opts.Group.View().Get(a.Peer)
	if !ok {
		b.handleEvent(func(now time.Time) []pool.Action { return b.core.HandleBorrowFailure(now, a.Peer, a.Slots) })
		return
	}
	sent := time.Now()
	// An ask that its owner holds back counts as answered with nothing, so that others
	// are asked; what it brings in the end is on top.
	early := time.AfterFunc(pendingAskTimeout, func() {
		b.handleEvent(func(now time.Time) []pool.Action { return b.core.HandleGrant(now, a.Peer, a.Slots, nil, 0) })
	})
	ctx, cancel := context.WithTimeout(context.Background(), maxReplyDelay+b.opts.RPCTimeout)
	defer cancel()
	rep, err := link.Call[AskArgs, AskReply](ctx, b.opts.Links.Get(m.Addr), "Peer.Ask",
		AskArgs{b.opts.Service, b.core.Self(), a.Slots, a.LongestWait})
	n := 0
	if early.Stop() {
		n = a.Slots
	}
	b.handleEvent(func(now time.Time) []pool.Action {
		if err != nil {
			return b.core.HandleBorrowFailure(now, a.Peer, n)
		}
		return b.core.HandleGrant(now, a.Peer, n, permitsFrom(a.Peer, sent, rep), rep.Free)
	})
}

// permitsFrom reads the grants of an answer to an ask that was sent at a time.
func permitsFrom(owner string, sent time.Time, rep AskReply) []pool.Permit {
	list := make([]pool.Permit, 0, len(rep.Permits))
	for _, g := range rep.Permits {
		list = append(list, pool.Permit{Key: pool.Key{Owner: owner, No: g.No}, Target: g.Target, Until: sent.Add(g.Life)})
	}
	return list
}

func (b *Broker) handleEvent(f func(time.Time) []pool.Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.execute(f(time.Now()))
}

// HandleAsk answers a peer's HandleAsk, holding the answer back for a moment when no slot is free.
func (b *Broker) HandleAsk(in AskArgs) AskReply {
	b.mu.Lock()
	got, actions := b.core.HandleBorrow(time.Now(), in.By, in.N, in.Wait)
	b.execute(actions)
	if len(got) > 0 {
		defer b.mu.Unlock()
		return b.newAskReply(got)
	}
	ch := make(chan pool.Permit, 1)
	b.pendingAsks[in.By] = append(b.pendingAsks[in.By], ch)
	b.mu.Unlock()
	t := time.NewTimer(maxReplyDelay)
	defer t.Stop()
	select {
	case p := <-ch:
		got = append(got, p)
	case <-t.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removePendingAsk(in.By, ch)
	select {
	case p := <-ch:
		got = append(got, p)
	default:
	}
	return b.newAskReply(got)
}

func (b *Broker) newAskReply(got []pool.Permit) AskReply {
	free, _, _ := b.core.Load(time.Now())
	rep := AskReply{Free: free}
	for _, p := range got {
		rep.Permits = append(rep.Permits, Grant{p.Key.No, p.Target, b.core.PermitLifetime()})
	}
	return rep
}

func (b *Broker) removePendingAsk(by string, ch chan pool.Permit) {
	list := b.pendingAsks[by]
	for i, c := range list {
		if c == ch {
			b.pendingAsks[by] = append(list[:i:i], list[i+1:]...)
		}
	}
	if len(b.pendingAsks[by]) == 0 {
		delete(b.pendingAsks, by)
	}
}

// lend answers an ask that was held back; when there is none any more the permits
// come back. A permit pushed to a peer by itself would start its life when the peer
// reads it, which may be long after a pause; an answer starts it when the peer asked.
func (b *Broker) lend(a pool.Lend) {
	for _, p := range a.Permits {
		list := b.pendingAsks[a.Peer]
		if len(list) > 0 {
			b.pendingAsks[a.Peer] = list[1:]
			list[0] <- p
			continue
		}
		now := time.Now()
		b.execute(b.core.HandleHeartbeat(now, a.Peer, 0, 0, 0))
		b.execute(b.core.HandleReturn(now, p.Key, p.Target, pool.Result{Outcome: pool.OutcomeNotSent, Load: -1}))
	}
}

// returnPermit tells the owner that a permit is done with, or whoever holds the target since.
// When nobody hears it the permit runs out by itself.
func (b *Broker) returnPermit(a pool.Return) {
	for range returnAttempts {
		to := a.Peer
		if _, ok := b.opts.Group.View().Get(to); !ok {
			to = b.opts.Owner(a.Target)
		}
		m, ok := b.opts.Group.View().Get(to)
		if !ok {
			return
		}
		if to == b.core.Self() {
			b.HandleFree(FreeArgs{b.opts.Service, a.Key, a.Target, a.Result})
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), b.opts.RPCTimeout)
		_, err := link.Call[FreeArgs, bool](ctx, b.opts.Links.Get(m.Addr), "Peer.Free",
			FreeArgs{b.opts.Service, a.Key, a.Target, a.Result})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(b.opts.RPCTimeout / 5)
	}
}

// HandleFree takes in a peer's word that a permit is done with.
func (b *Broker) HandleFree(in FreeArgs) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, claimed := b.claims[in.Target]; claimed {
		// The target is being taken over; its list of permits may be on its way and
		// still name this one.
		if b.earlyReturns[in.Target] == nil {
			b.earlyReturns[in.Target] = map[pool.Key]bool{}
		}
		b.earlyReturns[in.Target][in.Key] = true
	}
	b.execute(b.core.HandleReturn(time.Now(), in.Key, in.Target, in.Result))
}

// Load returns what heartbeats tell of this service here.
func (b *Broker) Load() member.ServiceLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	free, want, wait := b.core.Load(time.Now())
	return member.ServiceLoad{Free: free, Want: want, Wait: wait}
}

// HandleHeartbeat takes in a peer's heartbeat.
func (b *Broker) HandleHeartbeat(id string, l member.ServiceLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.execute(b.core.HandleHeartbeat(time.Now(), id, l.Free, l.Want, l.Wait))
}

// SetView takes in who else there is.
func (b *Broker) SetView(old, view member.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	self := b.opts.Group.Self()
	for _, m := range view.Members() {
		if m.ID != self.ID {
			b.core.AddPeer(m.ID, m.Zone == self.Zone)
		}
	}
	for _, m := range old.Members() {
		if _, ok := view.Get(m.ID); !ok {
			b.core.RemovePeer(m.ID)
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
	b.execute(b.core.SetLeaving(time.Now(), target, leaving))
}

// Targets returns the owned targets.
func (b *Broker) Targets() []pool.OwnedTarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Targets(time.Now())
}

// QueueLen returns how many calls wait here.
func (b *Broker) QueueLen() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.QueueLen()
}

// probeTargets asks the owned targets that are ejected, leaving or may have untracked
// requests how they are.
func (b *Broker) probeTargets() {
	for _, t := range b.Targets() {
		if !t.Ejected && !t.Leaving && t.Ghosts == 0 {
			continue
		}
		b.mu.Lock()
		busy := b.probing[t.Addr]
		b.probing[t.Addr] = true
		b.mu.Unlock()
		if busy {
			continue
		}
		b.wg.Go(func() {
			healthy, load, leaving := b.opts.Probe(t.Addr)
			b.mu.Lock()
			defer b.mu.Unlock()
			delete(b.probing, t.Addr)
			b.execute(b.core.HandleProbe(time.Now(), t.Addr, healthy, load, leaving))
		})
	}
}
