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

// RefusedError reports that a call got no slot. Its request hasn't been sent to any target.
type RefusedError struct {
	Reason     pool.Reason
	RetryAfter time.Duration // after which the caller should try again
}

// Error implements the error interface.
func (r *RefusedError) Error() string { return "broker: refused: " + string(r.Reason) }

// Options configures a Broker. All fields but Seed are required.
type Options struct {
	Service        string
	Group          *member.Group                         // entry processes, of which this process is a member
	Links          *link.Set                             // connections to peers
	RPCTimeout     time.Duration                         // of one call to a peer
	OwnershipValid func() bool                           // whether this process may use and lend the slots of its targets
	Authorized     func() bool                           // whether this process may send requests at all, also with borrowed slots
	Owner          func(target string) string            // returns the owner of a target by the latest assignment table
	Probe          func(target string) (bool, int, bool) // returns whether the target is healthy, its reported load or -1, and whether it is leaving
	Log            logr.Logger
	Seed           uint64 // of the core's random numbers
}

// Broker assigns slots to the calls of one service in one process. Run has to be called to
// keep it working.
type Broker struct {
	opts Options

	mu             sync.Mutex // guards the fields below, but not wake and wg
	core           *pool.Core
	lastCall       uint64                        // id of the latest call
	waiting        map[uint64]chan decision      // calls that wait for their decision, by id
	borrowed       map[pool.Key]borrowedPermit   // permits issued by other processes that are in use here
	pendingAsks    map[string][]chan pool.Permit // asks whose reply is delayed until a slot is free, by peer
	earlyReturns   map[string]map[pool.Key]bool  // permits returned while their target was being taken over, by target
	claims         map[string]uint64             // targets that are being taken over, with the epochs of their assignments
	epochs         map[string]uint64             // highest known epoch of each target's assignments
	probing        map[string]bool               // owned targets with a probe under way
	wake           chan struct{}                 // wakes Run when the first call is queued
	ownershipValid bool                          // as last set in the core
	suspended      bool                          // as last set in the core
	ended          bool                          // Run waits for what is under way, and nothing more is started
	wg             sync.WaitGroup                // RPCs, probes and claims under way
}

// borrowedPermit is a permit issued by another process that is in use here.
type borrowedPermit struct {
	target  string
	expires time.Time
}

// decision is the core's decision on a call.
type decision struct {
	permit  pool.Permit   // if the call was not refused
	refusal *RefusedError // or nil
}

// New returns a broker that owns no target.
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
		ownershipValid: true, // as in a new core
	}
}

const (
	busyTick          = 5 * time.Millisecond   // tick interval while calls wait
	idleTick          = 50 * time.Millisecond  // tick interval while none does
	probeInterval     = 250 * time.Millisecond // between two probes of a target
	maxReplyDelay     = 100 * time.Millisecond // how long the owner delays the reply to an ask until a slot is free
	pendingAskTimeout = 5 * time.Millisecond   // after which an unanswered ask no longer keeps the borrower from asking others
	returnAttempts    = 3                      // attempts to return a permit to its owner
)

// Run ticks the core and probes targets until ctx ends, and then waits for the RPCs, probes and
// claims under way.
func (b *Broker) Run(ctx context.Context) {
	t := time.NewTimer(busyTick)
	defer t.Stop()
	p := time.NewTicker(probeInterval)
	defer p.Stop()
	for {
		select {
		case <-ctx.Done():
			b.mu.Lock()
			b.ended = true
			b.mu.Unlock()
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

// tick does the work that is due by time and returns the time until the next tick.
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

// recheckPermissions updates in the core whether this process may use its targets and whether
// it may send requests. The caller holds b.mu.
func (b *Broker) recheckPermissions(now time.Time) {
	if valid := b.opts.OwnershipValid(); valid != b.ownershipValid {
		b.ownershipValid = valid
		b.execute(b.core.SetOwnershipValid(now, valid))
	}
	if suspended := !b.opts.Authorized(); suspended != b.suspended {
		b.suspended = suspended
		b.execute(b.core.SetSuspended(now, suspended))
	}
}

// RecheckPermissions updates at once, without waiting for the next tick, whether this process may
// use its targets and whether it may send requests.
func (b *Broker) RecheckPermissions() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recheckPermissions(time.Now())
}

// Acquire waits for a slot for the call and returns its permit. The error is a *RefusedError or
// wraps that of ctx.
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
	case d := <-ch: // decided before b.mu was locked
		if d.refusal == nil {
			b.release(d.permit, pool.Result{Outcome: pool.OutcomeNotSent, Load: -1})
		}
	default:
		b.core.CancelCall(c.ID)
	}
	return pool.Permit{}, errors.Wrap(ctx.Err(), "broker: wait for a slot")
}

// result returns the permit or the refusal of the decision.
func (d decision) result() (pool.Permit, error) {
	if d.refusal != nil {
		return pool.Permit{}, d.refusal
	}
	return d.permit, nil
}

// Release ends the use of a permit, with the result of the request sent with it.
func (b *Broker) Release(p pool.Permit, r pool.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(p, r)
}

// release is Release for a caller that holds b.mu.
func (b *Broker) release(p pool.Permit, r pool.Result) {
	delete(b.borrowed, p.Key)
	b.execute(b.core.HandleResult(time.Now(), p, r))
}

// IssuedHere reports whether this process issued the permit for a target that it owned.
func (b *Broker) IssuedHere(p pool.Permit) bool {
	return p.Key.Owner == b.core.Self()
}

// execute executes the actions of the core. The caller holds b.mu.
func (b *Broker) execute(actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.Send:
			b.deliverPermit(a)
		case pool.Refuse:
			b.deliverRefusal(a)
		case pool.Borrow:
			b.start(func() { b.borrow(a) })
		case pool.Lend:
			b.lend(a)
		case pool.Return:
			b.start(func() { b.returnPermit(a) })
		}
	}
}

// start runs f beside the caller, unless Run has ended: a request that outlives the process's services may still release its
// permit, which its owner then finds as an orphan. The caller holds b.mu.
func (b *Broker) start(f func()) {
	if !b.ended {
		b.wg.Go(f)
	}
}

// deliverPermit passes the permit of a Send to the waiting call.
func (b *Broker) deliverPermit(a pool.Send) {
	if a.Permit.Key.Owner != b.core.Self() {
		b.borrowed[a.Permit.Key] = borrowedPermit{a.Permit.Target, a.Permit.Until}
	}
	ch := b.waiting[a.Call.ID]
	delete(b.waiting, a.Call.ID)
	if ch == nil { // the caller has gone since the core's last event
		b.release(a.Permit, pool.Result{Outcome: pool.OutcomeNotSent, Load: -1})
		return
	}
	ch <- decision{permit: a.Permit}
}

// deliverRefusal passes a Refuse to the waiting call.
func (b *Broker) deliverRefusal(a pool.Refuse) {
	if ch := b.waiting[a.Call.ID]; ch != nil {
		delete(b.waiting, a.Call.ID)
		ch <- decision{refusal: &RefusedError{a.Reason, a.RetryAfter}}
	}
}

// borrow asks the peer of a Borrow for slots with the RPC Peer.Ask. The lifetimes of the granted
// permits count from before the RPC was sent.
func (b *Broker) borrow(a pool.Borrow) {
	m, ok := b.opts.Group.View().Get(a.Peer)
	if !ok {
		b.handleEvent(func(now time.Time) []pool.Action { return b.core.HandleBorrowFailure(now, a.Peer, a.Slots) })
		return
	}
	sent := time.Now()
	// An ask whose reply is delayed counts as answered without a permit, so that
	// other peers are asked. Permits that the reply grants later are used in addition.
	pendingTimer := time.AfterFunc(pendingAskTimeout, func() {
		b.handleEvent(func(now time.Time) []pool.Action { return b.core.HandleGrant(now, a.Peer, a.Slots, nil, 0) })
	})
	ctx, cancel := context.WithTimeout(context.Background(), maxReplyDelay+b.opts.RPCTimeout)
	defer cancel()
	rep, err := link.Call[AskArgs, AskReply](ctx, b.opts.Links.Get(m.Addr), "Peer.Ask",
		AskArgs{b.opts.Service, b.core.Self(), a.Slots, a.LongestWait})
	pending := 0
	if pendingTimer.Stop() {
		pending = a.Slots
	}
	b.handleEvent(func(now time.Time) []pool.Action {
		if err != nil {
			return b.core.HandleBorrowFailure(now, a.Peer, pending)
		}
		return b.core.HandleGrant(now, a.Peer, pending, permitsFrom(a.Peer, sent, rep), rep.Free)
	})
}

// permitsFrom returns the permits granted in the reply to an ask that was sent at a time.
func permitsFrom(owner string, sent time.Time, rep AskReply) []pool.Permit {
	permits := make([]pool.Permit, 0, len(rep.Permits))
	for _, g := range rep.Permits {
		permits = append(permits, pool.Permit{Key: pool.Key{Owner: owner, No: g.No}, Target: g.Target, Until: sent.Add(g.Life)})
	}
	return permits
}

// handleEvent calls the handler with b.mu locked and executes the actions that it returns.
func (b *Broker) handleEvent(handler func(time.Time) []pool.Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.execute(handler(time.Now()))
}

// HandleAsk handles the RPC Peer.Ask, by which a peer borrows slots. If no slot is free it
// delays the reply by up to maxReplyDelay.
func (b *Broker) HandleAsk(in AskArgs) AskReply {
	b.mu.Lock()
	permits, actions := b.core.HandleBorrow(time.Now(), in.By, in.N, in.Wait)
	b.execute(actions)
	if len(permits) > 0 {
		defer b.mu.Unlock()
		return b.newAskReply(permits)
	}
	ch := make(chan pool.Permit, 1)
	b.pendingAsks[in.By] = append(b.pendingAsks[in.By], ch)
	b.mu.Unlock()
	t := time.NewTimer(maxReplyDelay)
	defer t.Stop()
	select {
	case p := <-ch:
		permits = append(permits, p)
	case <-t.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removePendingAsk(in.By, ch)
	select {
	case p := <-ch:
		permits = append(permits, p)
	default:
	}
	return b.newAskReply(permits)
}

// newAskReply returns the reply that grants the permits. The caller holds b.mu.
func (b *Broker) newAskReply(permits []pool.Permit) AskReply {
	free, _, _ := b.core.Load(time.Now())
	rep := AskReply{Free: free}
	for _, p := range permits {
		rep.Permits = append(rep.Permits, Grant{p.Key.No, p.Target, b.core.PermitLifetime()})
	}
	return rep
}

// removePendingAsk removes the ask with the channel, if no permit was sent to it. The caller
// holds b.mu.
func (b *Broker) removePendingAsk(peer string, ch chan pool.Permit) {
	asks := b.pendingAsks[peer]
	for i, c := range asks {
		if c == ch {
			b.pendingAsks[peer] = append(asks[:i:i], asks[i+1:]...)
		}
	}
	if len(b.pendingAsks[peer]) == 0 {
		delete(b.pendingAsks, peer)
	}
}

// lend grants permits to the pending asks of a peer, and takes back those for which there is no
// ask any more. They aren't sent in RPCs of their own: the lifetime of such a permit would start
// when the peer reads it, possibly long after a pause of the peer. The lifetime of a permit in a
// reply starts when the peer asked.
func (b *Broker) lend(a pool.Lend) {
	for _, p := range a.Permits {
		asks := b.pendingAsks[a.Peer]
		if len(asks) > 0 {
			b.pendingAsks[a.Peer] = asks[1:]
			asks[0] <- p
			continue
		}
		now := time.Now()
		b.execute(b.core.HandleHeartbeat(now, a.Peer, 0, 0, 0))
		b.execute(b.core.HandleReturn(now, p.Key, p.Target, pool.Result{Outcome: pool.OutcomeNotSent, Load: -1}))
	}
}

// returnPermit returns a permit with the RPC Peer.Free to the process named in the Return or, if
// that has left, to the owner of the target by the latest assignment table. If no attempt
// succeeds, the permit ends when it expires.
func (b *Broker) returnPermit(a pool.Return) {
	for range returnAttempts {
		owner := a.Peer
		if _, ok := b.opts.Group.View().Get(owner); !ok {
			owner = b.opts.Owner(a.Target)
		}
		m, ok := b.opts.Group.View().Get(owner)
		if !ok {
			return
		}
		if owner == b.core.Self() {
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

// HandleFree handles the RPC Peer.Free, by which a peer returns a permit.
func (b *Broker) HandleFree(in FreeArgs) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, claimed := b.claims[in.Target]; claimed {
		// The list of outstanding permits from the former owner may be on its way and
		// still contain this permit.
		if b.earlyReturns[in.Target] == nil {
			b.earlyReturns[in.Target] = map[pool.Key]bool{}
		}
		b.earlyReturns[in.Target][in.Key] = true
	}
	b.execute(b.core.HandleReturn(time.Now(), in.Key, in.Target, in.Result))
}

// Load returns the load of the service in this process, for the heartbeats.
func (b *Broker) Load() member.ServiceLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	free, waiting, longestWait := b.core.Load(time.Now())
	return member.ServiceLoad{Free: free, Want: waiting, Wait: longestWait}
}

// HandleHeartbeat handles the load of the service that a peer's heartbeat reports.
func (b *Broker) HandleHeartbeat(id string, l member.ServiceLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.execute(b.core.HandleHeartbeat(time.Now(), id, l.Free, l.Want, l.Wait))
}

// SetView updates the peers when the view of the membership changes from old to view.
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

// SetLimits changes the longest time of a request, the longest wait for a slot and the number of
// permits of one target that one peer may have at once.
func (b *Broker) SetLimits(maxRequestTime, maxWait time.Duration, maxPerBorrower int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetLimits(maxRequestTime, maxWait, maxPerBorrower)
}

// SetLeaving sets whether an owned target is leaving and gets no new requests.
func (b *Broker) SetLeaving(target string, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.execute(b.core.SetLeaving(time.Now(), target, leaving))
}

// Targets returns the owned targets in order of address.
func (b *Broker) Targets() []pool.OwnedTarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Targets(time.Now())
}

// QueueLen returns the number of calls that wait for a slot in this process.
func (b *Broker) QueueLen() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.QueueLen()
}

// probeTargets starts a probe of each owned target that is ejected, is leaving or may have
// orphans.
func (b *Broker) probeTargets() {
	for _, t := range b.Targets() {
		if !t.Ejected && !t.Leaving && t.Ghosts == 0 {
			continue
		}
		b.mu.Lock()
		underWay := b.probing[t.Addr]
		b.probing[t.Addr] = true
		b.mu.Unlock()
		if underWay {
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
