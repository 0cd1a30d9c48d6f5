package lead

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// ErrLost says that another process has become the holder.
var ErrLost = errors.New("lead: another holder")

// Keys in the store.
const (
	keyPrefix = "lead/"
	keyHolder = keyPrefix + "holder" // who holds; bound to the holder's lease
	keyTerm   = keyPrefix + "term"   // the newest term
	keyLoad   = keyPrefix + "load"   // what the newest holder carries
	keyChain  = "chain"              // the newest write of the holder
)

const (
	// watchFor is how long a watch for a change of holder waits: one call for each.
	watchFor = 10 * time.Second
	// claimSpread parts the claims of processes that see the holder's key vanish together.
	claimSpread = 80 * time.Millisecond
	// patienceMost is how long a vacant key is left to others by a process that can carry next to
	// nothing of the load. A process that can carry it has claimed and is seen well within that; longer, and
	// what ran on a worker that is lost with the holder comes back too late where no process can.
	patienceMost = 500 * time.Millisecond
	// retryPause is between calls that the store refused or didn't answer.
	retryPause = 100 * time.Millisecond
	// spareTries times retryPause is what a former holder at work has to put its key back.
	spareTries = 6
	// outageOver is how long after the store's return a lapsed lease is put down to its outage.
	outageOver = time.Second
	// renewals is how many renewals are sent within a lease's time.
	renewals = 5
)

// Holder is the process that holds, as the store names it.
type Holder struct {
	Name string `json:"name"`
	Addr string `json:"addr"` // of its peer interface
	Term int64  `json:"term"`
	Once string `json:"once"` // of this claim, to know it again when its answer was lost
}

// Options of a Lead.
type Options struct {
	Store store.Multi
	Name  string
	Addr  string
	Lease time.Duration // after which a holder that doesn't renew is replaced
	Log   logr.Logger
	// Alive asks the holder directly whether it is at work; it is consulted before its key,
	// which may have vanished with the store's outage, is claimed.
	Alive func(ctx context.Context, h Holder) bool
	// Carries tells how much load this process can carry as the holder now, in the measure of LoadWrite;
	// 0, or nil: not known. One that carries less than there is leaves a vacant key for a while to others.
	Carries func() int
}

// Lead follows who the holder is and claims to be it where there is none.
type Lead struct {
	opt Options

	mu      sync.Mutex
	holder  Holder
	record  record
	former  Holder // before the key vanished
	tenure  *Tenure
	changed chan struct{}
	resting time.Time // no claim before
	failing bool      // the store's last call failed
	resumed time.Time // when the store answered again after failing
}

// record is what the store says besides who holds.
type record struct {
	term    int64
	termRev uint64 // 0: there was no holder yet
	load    int    // 0: not known
}

// New returns a Lead; Run has it work.
func New(opt Options) *Lead {
	if opt.Carries == nil {
		opt.Carries = func() int { return 0 }
	}
	return &Lead{opt: opt, changed: make(chan struct{})}
}

// Holder returns the holder as far as is known here, and a channel that is closed when that changes.
func (l *Lead) Holder() (Holder, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder, l.changed
}

// Failing reports whether the store's last call from this process failed.
func (l *Lead) Failing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failing
}

// Asked reports whether the store answers this process, by a question of its own where the last
// call was answered. A silent store cuts no watch off, so that for many seconds no call fails.
func (l *Lead) Asked(ctx context.Context) bool {
	if l.Failing() {
		return false
	}
	_, err := l.opt.Store.Get(ctx, keyTerm)
	l.note(err)
	return !l.Failing()
}

func (l *Lead) note(err error) {
	answered := err == nil
	for _, known := range []error{store.ErrNotFound, store.ErrConflict, store.ErrLapsed, store.ErrCompacted} {
		answered = answered || errors.Is(err, known)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered && l.failing {
		l.resumed = time.Now()
	}
	l.failing = !answered
}

// set notes the holder's key as it was at a revision.
func (l *Lead) set(h Holder, rev uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tenure != nil && rev < l.tenure.from {
		return // of before this process's claim
	}
	if l.holder == h {
		return
	}
	if h.Name == "" {
		l.former = l.holder
	}
	l.holder = h
	close(l.changed)
	l.changed = make(chan struct{})
	switch {
	case l.tenure == nil:
	case h.Name == "":
		l.tenure.vanished()
	case h.Once != l.tenure.claim.Once:
		l.tenure.end()
		l.tenure = nil
	}
}

// Run follows the holder's key until ctx ends. While this process holds, serve runs; it
// must return when the tenure is over.
func (l *Lead) Run(ctx context.Context, serve func(*Tenure)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		rev, err := l.read(ctx)
		if err != nil {
			wait.For(ctx, retryPause)
			continue
		}
		for ctx.Err() == nil {
			if l.vacant() {
				rev = l.claim(ctx, rev, &wg, serve)
			}
			if rev, err = l.follow(ctx, rev, watchFor); err != nil {
				break
			}
		}
	}
}

// read reads who holds, the term and the load, and returns the revision to watch from.
func (l *Lead) read(ctx context.Context) (uint64, error) {
	p, err := l.opt.Store.Range(ctx, keyPrefix)
	l.note(err)
	if err != nil {
		return 0, err
	}
	var holder *store.Entry
	var rec record
	for i, e := range p.Entries {
		switch e.Key {
		case keyHolder:
			holder = &p.Entries[i]
		case keyTerm:
			rec.termRev = e.Rev
			if err := json.Unmarshal(e.Value, &rec.term); err != nil {
				l.opt.Log.Error(err, "term not understood")
				return 0, errors.Wrap(err, "lead: term")
			}
		case keyLoad:
			if err := json.Unmarshal(e.Value, &rec.load); err != nil {
				l.opt.Log.Error(err, "load not understood, taken as unknown")
				rec.load = 0
			}
		}
	}
	l.mu.Lock()
	l.record = rec
	l.mu.Unlock()
	if holder == nil {
		l.set(Holder{}, p.Rev)
		return p.Rev, nil
	}
	return p.Rev, l.take(*holder)
}

func (l *Lead) take(e store.Entry) error {
	var h Holder
	if err := json.Unmarshal(e.Value, &h); err != nil {
		l.opt.Log.Error(err, "holder's key not understood")
		return errors.Wrap(err, "lead")
	}
	l.set(h, e.Rev)
	return nil
}

// follow waits up to limit for changes of the holder's key after a revision and returns the next one
// to watch from. What is known then has been confirmed by the store.
func (l *Lead) follow(ctx context.Context, rev uint64, limit time.Duration) (uint64, error) {
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes, next, err := l.opt.Store.Watch(wctx, keyHolder, rev, limit)
	l.note(err)
	if err != nil {
		return 0, err
	}
	for _, c := range changes {
		if c.Deleted {
			l.set(Holder{}, c.Rev)
		} else if err := l.take(c.Entry); err != nil {
			return 0, err
		}
	}
	if len(changes) == 0 {
		// A silent watch confirms nothing: the store may have cut it from its news.
		return l.read(ctx)
	}
	return next, nil
}

func (l *Lead) vacant() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Name == "" && l.tenure == nil
}

// Rest keeps this process from claiming for a while; a longer rest stays.
func (l *Lead) Rest(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := time.Now().Add(d); until.After(l.resting) {
		l.resting = until
	}
}

// patience returns how long a process that carries so much of a load leaves a vacant key to others that carry more.
//
// The failure it guards against: a process that can't do the work of the load wins the race for
// the key. Starved, it is late with orders and with the leases of workers, whose runs lapse, and
// loses its own lease; then the next such process wins. With patience, whoever can carry the load
// has claimed before, and where nobody can, the one that can carry most does.
func patience(carries, load int) time.Duration {
	if carries <= 0 || carries >= load {
		return 0
	}
	short := 1 - float64(carries)/float64(load)
	return time.Duration(short * float64(patienceMost))
}

func (l *Lead) load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.load
}

// yield leaves a vacant key to others for this process's rest and patience. It watches meanwhile:
// callers are refused here for as long as a new holder isn't known. It returns the revision to
// watch from, how much this process carries and whether the key is still vacant by the store's newest word.
func (l *Lead) yield(ctx context.Context, rev uint64) (uint64, int, bool) {
	began := time.Now()
	told := false
	for {
		carries := l.opt.Carries()
		if p := patience(carries, l.load()); p > 0 && !told {
			l.opt.Log.Info("claim waits", "patience", p, "carries", carries, "load", l.load())
			told = true
		}
		next, err := l.await(ctx, rev, l.left(began, carries))
		if err != nil {
			return rev, carries, false
		}
		rev = next
		if !l.vacant() {
			return rev, carries, false
		}
		// The load may have become known only now.
		if l.left(began, carries) <= 0 {
			return rev, carries, true
		}
	}
}

// left returns how long this process, which carries so much, goes on leaving a key to others that it has found
// vacant at began.
func (l *Lead) left(began time.Time, carries int) time.Duration {
	l.mu.Lock()
	rest := time.Until(l.resting)
	l.mu.Unlock()
	return max(rest, patience(carries, l.load())-time.Since(began))
}

// await follows the holder's key for a while, or reads it if there is no time to wait.
func (l *Lead) await(ctx context.Context, rev uint64, d time.Duration) (uint64, error) {
	if d <= 0 {
		return l.read(ctx)
	}
	return l.follow(ctx, rev, min(d, watchFor))
}

// claim tries to become the holder; it returns the revision to watch from.
func (l *Lead) claim(ctx context.Context, rev uint64, wg *sync.WaitGroup, serve func(*Tenure)) uint64 {
	if !wait.For(ctx, rand.N(claimSpread)) {
		return rev
	}
	rev, carries, vacant := l.yield(ctx, rev)
	if !vacant || l.spare(ctx) {
		return rev
	}
	t, err := l.try(ctx)
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			l.opt.Log.Info("claim failed", "cause", err.Error())
			wait.For(ctx, retryPause)
		}
		if _, err := l.read(ctx); err != nil {
			wait.For(ctx, retryPause)
		}
		return rev
	}
	l.mu.Lock()
	l.tenure = t
	l.mu.Unlock()
	l.set(t.claim, t.rev)
	l.opt.Log.Info("holder", "term", t.claim.Term, "carries", carries, "load", t.load, "patience", patience(carries, t.load))
	wg.Go(func() {
		serve(t)
		l.mu.Lock()
		if l.tenure == t {
			l.tenure = nil
		}
		l.mu.Unlock()
	})
	wg.Go(func() { t.keep() })
	return rev
}

// spare reports whether the former holder has its key back. After an outage of the store, in
// which all leases may have lapsed, it is at work, and a change would cost more than the wait.
// Where the store was there all along, the former holder is what has failed.
func (l *Lead) spare(ctx context.Context) bool {
	l.mu.Lock()
	former := l.former
	outage := time.Since(l.resumed) < outageOver
	l.mu.Unlock()
	for range spareTries {
		if !outage || former.Name == "" || l.opt.Alive == nil || !l.opt.Alive(ctx, former) {
			return false
		}
		if !wait.For(ctx, retryPause) {
			return true
		}
		if _, err := l.read(ctx); err != nil || !l.vacant() {
			return true
		}
	}
	return false
}

func (l *Lead) try(ctx context.Context) (*Tenure, error) {
	l.mu.Lock()
	rec := l.record
	l.mu.Unlock()
	lease, err := l.opt.Store.Open(ctx, l.opt.Lease)
	if err != nil {
		return nil, err
	}
	h := Holder{l.opt.Name, l.opt.Addr, rec.term + 1, uuid.NewString()}
	value, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "lead")
	}
	next, err := json.Marshal(h.Term)
	if err != nil {
		return nil, errors.Wrap(err, "lead")
	}
	sent := time.Now()
	rev, err := l.opt.Store.Commit(ctx, store.Txn{
		If: []store.Cond{{Key: keyHolder}, {Key: keyTerm, Rev: rec.termRev}},
		Do: []store.Write{
			{Key: keyHolder, Value: value, Lease: lease},
			{Key: keyTerm, Value: next},
			{Key: keyChain, Value: link{h.Once, 0}.bytes()},
		},
	})
	if errors.Is(err, store.ErrUnknown) {
		rev, err = l.settle(ctx, h)
	}
	if err != nil {
		return nil, err
	}
	tctx, cancel := context.WithCancel(ctx)
	return &Tenure{lead: l, claim: h, lease: lease, from: rev, rev: rev, ctx: tctx, end: cancel, sure: sent, load: rec.load, gone: make(chan struct{}, 1), write: make(chan struct{}, 1)}, nil
}

// settle finds out whether a claim without an answer took effect.
func (l *Lead) settle(ctx context.Context, h Holder) (uint64, error) {
	for range renewals {
		e, err := l.opt.Store.Get(ctx, keyChain)
		switch {
		case err == nil:
			if parseLink(e.Value).Once == h.Once {
				return e.Rev, nil
			}
			return 0, store.ErrConflict
		case errors.Is(err, store.ErrNotFound):
			return 0, store.ErrConflict
		}
		if !wait.For(ctx, retryPause) {
			break
		}
	}
	return 0, store.ErrUnknown
}
