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
	Self    Member
	Store   store.Store
	Links   *link.Set
	Lease   time.Duration // of the membership in the store
	Wait    time.Duration // of one watch
	Beat    time.Duration // between heartbeats
	Timeout time.Duration // of one heartbeat
	Log     logr.Logger
	Changed func(View)             // called on each new view, one call at a time
	Joined  func()                 // called after each joining, before which others may have taken over
	Load    func() map[string]Load // what heartbeats tell of this process
	Heard   func(id string, load map[string]Load)
}

// Load is what a process tells its peers about one service.
type Load struct {
	Free int           // its own slots that are free now
	Want int           // requests that wait for a slot
	Wait time.Duration // how long the oldest has waited
}

// Beat is a heartbeat, and its answer too.
type Beat struct {
	ID    string
	Epoch uint64
	Away  bool // the sender's own store calls fail
	Load  map[string]Load
}

// Group is this process's membership; New makes one and Run keeps it.
type Group struct {
	o Options

	mu     sync.Mutex
	view   View
	lease  string // open in the store
	member bool   // the own key is held under the lease
	joined time.Time
	self   Member
	until  time.Time // own authority by the store's lease, on the monotonic clock
	away   bool      // the last store call failed
	heard  map[string]time.Time
	theirs map[string]bool // peers whose store calls fail too
	nudge  chan struct{}

	abandoned bool
}

// New returns a group that isn't joined yet.
func New(o Options) *Group {
	return &Group{o: o, self: o.Self, heard: map[string]time.Time{}, theirs: map[string]bool{}, nudge: make(chan struct{}, 1)}
}

// View returns the latest view.
func (g *Group) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

// Read returns the members as the store has them now, which may be ahead of View.
func (g *Group) Read(ctx context.Context) (View, error) {
	p, err := g.o.Store.List(ctx, prefix, 0, 0)
	if err != nil {
		return View{}, err
	}
	return newView(p), nil
}

// Self returns this process as a member.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// up reports whether the peer has answered or sent a heartbeat lately; the lock is held.
func (g *Group) up(id string, now time.Time) bool {
	at, ok := g.heard[id]
	return ok && now.Sub(at) < g.patience()
}

// patience is how long a silent peer counts as up.
func (g *Group) patience() time.Duration {
	return max(4*g.o.Beat, 2*g.o.Timeout)
}

// Lawful reports whether this process may act on what it holds.
//
// It guards against a process that was paused, or cut off, while others took over
// what it held: both sides would then use the same slots. By the store's lease the
// process stops a margin before the store lets anybody else take over. While the
// store is away nobody can take anything over, so it goes on, but it can't tell
// that from being cut off alone: a majority of the view has to answer, all of them
// without the store as well.
func (g *Group) Lawful() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Before(g.until) {
		return true
	}
	if !g.away || !g.member {
		return false
	}
	seconds := 1
	for _, m := range g.view.members {
		if m.ID == g.self.ID || !g.up(m.ID, now) {
			continue
		}
		if !g.theirs[m.ID] {
			return false
		}
		seconds++
	}
	return 2*seconds > len(g.view.members)
}

// Run keeps the membership until ctx ends, then closes the lease.
func (g *Group) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){g.keep, g.watch, g.beat} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
	}
	wg.Wait()
	g.leave()
}

// SetState tells the peers a new state of this process; it is written with the next renewal, at once.
func (g *Group) SetState(s State) {
	g.mu.Lock()
	g.self.State = s
	g.mu.Unlock()
	g.hurry()
}

// hurry makes the next renewal happen at once.
func (g *Group) hurry() {
	select {
	case g.nudge <- struct{}{}:
	default:
	}
}

// keep renews the lease at a third of its time, and joins anew when it has lapsed.
func (g *Group) keep(ctx context.Context) {
	for ctx.Err() == nil {
		wait := g.o.Lease / 3
		if err := g.renew(ctx); err != nil && ctx.Err() == nil {
			g.o.Log.V(0).Info("membership not renewed", "err", err.Error())
			wait = g.o.Lease / 10
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-g.nudge:
		case <-t.C:
		}
		t.Stop()
	}
}

func (g *Group) renew(ctx context.Context) error {
	g.mu.Lock()
	lease, self := g.lease, g.self
	g.mu.Unlock()
	sent := time.Now()
	var err error
	if lease == "" {
		lease, err = g.o.Store.Open(ctx, g.o.Lease)
	} else {
		err = g.o.Store.Renew(ctx, lease)
	}
	if errors.Is(err, store.ErrLapsed) {
		g.mu.Lock()
		g.lease, g.member, g.until = "", false, time.Time{}
		g.mu.Unlock()
		return g.renew(ctx)
	}
	if err == nil {
		g.mu.Lock()
		// Kept even if the key isn't: a write whose answer is lost may hold the key for it.
		g.lease = lease
		g.mu.Unlock()
		err = g.hold(ctx, lease, self)
	}
	g.mu.Lock()
	g.away = err != nil
	anew := err == nil && !g.member
	if err == nil {
		g.member = true
		// Reckoned from before the renewal was sent, less a margin for clocks that
		// run at different rates.
		g.until = sent.Add(g.o.Lease - g.o.Lease/10)
	}
	if anew {
		g.joined = time.Now()
	}
	g.mu.Unlock()
	if anew && g.o.Joined != nil {
		g.o.Joined()
	}
	return err
}

// JoinedAt returns when this process last joined; what it knew of its holdings before may be out of date.
func (g *Group) JoinedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.joined
}

// hold writes this process's key when the view lacks it or shows it otherwise.
//
// A key that the view shows under another lease is an old one: it is gone already or lapses
// with that lease, and others then take over what this process holds.
func (g *Group) hold(ctx context.Context, lease string, self Member) error {
	if v := g.View(); v.leases[self.ID] == lease {
		if m, ok := v.Get(self.ID); ok && m == self {
			return nil
		}
	}
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "member")
	}
	return g.o.Store.Hold(ctx, lease, prefix+self.ID, value)
}

// watch follows the members in the store.
func (g *Group) watch(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		p, err := g.o.Store.List(ctx, prefix, after, g.o.Wait)
		if err != nil {
			g.setAway(ctx)
			wait.For(ctx, g.o.Lease/10)
			continue
		}
		after = p.Rev
		g.adopt(newView(p))
	}
}

func (g *Group) setAway(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.away = true
}

func (g *Group) adopt(v View) {
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
	g.o.Links.Keep(addrs)
	if _, ok := v.Get(self.ID); !ok {
		g.hurry()
	}
	g.o.Log.Info("view changed", "epoch", v.epoch, "members", len(v.members))
	if g.o.Changed != nil {
		g.o.Changed(v)
	}
}

// beat exchanges heartbeats with the peers whose ids are higher; the others call here.
// One exchange tells both sides.
func (g *Group) beat(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	busy := &flags{}
	told := map[string]time.Time{}
	var last map[string]Load
	for ctx.Err() == nil {
		load := g.load()
		changed := !maps.Equal(load, last)
		last = load
		now := time.Now()
		for _, m := range g.View().Members() {
			// With nothing new to tell, a beat now and then shows that both are there.
			if m.ID <= g.o.Self.ID || !changed && now.Sub(told[m.ID]) < g.o.Timeout/2 || !busy.set(m.ID) {
				continue
			}
			told[m.ID] = now
			wg.Go(func() {
				defer busy.clear(m.ID)
				g.beatTo(ctx, m)
			})
		}
		wait.For(ctx, g.o.Beat)
	}
}

// flags marks names, each until it is cleared; the zero value marks none.
type flags struct {
	mu    sync.Mutex
	names map[string]bool
}

// set marks the name and reports whether it wasn't marked before.
func (f *flags) set(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.names == nil {
		f.names = map[string]bool{}
	}
	old := f.names[name]
	f.names[name] = true
	return !old
}

func (f *flags) clear(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.names, name)
}

func (g *Group) beatTo(ctx context.Context, m Member) {
	cctx, cancel := context.WithTimeout(ctx, g.o.Timeout)
	defer cancel()
	b, err := link.Call[Beat, Beat](cctx, g.o.Links.To(m.Addr), "Peer.Beat", g.Beat())
	if err == nil && b.ID == m.ID {
		g.Hear(b)
	}
}

func (g *Group) load() map[string]Load {
	if g.o.Load == nil {
		return nil
	}
	return g.o.Load()
}

// Beat returns the heartbeat that tells of this process now.
func (g *Group) Beat() Beat {
	load := g.load()
	g.mu.Lock()
	defer g.mu.Unlock()
	return Beat{g.self.ID, g.view.epoch, g.away, load}
}

// Hear takes in a peer's heartbeat.
func (g *Group) Hear(b Beat) {
	g.mu.Lock()
	_, known := g.view.Get(b.ID)
	if known {
		g.heard[b.ID] = time.Now()
	}
	back := known && g.away && !b.Away && g.theirs[b.ID]
	if known {
		g.theirs[b.ID] = b.Away
	}
	g.mu.Unlock()
	if back {
		// The store may be back. Until this process has renewed its lease it can't tell
		// that from being the only one cut off, and stands still.
		g.hurry()
	}
	if known && g.o.Heard != nil {
		g.o.Heard(b.ID, b.Load)
	}
}

// Abandon makes the end of Run leave the lease to lapse by itself, as a process that
// dies would.
func (g *Group) Abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned = true
}

func (g *Group) leave() {
	g.mu.Lock()
	lease := g.lease
	if g.abandoned {
		lease = ""
	}
	g.lease, g.member, g.until = "", false, time.Time{}
	g.mu.Unlock()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.o.Timeout*2)
	defer cancel()
	if err := g.o.Store.Close(ctx, lease); err != nil {
		g.o.Log.Info("lease not closed; it lapses by itself", "err", err.Error())
	}
}
