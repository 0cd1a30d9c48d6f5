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

// ErrNotHolder says that another process has become the holder.
var ErrNotHolder = errors.New("lead: another holder")

// Keys in the store.
const (
	keyPrefix    = "lead/"
	keyHolder    = keyPrefix + "holder" // who holds; bound to the holder's lease
	keyTerm      = keyPrefix + "term"   // the newest term
	keyLoad      = keyPrefix + "load"   // what the newest holder carries
	keyLastWrite = "chain"              // the newest write of the holder
)

const (
	// watchTimeout is how long a watch for a change of holder waits: one call for each.
	watchTimeout = 10 * time.Second
	// claimJitter parts the claims of processes that see the holder's key vanish together.
	claimJitter = 80 * time.Millisecond
	// maxClaimDelay is how long a vacant key is left to others by a process that can carry next to
	// nothing of the load. A process that can carry it has claimed and is seen well within that; longer, and
	// what ran on a worker that is lost with the holder comes back too late where no process can.
	maxClaimDelay = 500 * time.Millisecond
	// retryInterval is between calls that the store refused or didn't answer.
	retryInterval = 100 * time.Millisecond
	// restoreChecks times retryPause is what a former holder at work has to put its key back.
	restoreChecks = 6
	// outageWindow is how long after the store's return a lapsed lease is put down to its outage.
	outageWindow = time.Second
	// renewalsPerLease is how many renewalsPerLease are sent within a lease's time.
	renewalsPerLease = 5
)

// Holder is the process that holds, as the store names it.
type Holder struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"` // of its peer interface
	Term    int64  `json:"term"`
	ClaimID string `json:"once"` // of this claim, to know it again when its answer was lost
}

// Options of a Lead.
type Options struct {
	Store    store.Multi
	Name     string
	Addr     string
	LeaseTTL time.Duration // after which a holder that doesn't renew is replaced
	Log      logr.Logger
	// HolderAlive asks the holder directly whether it is at work; it is consulted before its key,
	// which may have vanished with the store's outage, is claimed.
	HolderAlive func(ctx context.Context, h Holder) bool
	// Capacity tells how much load this process can carry as the holder now, in the measure of LoadWrite;
	// 0, or nil: not known. One that carries less than there is leaves a vacant key for a while to others.
	Capacity func() int
}

// Elector follows who the holder is and claims to be it where there is none.
type Elector struct {
	opt Options

	mu             sync.Mutex
	holder         Holder
	stored         storedState
	formerHolder   Holder // before the key vanished
	tenure         *Tenure
	changed        chan struct{}
	noClaimBefore  time.Time // no claim before
	storeFailing   bool      // the store's last call failed
	storeResumedAt time.Time // when the store answered again after failing
}

// storedState is what the store says besides who holds.
type storedState struct {
	term    int64
	termRev uint64 // 0: there was no holder yet
	load    int    // 0: not known
}

// New returns a Lead; Run has it work.
func New(opt Options) *Elector {
	if opt.Capacity == nil {
		opt.Capacity = func() int { return 0 }
	}
	return &Elector{opt: opt, changed: make(chan struct{})}
}

// Holder returns the holder as far as is known here, and a channel that is closed when that changes.
func (l *Elector) Holder() (Holder, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder, l.changed
}

// StoreFailing reports whether the store's last call from this process failed.
func (l *Elector) StoreFailing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeFailing
}

// ProbeStore reports whether the store answers this process, by a question of its own where the last
// call was answered. A silent store cuts no watch off, so that for many seconds no call fails.
func (l *Elector) ProbeStore(ctx context.Context) bool {
	if l.StoreFailing() {
		return false
	}
	_, err := l.opt.Store.Get(ctx, keyTerm)
	l.recordStoreResult(err)
	return !l.StoreFailing()
}

func (l *Elector) recordStoreResult(err error) {
	answered := err == nil
	for _, known := range []error{store.ErrNotFound, store.ErrConflict, store.ErrLapsed, store.ErrCompacted} {
		answered = answered || errors.Is(err, known)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered && l.storeFailing {
		l.storeResumedAt = time.Now()
	}
	l.storeFailing = !answered
}

// setHolder notes the holder's key as it was at a revision.
func (l *Elector) setHolder(h Holder, rev uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tenure != nil && rev < l.tenure.claimRev {
		return // of before this process's claim
	}
	if l.holder == h {
		return
	}
	if h.Name == "" {
		l.formerHolder = l.holder
	}
	l.holder = h
	close(l.changed)
	l.changed = make(chan struct{})
	switch {
	case l.tenure == nil:
	case h.Name == "":
		l.tenure.notifyKeyDeleted()
	case h.ClaimID != l.tenure.claim.ClaimID:
		l.tenure.cancel()
		l.tenure = nil
	}
}

// Run follows the holder's key until ctx ends. While this process holds, serve runs; it
// must return when the tenure is over.
func (l *Elector) Run(ctx context.Context, serve func(*Tenure)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		rev, err := l.readStore(ctx)
		if err != nil {
			wait.For(ctx, retryInterval)
			continue
		}
		for ctx.Err() == nil {
			if l.vacant() {
				rev = l.claim(ctx, rev, &wg, serve)
			}
			if rev, err = l.watchHolder(ctx, rev, watchTimeout); err != nil {
				break
			}
		}
	}
}

// readStore reads who holds, the term and the load, and returns the revision to watch from.
func (l *Elector) readStore(ctx context.Context) (uint64, error) {
	p, err := l.opt.Store.Range(ctx, keyPrefix)
	l.recordStoreResult(err)
	if err != nil {
		return 0, err
	}
	var holder *store.Entry
	var rec storedState
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
	l.stored = rec
	l.mu.Unlock()
	if holder == nil {
		l.setHolder(Holder{}, p.Rev)
		return p.Rev, nil
	}
	return p.Rev, l.setHolderFromEntry(*holder)
}

func (l *Elector) setHolderFromEntry(e store.Entry) error {
	var h Holder
	if err := json.Unmarshal(e.Value, &h); err != nil {
		l.opt.Log.Error(err, "holder's key not understood")
		return errors.Wrap(err, "lead")
	}
	l.setHolder(h, e.Rev)
	return nil
}

// watchHolder waits up to limit for changes of the holder's key after a revision and returns the next one
// to watch from. What is known then has been confirmed by the store.
func (l *Elector) watchHolder(ctx context.Context, rev uint64, limit time.Duration) (uint64, error) {
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes, next, err := l.opt.Store.Watch(wctx, keyHolder, rev, limit)
	l.recordStoreResult(err)
	if err != nil {
		return 0, err
	}
	for _, c := range changes {
		if c.Deleted {
			l.setHolder(Holder{}, c.Rev)
		} else if err := l.setHolderFromEntry(c.Entry); err != nil {
			return 0, err
		}
	}
	if len(changes) == 0 {
		// A silent watch confirms nothing: the store may have cut it from its news.
		return l.readStore(ctx)
	}
	return next, nil
}

func (l *Elector) vacant() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Name == "" && l.tenure == nil
}

// SuspendClaims keeps this process from claiming for a while; a longer rest stays.
func (l *Elector) SuspendClaims(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := time.Now().Add(d); until.After(l.noClaimBefore) {
		l.noClaimBefore = until
	}
}

// claimDelay returns how long a process that carries so much of a load leaves a vacant key to others that carry more.
//
// The failure it guards against: a process that can't do the work of the load wins the race for
// the key. Starved, it is late with orders and with the leases of workers, whose runs lapse, and
// loses its own lease; then the next such process wins. With claimDelay, whoever can carry the load
// has claimed before, and where nobody can, the one that can carry most does.
func claimDelay(carries, load int) time.Duration {
	if carries <= 0 || carries >= load {
		return 0
	}
	short := 1 - float64(carries)/float64(load)
	return time.Duration(short * float64(maxClaimDelay))
}

func (l *Elector) storedLoad() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stored.load
}

// deferClaim leaves a vacant key to others for this process's rest and patience. It watches meanwhile:
// callers are refused here for as long as a new holder isn't known. It returns the revision to
// watch from, how much this process carries and whether the key is still vacant by the store's newest word.
func (l *Elector) deferClaim(ctx context.Context, rev uint64) (uint64, int, bool) {
	began := time.Now()
	told := false
	for {
		carries := l.opt.Capacity()
		if p := claimDelay(carries, l.storedLoad()); p > 0 && !told {
			l.opt.Log.Info("claim waits", "patience", p, "carries", carries, "load", l.storedLoad())
			told = true
		}
		next, err := l.watchOrRead(ctx, rev, l.remainingDelay(began, carries))
		if err != nil {
			return rev, carries, false
		}
		rev = next
		if !l.vacant() {
			return rev, carries, false
		}
		// The load may have become known only now.
		if l.remainingDelay(began, carries) <= 0 {
			return rev, carries, true
		}
	}
}

// remainingDelay returns how long this process, which carries so much, goes on leaving a key to others that it has found
// vacant at began.
func (l *Elector) remainingDelay(began time.Time, carries int) time.Duration {
	l.mu.Lock()
	rest := time.Until(l.noClaimBefore)
	l.mu.Unlock()
	return max(rest, claimDelay(carries, l.storedLoad())-time.Since(began))
}

// watchOrRead follows the holder's key for a while, or reads it if there is no time to wait.
func (l *Elector) watchOrRead(ctx context.Context, rev uint64, d time.Duration) (uint64, error) {
	if d <= 0 {
		return l.readStore(ctx)
	}
	return l.watchHolder(ctx, rev, min(d, watchTimeout))
}

// claim tries to become the holder; it returns the revision to watch from.
func (l *Elector) claim(ctx context.Context, rev uint64, wg *sync.WaitGroup, serve func(*Tenure)) uint64 {
	if !wait.For(ctx, rand.N(claimJitter)) {
		return rev
	}
	rev, carries, vacant := l.deferClaim(ctx, rev)
	if !vacant || l.waitForFormerHolder(ctx) {
		return rev
	}
	t, err := l.commitClaim(ctx)
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			l.opt.Log.Info("claim failed", "cause", err.Error())
			wait.For(ctx, retryInterval)
		}
		if _, err := l.readStore(ctx); err != nil {
			wait.For(ctx, retryInterval)
		}
		return rev
	}
	l.mu.Lock()
	l.tenure = t
	l.mu.Unlock()
	l.setHolder(t.claim, t.lastWriteRev)
	l.opt.Log.Info("holder", "term", t.claim.Term, "carries", carries, "load", t.claimLoad, "patience", claimDelay(carries, t.claimLoad))
	wg.Go(func() {
		serve(t)
		l.mu.Lock()
		if l.tenure == t {
			l.tenure = nil
		}
		l.mu.Unlock()
	})
	wg.Go(func() { t.renewLoop() })
	return rev
}

// waitForFormerHolder reports whether the former holder has its key back. After an outage of the store, in
// which all leases may have lapsed, it is at work, and a change would cost more than the wait.
// Where the store was there all along, the former holder is what has failed.
func (l *Elector) waitForFormerHolder(ctx context.Context) bool {
	l.mu.Lock()
	former := l.formerHolder
	outage := time.Since(l.storeResumedAt) < outageWindow
	l.mu.Unlock()
	for range restoreChecks {
		if !outage || former.Name == "" || l.opt.HolderAlive == nil || !l.opt.HolderAlive(ctx, former) {
			return false
		}
		if !wait.For(ctx, retryInterval) {
			return true
		}
		if _, err := l.readStore(ctx); err != nil || !l.vacant() {
			return true
		}
	}
	return false
}

func (l *Elector) commitClaim(ctx context.Context) (*Tenure, error) {
	l.mu.Lock()
	rec := l.stored
	l.mu.Unlock()
	lease, err := l.opt.Store.Open(ctx, l.opt.LeaseTTL)
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
			{Key: keyLastWrite, Value: writeID{h.ClaimID, 0}.encode()},
		},
	})
	if errors.Is(err, store.ErrUnknown) {
		rev, err = l.resolveClaim(ctx, h)
	}
	if err != nil {
		return nil, err
	}
	tctx, cancel := context.WithCancel(ctx)
	return &Tenure{elector: l, claim: h, leaseID: lease, claimRev: rev, lastWriteRev: rev, ctx: tctx, cancel: cancel, confirmedAt: sent, claimLoad: rec.load, keyDeleted: make(chan struct{}, 1), writeSlot: make(chan struct{}, 1)}, nil
}

// resolveClaim finds out whether a claim without an answer took effect.
func (l *Elector) resolveClaim(ctx context.Context, h Holder) (uint64, error) {
	for range renewalsPerLease {
		e, err := l.opt.Store.Get(ctx, keyLastWrite)
		switch {
		case err == nil:
			if parseWriteID(e.Value).ClaimID == h.ClaimID {
				return e.Rev, nil
			}
			return 0, store.ErrConflict
		case errors.Is(err, store.ErrNotFound):
			return 0, store.ErrConflict
		}
		if !wait.For(ctx, retryInterval) {
			break
		}
	}
	return 0, store.ErrUnknown
}
