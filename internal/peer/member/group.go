package member

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// Options configures a Group. The functions may be nil; Run needs all other fields.
type Options struct {
	Self              Member // this process
	Store             store.Store
	Links             *link.Set     // links to the peers; those to addresses of no member are closed
	LeaseTTL          time.Duration // time to live of the membership's lease in the store
	WatchTimeout      time.Duration // longest wait of one watch of the store
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration // of one heartbeat call
	Log               logr.Logger
	OnViewChange      func(View)                                   // called with each new view, one call at a time
	OnJoin            func()                                       // called after each join; before it, other members may have taken over
	CurrentLoad       func() map[string]ServiceLoad                // returns the load, by service, that heartbeats report of this process
	OnPeerLoad        func(id string, load map[string]ServiceLoad) // called with the load from each heartbeat of a peer
}

// ServiceLoad is the load of one service that a process reports to its peers.
type ServiceLoad struct {
	Free int           // free slots among those that the process owns
	Want int           // requests waiting for a slot
	Wait time.Duration // how long the oldest of them has waited
}

// Heartbeat is the message of a heartbeat call and of its answer.
type Heartbeat struct {
	ID    string                 // of the sender
	Epoch uint64                 // of the sender's view
	Away  bool                   // the sender's own store calls fail
	Load  map[string]ServiceLoad // of the sender, by service
}

// Group is this process's membership in the group of entry processes. Run maintains it.
type Group struct {
	opts Options

	mu                sync.Mutex // guards the fields below
	view              View
	leaseID           string               // lease in the store; empty: none is open
	keyHeld           bool                 // this process's key is bound to the lease
	joinedAt          time.Time            // when this process last joined
	self              Member               // this process in its present state
	authorizedUntil   time.Time            // end of the authorization by the store's lease, on the monotonic clock
	storeUnreachable  bool                 // the last store call failed
	lastHeard         map[string]time.Time // when a heartbeat last came from each peer, by id
	peersWithoutStore map[string]bool      // peers whose last heartbeat said that their store calls fail, by id
	renewWake         chan struct{}        // wakes the renewal loop; capacity 1

	abandoned bool // Run leaves the lease open at its end
}

// New returns a group that hasn't joined yet.
func New(o Options) *Group {
	return &Group{opts: o, self: o.Self, lastHeard: map[string]time.Time{}, peersWithoutStore: map[string]bool{}, renewWake: make(chan struct{}, 1)}
}

// View returns the latest view that was read from the store.
func (g *Group) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

// ReadView reads the membership from the store. The result may be newer than View.
func (g *Group) ReadView(ctx context.Context) (View, error) {
	listing, err := g.opts.Store.List(ctx, keyPrefix, 0, 0)
	if err != nil {
		return View{}, err
	}
	return decodeView(listing), nil
}

// Self returns this process as a member, in its present state.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// isUp reports whether a heartbeat or its answer came from the peer within peerTimeout. The
// caller holds the lock.
func (g *Group) isUp(id string, now time.Time) bool {
	at, ok := g.lastHeard[id]
	return ok && now.Sub(at) < g.peerTimeout()
}

// peerTimeout returns how long a peer counts as up after its last heartbeat.
func (g *Group) peerTimeout() time.Duration {
	return max(4*g.opts.HeartbeatInterval, 2*g.opts.HeartbeatTimeout)
}

// Authorized reports whether this process may act on what it holds.
//
// It guards against a process that was paused or disconnected while others took over
// what it held: both sides would then use the same slots. Under the store's lease, the
// process stops acting a margin before the store lets any other process take over.
// While the store is unreachable for all, nothing can be taken over, so the process may
// continue to act. To tell that from being disconnected alone, it requires a quorum: a
// majority of the view, this process included, is up, and none of these peers reaches the
// store either.
func (g *Group) Authorized() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Before(g.authorizedUntil) {
		return true
	}
	if !g.storeUnreachable || !g.keyHeld {
		return false
	}
	confirming := 1
	for _, m := range g.view.members {
		if m.ID == g.self.ID || !g.isUp(m.ID, now) {
			continue
		}
		if !g.peersWithoutStore[m.ID] {
			return false
		}
		confirming++
	}
	return 2*confirming > len(g.view.members)
}

// Run maintains the membership until ctx ends, and then closes the lease.
func (g *Group) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){g.renewLoop, g.watchLoop, g.heartbeatLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
	}
	wg.Wait()
	g.closeLease()
}

// SetState sets the state that the peers see of this process. It is written with the next
// renewal, which is started at once.
func (g *Group) SetState(s State) {
	g.mu.Lock()
	g.self.State = s
	g.mu.Unlock()
	g.wakeRenewal()
}

// wakeRenewal makes the renewal loop renew at once.
func (g *Group) wakeRenewal() {
	select {
	case g.renewWake <- struct{}{}:
	default:
	}
}

// renewLoop renews the lease every third of its TTL, and after a failure every tenth of it. It
// joins again if the lease has expired.
func (g *Group) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		delay := g.opts.LeaseTTL / 3
		if err := g.renewMembership(ctx); err != nil && ctx.Err() == nil {
			g.opts.Log.V(0).Info("membership not renewed", "err", err.Error())
			delay = g.opts.LeaseTTL / 10
		}
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-g.renewWake:
		case <-t.C:
		}
		t.Stop()
	}
}

// renewMembership opens the lease or renews it, and writes this process's key if necessary. If
// the lease has expired, it joins again under a new one.
func (g *Group) renewMembership(ctx context.Context) error {
	g.mu.Lock()
	lease, self := g.leaseID, g.self
	g.mu.Unlock()
	sent := time.Now()
	var err error
	if lease == "" {
		lease, err = g.opts.Store.OpenLease(ctx, g.opts.LeaseTTL)
	} else {
		err = g.opts.Store.RenewLease(ctx, lease)
	}
	if errors.Is(err, store.ErrLeaseNotFound) {
		g.mu.Lock()
		g.leaseID, g.keyHeld, g.authorizedUntil = "", false, time.Time{}
		g.mu.Unlock()
		return g.renewMembership(ctx)
	}
	if err == nil {
		g.mu.Lock()
		// Keep the lease even if writing the key fails: the write may have taken effect with
		// its answer lost, and the key is then bound to this lease.
		g.leaseID = lease
		g.mu.Unlock()
		err = g.writeKey(ctx, lease, self)
	}
	g.mu.Lock()
	g.storeUnreachable = err != nil
	joined := err == nil && !g.keyHeld
	if err == nil {
		g.keyHeld = true
		// The TTL counts from before the renewal was sent, less a margin for clocks that
		// run at different rates.
		g.authorizedUntil = sent.Add(g.opts.LeaseTTL - g.opts.LeaseTTL/10)
	}
	if joined {
		g.joinedAt = time.Now()
	}
	g.mu.Unlock()
	if joined && g.opts.OnJoin != nil {
		g.opts.OnJoin()
	}
	return err
}

// JoinedAt returns when this process last joined. What it knew before that about what it holds
// may be out of date.
func (g *Group) JoinedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.joinedAt
}

// writeKey writes this process's key under the lease unless the view shows it there with
// the same contents.
//
// A key that the view shows under another lease is left from an earlier membership: it is
// deleted already or will be when that lease expires, and other members then take over
// what this process holds.
func (g *Group) writeKey(ctx context.Context, lease string, self Member) error {
	if v := g.View(); v.leaseIDs[self.ID] == lease {
		if m, ok := v.Get(self.ID); ok && m == self {
			return nil
		}
	}
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "member")
	}
	return g.opts.Store.Acquire(ctx, lease, keyPrefix+self.ID, value)
}

// watchLoop watches the members' keys in the store and applies each new view.
func (g *Group) watchLoop(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		listing, err := g.opts.Store.List(ctx, keyPrefix, after, g.opts.WatchTimeout)
		if err != nil {
			g.markStoreUnreachable(ctx)
			wait.For(ctx, g.opts.LeaseTTL/10)
			continue
		}
		after = listing.Rev
		g.applyView(decodeView(listing))
	}
}

// markStoreUnreachable notes that a store call failed, unless it failed because ctx ended.
func (g *Group) markStoreUnreachable(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeUnreachable = true
}

// applyView replaces the view if v is newer. It renews the membership at once if v lacks this process.
func (g *Group) applyView(v View) {
	g.mu.Lock()
	if v.epoch <= g.view.epoch {
		g.mu.Unlock()
		return
	}
	g.view = v
	self := g.self
	g.mu.Unlock()
	addrs := make([]string, 0, len(v.members))
	for _, m := range v.members {
		addrs = append(addrs, m.Addr)
	}
	g.opts.Links.CloseExcept(addrs)
	if _, ok := v.Get(self.ID); !ok {
		g.wakeRenewal()
	}
	g.opts.Log.Info("membership view changed", "epoch", v.epoch, "members", len(v.members))
	if g.opts.OnViewChange != nil {
		g.opts.OnViewChange(v)
	}
}

// heartbeatLoop sends heartbeats to the peers with higher ids. Peers with lower ids call this
// process: as the answer is a heartbeat too, one call informs both sides.
func (g *Group) heartbeatLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := &nameSet{}
	lastSent := map[string]time.Time{}
	var lastLoad map[string]ServiceLoad
	for ctx.Err() == nil {
		load := g.currentLoad()
		changed := !maps.Equal(load, lastLoad)
		lastLoad = load
		now := time.Now()
		for _, m := range g.View().Members() {
			// While the load doesn't change, heartbeats only show that both sides are up, and
			// half the timeout is a sufficient interval.
			if m.ID <= g.opts.Self.ID || !changed && now.Sub(lastSent[m.ID]) < g.opts.HeartbeatTimeout/2 || !inFlight.add(m.ID) {
				continue
			}
			lastSent[m.ID] = now
			wg.Go(func() {
				defer inFlight.remove(m.ID)
				g.sendHeartbeat(ctx, m)
			})
		}
		wait.For(ctx, g.opts.HeartbeatInterval)
	}
}

// nameSet is a set of names. It is safe for concurrent use; the zero value is empty.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// add adds the name and reports whether it was absent before.
func (s *nameSet) add(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names == nil {
		s.names = map[string]bool{}
	}
	present := s.names[name]
	s.names[name] = true
	return !present
}

func (s *nameSet) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
}

// sendHeartbeat sends one heartbeat to a peer and handles the answer. It ignores the answer of a
// process with another id at the peer's address.
func (g *Group) sendHeartbeat(ctx context.Context, m Member) {
	callCtx, cancel := context.WithTimeout(ctx, g.opts.HeartbeatTimeout)
	defer cancel()
	b, err := link.Call[Heartbeat, Heartbeat](callCtx, g.opts.Links.Get(m.Addr), "Peer.Beat", g.Heartbeat())
	if err == nil && b.ID == m.ID {
		g.HandleHeartbeat(b)
	}
}

// currentLoad returns the load for the next heartbeat, nil if Options has no source of it.
func (g *Group) currentLoad() map[string]ServiceLoad {
	if g.opts.CurrentLoad == nil {
		return nil
	}
	return g.opts.CurrentLoad()
}

// Heartbeat returns a heartbeat with the present state of this process.
func (g *Group) Heartbeat() Heartbeat {
	load := g.currentLoad()
	g.mu.Lock()
	defer g.mu.Unlock()
	return Heartbeat{g.self.ID, g.view.epoch, g.storeUnreachable, load}
}

// HandleHeartbeat processes the heartbeat of a peer. It ignores senders that aren't in the view.
func (g *Group) HandleHeartbeat(b Heartbeat) {
	g.mu.Lock()
	_, known := g.view.Get(b.ID)
	if known {
		g.lastHeard[b.ID] = time.Now()
	}
	storeMayBeBack := known && g.storeUnreachable && !b.Away && g.peersWithoutStore[b.ID]
	if known {
		g.peersWithoutStore[b.ID] = b.Away
	}
	g.mu.Unlock()
	if storeMayBeBack {
		// A peer reaches the store again. Until this process has renewed its lease, it can't
		// tell the store's return from being the only disconnected process, and is not authorized.
		g.wakeRenewal()
	}
	if known && g.opts.OnPeerLoad != nil {
		g.opts.OnPeerLoad(b.ID, b.Load)
	}
}

// AbandonLease makes Run leave the lease open at its end, so that it expires as after a crash
// of the process.
func (g *Group) AbandonLease() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned = true
}

// closeLease closes the lease, if any, unless it is abandoned.
func (g *Group) closeLease() {
	g.mu.Lock()
	lease := g.leaseID
	if g.abandoned {
		lease = ""
	}
	g.leaseID, g.keyHeld, g.authorizedUntil = "", false, time.Time{}
	g.mu.Unlock()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.opts.HeartbeatTimeout*2)
	defer cancel()
	if err := g.opts.Store.CloseLease(ctx, lease); err != nil {
		g.opts.Log.Info("closing the membership lease failed; it will expire", "err", err.Error())
	}
}
