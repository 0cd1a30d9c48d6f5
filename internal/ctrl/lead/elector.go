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

// ErrNotHolder means that this process is no longer the holder.
var ErrNotHolder = errors.New("lead: another holder")

// Keys in the store.
const (
	keyPrefix    = "lead/"
	keyHolder    = keyPrefix + "holder" // the Holder, in JSON; bound to the holder's lease
	keyTerm      = keyPrefix + "term"   // the newest term
	keyLoad      = keyPrefix + "load"   // the load of the newest holder; see LoadWrite
	keyVoters    = keyPrefix + "voters" // the electorates of the newest holder and of former ones that aren't released, in JSON
	keyLastWrite = "chain"              // the writeID of the holder's last write, in JSON
)

const (
	// watchTimeout is how long a watch waits for a change of the holder's key; each watch is one call to the store.
	watchTimeout = 10 * time.Second
	// claimJitter is the longest random delay by which processes that see the holder's key deleted at the same time
	// separate their claims.
	claimJitter = 80 * time.Millisecond
	// maxClaimDelay is how long a process with next to no capacity for the load leaves a vacant key to others. A
	// process with enough capacity claims, and its claim is seen, well within that time. If no process has enough
	// capacity, a longer delay would restart the runs of a worker that is lost together with the holder too late.
	maxClaimDelay = 500 * time.Millisecond
	// retryInterval is the pause before the next call when the store refused or didn't answer one.
	retryInterval = 100 * time.Millisecond
	// restoreChecks times retryInterval is the time that a running former holder has to restore its key.
	restoreChecks = 6
	// outageWindow is the time from when the store answers again during which the expiry of a lease is attributed to
	// the store's outage.
	outageWindow = time.Second
	// renewalsPerLease is the number of renewals that are sent within a lease's TTL. It also limits the attempts to
	// resolve a claim.
	renewalsPerLease = 5
	// maxRenewalsInFlight bounds the renewals without an answer, which may come late or be read late.
	maxRenewalsInFlight = 3 * renewalsPerLease
)

// Holder describes the holder, as it is stored. Its zero value means that there is no holder.
type Holder struct {
	Name    string `json:"name"` // of the process
	Addr    string `json:"addr"` // of its peer interface
	Term    int64  `json:"term"` // grows with each change of holder
	ClaimID string `json:"once"` // unique for each claim; identifies a claim whose call got no answer
}

// Options holds the settings of an Elector.
type Options struct {
	Store    store.TxnStore
	Name     string        // of this process
	Addr     string        // of this process's peer interface
	LeaseTTL time.Duration // time after which a holder that doesn't renew its lease is replaced
	Log      logr.Logger
	// HolderAlive, if set, asks a former holder directly whether it is running. It is called before this process
	// claims the former holder's key, which may have been deleted because of an outage of the store.
	HolderAlive func(ctx context.Context, h Holder) bool
	// Capacity returns how much load this process can handle as the holder at present, in the unit of LoadWrite. 0, or
	// a nil function, means that the capacity isn't known. A process with less capacity than the stored load delays
	// its claim of a vacant key.
	Capacity func() int
}

// Elector keeps track of the holder and claims to be the holder when there is none.
type Elector struct {
	opt  Options
	self Voter

	mu             sync.Mutex
	holder         Holder        // as far as is known here
	newestTerm     int64         // newest term known here; see Promise
	stored         storedState   // as last read
	formerHolder   Holder        // holder before its key was deleted
	tenure         *Tenure       // nil: this process isn't the holder
	changed        chan struct{} // closed and replaced when holder changes
	noClaimBefore  time.Time     // end of the suspension of claims
	storeFailing   bool          // whether the last call to the store failed
	storeResumedAt time.Time     // when the store answered again after failing
}

// storedState is what the store holds about the newest term besides the holder.
type storedState struct {
	term    int64
	termRev uint64 // revision of the term's key; 0: there has been no holder yet
	load    int    // 0: not known

	electorates    []Electorate // by term
	electoratesRev uint64       // revision of the electorates' key; 0: there are none
}

// New returns an Elector, which does nothing until Run is called.
func New(opt Options) *Elector {
	if opt.Capacity == nil {
		opt.Capacity = func() int { return 0 }
	}
	return &Elector{opt: opt, self: newVoter(opt.Addr), changed: make(chan struct{})}
}

// Self returns this process as a voter.
func (e *Elector) Self() Voter { return e.self }

// Holder returns the holder as far as is known here, and a channel that is closed when the known holder changes.
func (e *Elector) Holder() (Holder, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder, e.changed
}

// NewestTerm returns the newest term that is known here. This process doesn't confirm the holder of an older one.
func (e *Elector) NewestTerm() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newestTerm
}

// Promise records that a process has become the holder with a term. This process will not confirm the holder of an older
// term any more, and if it is that holder, its tenure ends: its successor's claim makes its writes fail.
func (e *Elector) Promise(term int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.promise(term)
}

// promise is Promise. The caller holds e.mu.
func (e *Elector) promise(term int64) {
	e.newestTerm = max(e.newestTerm, term)
	if e.tenure != nil && e.tenure.claim.Term < e.newestTerm {
		e.opt.Log.Info("newer term", "term", e.tenure.claim.Term, "newer", e.newestTerm)
		e.tenure.cancel()
		e.tenure = nil
	}
}

// StoreFailing reports whether this process's last call to the store failed.
func (e *Elector) StoreFailing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.storeFailing
}

// ProbeStore reports whether the store answers this process. If the last call didn't fail, it makes a call of its own:
// a store that has stopped answering doesn't end a running watch, so it can take many seconds until a call fails.
func (e *Elector) ProbeStore(ctx context.Context) bool {
	if e.StoreFailing() {
		return false
	}
	_, err := e.opt.Store.Get(ctx, keyTerm)
	e.recordStoreResult(err)
	return !e.StoreFailing()
}

// recordStoreResult records from the error of a call whether the store answered it.
func (e *Elector) recordStoreResult(err error) {
	answered := err == nil
	for _, answer := range []error{store.ErrNotFound, store.ErrConflict, store.ErrLeaseNotFound, store.ErrCompacted} {
		answered = answered || errors.Is(err, answer)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if answered && e.storeFailing {
		e.storeResumedAt = time.Now()
	}
	e.storeFailing = !answered
}

// setHolder sets the known holder as of a revision. If that is the holder of another claim, it ends this process's
// tenure; if there is none, the tenure restores its key.
func (e *Elector) setHolder(h Holder, rev uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tenure != nil && rev < e.tenure.claimRev {
		return // older than this process's claim
	}
	if e.holder == h {
		return
	}
	e.promise(h.Term)
	if h.Name == "" {
		e.formerHolder = e.holder
	}
	e.holder = h
	close(e.changed)
	e.changed = make(chan struct{})
	switch {
	case e.tenure == nil:
	case h.Name == "":
		e.tenure.notifyKeyDeleted()
	case h.ClaimID != e.tenure.claim.ClaimID:
		e.tenure.cancel()
		e.tenure = nil
	}
}

// Run watches the holder's key, and claims it when it is vacant, until ctx ends. It calls serve each time this process
// becomes the holder; serve must return when the tenure ends.
func (e *Elector) Run(ctx context.Context, serve func(*Tenure)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		rev, err := e.readStore(ctx)
		if err != nil {
			wait.For(ctx, retryInterval)
			continue
		}
		for ctx.Err() == nil {
			if e.vacant() {
				rev = e.claim(ctx, rev, &wg, serve)
			}
			if rev, err = e.watchHolder(ctx, rev, watchTimeout); err != nil {
				break
			}
		}
	}
}

// readStore reads the holder, the term and the load, and returns the revision to watch from.
func (e *Elector) readStore(ctx context.Context) (uint64, error) {
	listing, err := e.opt.Store.Range(ctx, keyPrefix)
	e.recordStoreResult(err)
	if err != nil {
		return 0, err
	}
	var holder *store.Entry
	var stored storedState
	for i, entry := range listing.Entries {
		switch entry.Key {
		case keyHolder:
			holder = &listing.Entries[i]
		case keyTerm:
			stored.termRev = entry.Rev
			if err := json.Unmarshal(entry.Value, &stored.term); err != nil {
				e.opt.Log.Error(err, "cannot decode the term")
				return 0, errors.Wrap(err, "lead: decode term")
			}
		case keyLoad:
			if err := json.Unmarshal(entry.Value, &stored.load); err != nil {
				e.opt.Log.Error(err, "cannot decode the load, treating it as unknown")
				stored.load = 0
			}
		case keyVoters:
			stored.electoratesRev = entry.Rev
			if stored.electorates, err = decodeElectorates(entry.Value); err != nil {
				e.opt.Log.Error(err, "cannot decode the electorates")
				return 0, err
			}
		}
	}
	e.mu.Lock()
	e.stored = stored
	e.mu.Unlock()
	if holder == nil {
		e.setHolder(Holder{}, listing.Rev)
		return listing.Rev, nil
	}
	return listing.Rev, e.setHolderFromEntry(*holder)
}

// setHolderFromEntry sets the known holder from the value of its key.
func (e *Elector) setHolderFromEntry(entry store.Entry) error {
	var h Holder
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		e.opt.Log.Error(err, "cannot decode the holder")
		return errors.Wrap(err, "lead: decode holder")
	}
	e.setHolder(h, entry.Rev)
	return nil
}

// watchHolder waits until the holder's key changes after a revision, at most for the timeout, and returns the revision
// to watch from next. When it returns without an error, the store has confirmed the known holder.
func (e *Elector) watchHolder(ctx context.Context, rev uint64, timeout time.Duration) (uint64, error) {
	wctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes, next, err := e.opt.Store.Watch(wctx, keyHolder, rev, timeout)
	e.recordStoreResult(err)
	if err != nil {
		return 0, err
	}
	for _, c := range changes {
		if c.Deleted {
			e.setHolder(Holder{}, c.Rev)
		} else if err := e.setHolderFromEntry(c.Entry); err != nil {
			return 0, err
		}
	}
	if len(changes) == 0 {
		// A watch without changes doesn't confirm the holder: the store may have stopped sending changes to it.
		return e.readStore(ctx)
	}
	return next, nil
}

// vacant reports whether there is no holder as far as is known here, and this process has no tenure.
func (e *Elector) vacant() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder.Name == "" && e.tenure == nil
}

// SuspendClaims keeps this process from claiming for a duration. It doesn't shorten an earlier suspension.
func (e *Elector) SuspendClaims(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := time.Now().Add(d); until.After(e.noClaimBefore) {
		e.noClaimBefore = until
	}
}

// claimDelay returns how long a process with a capacity leaves a vacant key to processes with more capacity. The delay
// is proportional to the share of the load that it lacks capacity for; it is 0 if the capacity isn't known.
//
// Without the delay, a process that lacks the capacity for the load may win the race for the key. Overloaded, it is late
// with orders and with renewing the leases of workers, whose runs expire, and loses its own lease; then the next such
// process wins. With the delay, a process with enough capacity claims first or, if there is none, the one with the most.
func claimDelay(capacity, load int) time.Duration {
	if capacity <= 0 || capacity >= load {
		return 0
	}
	shortfall := 1 - float64(capacity)/float64(load)
	return time.Duration(shortfall * float64(maxClaimDelay))
}

// storedLoad returns the load of the newest holder as last read, or 0 if it isn't known.
func (e *Elector) storedLoad() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stored.load
}

// deferClaim leaves a vacant key to others while this process's claims are suspended and for its claim delay. It watches
// the key in the meantime, as this process refuses its callers until it knows a new holder. It returns the revision to
// watch from, this process's capacity, and whether the key is still vacant by the store's latest answer.
func (e *Elector) deferClaim(ctx context.Context, rev uint64) (uint64, int, bool) {
	start := time.Now()
	logged := false
	for {
		capacity := e.opt.Capacity()
		if delay := claimDelay(capacity, e.storedLoad()); delay > 0 && !logged {
			e.opt.Log.Info("claim waits", "patience", delay, "carries", capacity, "load", e.storedLoad())
			logged = true
		}
		next, err := e.watchOrRead(ctx, rev, e.remainingDelay(start, capacity))
		if err != nil {
			return rev, capacity, false
		}
		rev = next
		if !e.vacant() {
			return rev, capacity, false
		}
		// The load may have become known only during the wait.
		if e.remainingDelay(start, capacity) <= 0 {
			return rev, capacity, true
		}
	}
}

// remainingDelay returns how long this process must still wait before it claims a key that it found vacant at start. It
// is zero or negative if there is nothing to wait for.
func (e *Elector) remainingDelay(start time.Time, capacity int) time.Duration {
	e.mu.Lock()
	suspension := time.Until(e.noClaimBefore)
	e.mu.Unlock()
	return max(suspension, claimDelay(capacity, e.storedLoad())-time.Since(start))
}

// watchOrRead watches the holder's key for a duration, or reads it at once if the duration isn't positive.
func (e *Elector) watchOrRead(ctx context.Context, rev uint64, d time.Duration) (uint64, error) {
	if d <= 0 {
		return e.readStore(ctx)
	}
	return e.watchHolder(ctx, rev, min(d, watchTimeout))
}

// claim tries to become the holder and, on success, starts serve and the renewal of the lease. It returns the revision
// to watch from.
func (e *Elector) claim(ctx context.Context, rev uint64, wg *sync.WaitGroup, serve func(*Tenure)) uint64 {
	if !wait.For(ctx, rand.N(claimJitter)) {
		return rev
	}
	rev, capacity, vacant := e.deferClaim(ctx, rev)
	if !vacant || e.waitForFormerHolder(ctx) {
		return rev
	}
	t, err := e.commitClaim(ctx)
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			e.opt.Log.Info("claim failed", "cause", err.Error())
			wait.For(ctx, retryInterval)
		}
		if _, err := e.readStore(ctx); err != nil {
			wait.For(ctx, retryInterval)
		}
		return rev
	}
	e.mu.Lock()
	e.tenure = t
	e.mu.Unlock()
	e.setHolder(t.claim, t.lastWriteRev)
	e.opt.Log.Info("holder", "term", t.claim.Term, "carries", capacity, "load", t.claimLoad, "patience", claimDelay(capacity, t.claimLoad))
	wg.Go(func() {
		serve(t)
		e.mu.Lock()
		if e.tenure == t {
			e.tenure = nil
		}
		e.mu.Unlock()
	})
	wg.Go(func() { t.renewLoop() })
	return rev
}

// waitForFormerHolder waits for a running former holder to restore its key and reports whether the claim must be
// dropped, as the key isn't vacant any more, the store can't be read or ctx has ended. After an outage of the store, in
// which all leases may have expired, the former holder may still be running, and a change of holder would cost more than
// the wait. Without an outage, the former holder itself has failed, and there is no wait.
func (e *Elector) waitForFormerHolder(ctx context.Context) bool {
	e.mu.Lock()
	former := e.formerHolder
	outage := time.Since(e.storeResumedAt) < outageWindow
	e.mu.Unlock()
	for range restoreChecks {
		if !outage || former.Name == "" || e.opt.HolderAlive == nil || !e.opt.HolderAlive(ctx, former) {
			return false
		}
		if !wait.For(ctx, retryInterval) {
			return true
		}
		if _, err := e.readStore(ctx); err != nil || !e.vacant() {
			return true
		}
	}
	return false
}

// commitClaim opens a lease and writes this process's claim to the store, on the condition that there is no holder and
// the term is as last read.
func (e *Elector) commitClaim(ctx context.Context) (*Tenure, error) {
	e.mu.Lock()
	stored := e.stored
	e.mu.Unlock()
	lease, err := e.opt.Store.OpenLease(ctx, e.opt.LeaseTTL)
	if err != nil {
		return nil, err
	}
	h := Holder{e.opt.Name, e.opt.Addr, stored.term + 1, uuid.NewString()}
	value, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "lead")
	}
	term, err := json.Marshal(h.Term)
	if err != nil {
		return nil, errors.Wrap(err, "lead")
	}
	electorates := claimElectorates(stored.electorates, e.self, h.Term)
	sent := time.Now()
	rev, err := e.opt.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: keyHolder}, {Key: keyTerm, Rev: stored.termRev}, {Key: keyVoters, Rev: stored.electoratesRev}},
		Writes: []store.Write{
			{Key: keyHolder, Value: value, Lease: lease},
			{Key: keyTerm, Value: term},
			{Key: keyVoters, Value: encodeElectorates(electorates)},
			{Key: keyLastWrite, Value: writeID{h.ClaimID, 0}.encode()},
		},
	})
	if errors.Is(err, store.ErrOutcomeUnknown) {
		rev, err = e.resolveClaim(ctx, h)
	}
	if err != nil {
		return nil, err
	}
	tctx, cancel := context.WithCancel(ctx)
	return &Tenure{
		elector: e, claim: h, claimRev: rev, claimLoad: stored.load, claimedAt: sent, keyDeleted: make(chan struct{}, 1), ctx: tctx, cancel: cancel,
		writeSlot: make(chan struct{}, 1), lastWriteRev: rev,
		leaseID: lease, confirmedAt: sent, electorates: newTenureElectorates(electorates, sent),
	}, nil
}

// resolveClaim finds out whether a claim whose call got no answer took effect, and returns its revision if it did.
func (e *Elector) resolveClaim(ctx context.Context, h Holder) (uint64, error) {
	for range renewalsPerLease {
		entry, err := e.opt.Store.Get(ctx, keyLastWrite)
		switch {
		case err == nil:
			if parseWriteID(entry.Value).ClaimID == h.ClaimID {
				return entry.Rev, nil
			}
			return 0, store.ErrConflict
		case errors.Is(err, store.ErrNotFound):
			return 0, store.ErrConflict
		}
		if !wait.For(ctx, retryInterval) {
			break
		}
	}
	return 0, store.ErrOutcomeUnknown
}
