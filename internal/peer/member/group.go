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

// Options says how a Group is set up; Self, Store and Links are needed.
type Options struct {
	Self              Member
	Store             store.Store
	Links             *link.Set
	LeaseTTL          time.Duration // of the membership in the store
	WatchTimeout      time.Duration // of one watch
	HeartbeatInterval time.Duration // between heartbeats
	HeartbeatTimeout  time.Duration // of one heartbeat
	Log               logr.Logger
	OnViewChange      func(View)                    // called on each new view, one call at a time
	OnJoin            func()                        // called after each joining, before which others may have taken over
	CurrentLoad       func() map[string]ServiceLoad // what heartbeats tell of this process
	OnPeerLoad        func(id string, load map[string]ServiceLoad)
}

// ServiceLoad is what a process tells its peers about one service.
type ServiceLoad struct {
	Free int           // its own slots that are free now
	Want int           // requests that wait for a slot
	Wait time.Duration // how long the oldest has waited
}

// Heartbeat is a heartbeat, and its answer too.
type Heartbeat struct {
	ID    string
	Epoch uint64
	Away  bool // the sender's own store calls fail
	Load  map[string]ServiceLoad
}

// Group is this process's membership; New makes one and Run keeps it.
type Group struct {
	opts Options

	mu                sync.Mutex
	view              View
	leaseID           string // open in the store
	keyHeld           bool   // the own key is held under the lease
	joinedAt          time.Time
	self              Member
	authorizedUntil   time.Time // own authority by the store's lease, on the monotonic clock
	storeUnreachable  bool      // the last store call failed
	lastHeard         map[string]time.Time
	peersWithoutStore map[string]bool // peers whose store calls fail too
	renewWake         chan struct{}

	abandoned bool
}

// New returns a group that isn't joined yet.
func New(o Options) *Group {
	return &Group{opts: o, self: o.Self, lastHeard: map[string]time.Time{}, peersWithoutStore: map[string]bool{}, renewWake: make(chan struct{}, 1)}
}

// View returns the latest view.
func (g *Group) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

// ReadView returns the members as the store has them now, which may be ahead of View.
func (g *Group) ReadView(ctx context.Context) (View, error) {
	p, err := g.opts.Store.List(ctx, keyPrefix, 0, 0)
	if err != nil {
		return View{}, err
	}
	return decodeView(p), nil
}

// Self returns this process as a member.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// isUp reports whether the peer has answered or sent a heartbeat lately; the lock is held.
func (g *Group) isUp(id string, now time.Time) bool {
	at, ok := g.lastHeard[id]
	return ok && now.Sub(at) < g.peerTimeout()
}

// peerTimeout is how long a silent peer counts as up.
func (g *Group) peerTimeout() time.Duration {
	return max(4*g.opts.HeartbeatInterval, 2*g.opts.HeartbeatTimeout)
}

// Authorized reports whether this process may act on what it holds.
//
// It guards against a process that was paused, or cut off, while others took over
// what it held: both sides would then use the same slots. By the store's lease the
// process stops a margin before the store lets anybody else take over. While the
// store is away nobody can take anything over, so it goes on, but it can't tell
// that from being cut off alone: a majority of the view has to answer, all of them
// without the store as well.
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
	seconds := 1
	for _, m := range g.view.members {
		if m.ID == g.self.ID || !g.isUp(m.ID, now) {
			continue
		}
		if !g.peersWithoutStore[m.ID] {
			return false
		}
		seconds++
	}
	return 2*seconds > len(g.view.members)
}

// Run keeps the membership until ctx ends, then closes the lease.
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

// SetState tells the peers a new state of this process; it is written with the next renewal, at once.
func (g *Group) SetState(s State) {
	g.mu.Lock()
	g.self.State = s
	g.mu.Unlock()
	g.wakeRenewal()
}

// wakeRenewal makes the next renewal happen at once.
func (g *Group) wakeRenewal() {
	select {
	case g.renewWake <- struct{}{}:
	default:
	}
}

// renewLoop renews the lease at a third of its time, and joins anew when it has lapsed.
func (g *Group) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := g.opts.LeaseTTL / 3
		if err := g.renewMembership(ctx); err != nil && ctx.Err() == nil {
			g.opts.Log.V(0).Info("membership not renewed", "err", err.Error())
			wait = g.opts.LeaseTTL / 10
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-g.renewWake:
		case <-t.C:
		}
		t.Stop()
	}
}

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
		// Kept even if the key isn't: a write whose answer is lost may hold the key for it.
		g.leaseID = lease
		g.mu.Unlock()
		err = g.writeKey(ctx, lease, self)
	}
	g.mu.Lock()
	g.storeUnreachable = err != nil
	anew := err == nil && !g.keyHeld
	if err == nil {
		g.keyHeld = true
		// Reckoned from before the renewal was sent, less a margin for clocks that
		// run at different rates.
		g.authorizedUntil = sent.Add(g.opts.LeaseTTL - g.opts.LeaseTTL/10)
	}
	if anew {
		g.joinedAt = time.Now()
	}
	g.mu.Unlock()
	if anew && g.opts.OnJoin != nil {
		g.opts.OnJoin()
	}
	return err
}

// JoinedAt returns when this process last joined; what it knew of its holdings before may be out of date.
func (g *Group) JoinedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.joinedAt
}

// writeKey writes this process's key when the view lacks it or shows it otherwise.
//
// A key that the view shows under another lease is an old one: it is gone already or lapses
// with that lease, and others then take over what this process holds.
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

// watchLoop follows the members in the store.
func (g *Group) watchLoop(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		p, err := g.opts.Store.List(ctx, keyPrefix, after, g.opts.WatchTimeout)
		if err != nil {
			g.markStoreUnreachable(ctx)
			wait.For(ctx, g.opts.LeaseTTL/10)
			continue
		}
		after = p.Rev
		g.applyView(decodeView(p))
	}
}

func (g *Group) markStoreUnreachable(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeUnreachable = true
}

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
	g.opts.Log.Info("view changed", "epoch", v.epoch, "members", len(v.members))
	if g.opts.OnViewChange != nil {
		g.opts.OnViewChange(v)
	}
}

// heartbeatLoop exchanges heartbeats with the peers whose ids are higher; the others call here.
// One exchange tells both sides.
func (g *Group) heartbeatLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	busy := &nameSet{}
	told := map[string]time.Time{}
	var last map[string]ServiceLoad
	for ctx.Err() == nil {
		load := g.currentLoad()
		changed := !maps.Equal(load, last)
		last = load
		now := time.Now()
		for _, m := range g.View().Members() {
			// With nothing new to tell, a beat now and then shows that both are there.
			if m.ID <= g.opts.Self.ID || !changed && now.Sub(told[m.ID]) < g.opts.HeartbeatTimeout/2 || !busy.add(m.ID) {
				continue
			}
			told[m.ID] = now
			wg.Go(func() {
				defer busy.remove(m.ID)
				g.sendHeartbeat(ctx, m)
			})
		}
		wait.For(ctx, g.opts.HeartbeatInterval)
	}
}

// nameSet marks names, each until it is cleared; the zero value marks none.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// add marks the name and reports whether it wasn't marked before.
func (f *nameSet) add(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.names == nil {
		f.names = map[string]bool{}
	}
	old := f.names[name]
	f.names[name] = true
	return !old
}

func (f *nameSet) remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.names, name)
}

func (g *Group) sendHeartbeat(ctx context.Context, m Member) {
	cctx, cancel := context.WithTimeout(ctx, g.opts.HeartbeatTimeout)
	defer cancel()
	b, err := link.Call[Heartbeat, Heartbeat](cctx, g.opts.Links.Get(m.Addr), "Peer.Beat", g.Heartbeat())
	if err == nil && b.ID == m.ID {
		g.HandleHeartbeat(b)
	}
}

func (g *Group) currentLoad() map[string]ServiceLoad {
	if g.opts.CurrentLoad == nil {
		return nil
	}
	return g.opts.CurrentLoad()
}

// Heartbeat returns the heartbeat that tells of this process now.
func (g *Group) Heartbeat() Heartbeat {
	load := g.currentLoad()
	g.mu.Lock()
	defer g.mu.Unlock()
	return Heartbeat{g.self.ID, g.view.epoch, g.storeUnreachable, load}
}

// HandleHeartbeat takes in a peer's heartbeat.
func (g *Group) HandleHeartbeat(b Heartbeat) {
	g.mu.Lock()
	_, known := g.view.Get(b.ID)
	if known {
		g.lastHeard[b.ID] = time.Now()
	}
	back := known && g.storeUnreachable && !b.Away && g.peersWithoutStore[b.ID]
	if known {
		g.peersWithoutStore[b.ID] = b.Away
	}
	g.mu.Unlock()
	if back {
		// The store may be back. Until this process has renewed its lease it can't tell
		// that from being the only one cut off, and stands still.
		g.wakeRenewal()
	}
	if known && g.opts.OnPeerLoad != nil {
		g.opts.OnPeerLoad(b.ID, b.Load)
	}
}

// AbandonLease makes the end of Run leave the lease to lapse by itself, as a process that
// dies would.
func (g *Group) AbandonLease() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned = true
}

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
		g.opts.Log.Info("lease not closed; it lapses by itself", "err", err.Error())
	}
}
