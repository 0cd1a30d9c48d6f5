package lead

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// writeID identifies a write of a holder; it is the value of keyLastWrite.
type writeID struct {
	ClaimID string `json:"once"` // of the holder that wrote
	Seq     int64  `json:"seq"`  // sequence number within the tenure; 0: the claim itself
}

// encode returns the writeID in JSON.
func (w writeID) encode() []byte {
	b, err := json.Marshal(w)
	if err != nil {
		panic("lead: a writeID can always be encoded: " + err.Error())
	}
	return b
}

// parseWriteID decodes a writeID. For an invalid value it returns the zero writeID, which belongs to no holder.
func parseWriteID(b []byte) writeID {
	var w writeID
	if json.Unmarshal(b, &w) != nil {
		return writeID{}
	}
	return w
}

// Tenure is the time during which this process is the holder, from one claim to its end.
type Tenure struct {
	elector    *Elector        // that made the claim
	claim      Holder          // as written to the store
	claimRev   uint64          // revision of the claim
	claimLoad  int             // load stored at the time of the claim; 0: not known
	claimedAt  time.Time       // when the claim was sent
	keyDeleted chan struct{}   // signals that the holder's key was deleted
	ctx        context.Context // ends with the tenure
	cancel     context.CancelFunc

	writeSlot    chan struct{} // semaphore for one commit at a time, as each depends on the one before
	lastWriteRev uint64        // revision of the last write; guarded by writeSlot
	lastWriteSeq int64         // sequence number of the last write; guarded by writeSlot

	mu          sync.Mutex
	leaseID     string    // lease that the holder's key is bound to
	confirmedAt time.Time // see ConfirmedAt
	electorates tenureElectorates
}

// Context returns a context that ends with the tenure.
func (t *Tenure) Context() context.Context { return t.ctx }

// Term returns the term of the tenure.
func (t *Tenure) Term() int64 { return t.claim.Term }

// Load returns the load of the former holder as stored at the time of the claim, or 0 if it isn't known.
func (t *Tenure) Load() int { return t.claimLoad }

// ClaimedAt returns when this process claimed to be the holder.
func (t *Tenure) ClaimedAt() time.Time { return t.claimedAt }

// LoadWrite returns the write that stores the holder's load, as a number of workers. Processes that may claim later
// compare it with their capacity.
func LoadWrite(load int) store.Write {
	return store.Write{Key: keyLoad, Value: strconv.AppendInt(nil, int64(load), 10)}
}

// ConfirmedAt returns the time of the last call by which the store confirmed the tenure, taken before the call.
func (t *Tenure) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// setConfirmedAt sets the time of the last confirmation, unless a later one is known.
func (t *Tenure) setConfirmedAt(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// End ends the tenure without deleting the holder's key, for instance when a worker has been fenced by a newer holder.
func (t *Tenure) End() {
	t.cancel()
}

// Resign ends the tenure and deletes the holder's key, so that another process can take over at once.
func (t *Tenure) Resign(ctx context.Context) error {
	t.cancel()
	return t.elector.opt.Store.CloseLease(ctx, t.currentLease())
}

// MaxWrites is the largest number of writes in one Commit. The transaction also has a condition on keyLastWrite and a
// write of it.
const MaxWrites = store.MaxTxnOps - 2

// Commit carries out writes in one transaction if this process is still the holder, and returns ErrNotHolder if it isn't.
// It retries until the outcome is certain or the tenure ends.
//
// Each commit is conditional on the previous one being the last write in the store. Otherwise, a write whose call got no
// answer could be carried out seconds later, over a newer one, or a former holder's last write could arrive after its
// successor has read the store.
func (t *Tenure) Commit(writes []store.Write) error {
	select {
	case t.writeSlot <- struct{}{}:
		defer func() { <-t.writeSlot }()
	case <-t.ctx.Done():
		return errors.Wrap(ErrNotHolder, "tenure over")
	}
	t.lastWriteSeq++
	id := writeID{t.claim.ClaimID, t.lastWriteSeq}
	txn := store.Txn{
		Conditions: []store.Condition{{Key: keyLastWrite, Rev: t.lastWriteRev}},
		Writes:     append([]store.Write{{Key: keyLastWrite, Value: id.encode()}}, writes...),
	}
	for {
		sent := time.Now()
		rev, err := t.elector.opt.Store.Commit(t.ctx, txn)
		if errors.Is(err, store.ErrConflict) {
			rev, err = t.resolveConflict(id)
		}
		t.elector.recordStoreResult(err)
		switch {
		case err == nil:
			t.lastWriteRev = rev
			t.setConfirmedAt(sent)
			return nil
		case errors.Is(err, ErrNotHolder):
			t.cancel()
			return err
		case t.ctx.Err() != nil:
			return errors.Wrap(ErrNotHolder, t.ctx.Err().Error())
		case !errors.Is(err, store.ErrRefused) && !errors.Is(err, store.ErrOutcomeUnknown) && !errors.Is(err, store.ErrConflict):
			return err
		}
		if !wait.For(t.ctx, retryInterval) {
			return errors.Wrap(ErrNotHolder, "tenure over")
		}
	}
}

// resolveConflict finds out, after a conflict, whether the last write in the store is the one that id identifies, carried
// out by an earlier call that got no answer. If so, it returns the revision of the write; if another claim wrote last,
// it returns ErrNotHolder.
func (t *Tenure) resolveConflict(id writeID) (uint64, error) {
	entry, err := t.elector.opt.Store.Get(t.ctx, keyLastWrite)
	if err != nil {
		return 0, err
	}
	switch got := parseWriteID(entry.Value); {
	case got == id:
		return entry.Rev, nil
	case got.ClaimID != id.ClaimID:
		return 0, ErrNotHolder
	case entry.Rev != t.lastWriteRev:
		return 0, errors.Errorf("lead: the chain is at %d, expected %d", got.Seq, id.Seq)
	}
	return 0, store.ErrConflict
}

// renewLoop renews the lease until the tenure ends, and restores the holder's key when it was deleted or its lease has
// expired. It starts each renewal without waiting for the answer to the one before: a connection to the store may stop
// responding, and a slow store may take nearly the lease's TTL for each renewal.
func (t *Tenure) renewLoop() {
	tick := wait.NewTicker(t.elector.opt.LeaseTTL / renewalsPerLease)
	defer tick.Stop()
	expired := make(chan struct{}, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(chan struct{}, maxRenewalsInFlight)
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.keyDeleted:
			t.restoreKey()
		case <-expired:
			t.elector.opt.Log.Info("lease lapsed", "term", t.claim.Term)
			t.restoreKey()
		case <-tick.C():
			select {
			case inFlight <- struct{}{}:
			default:
				continue
			}
			wg.Go(func() {
				defer func() { <-inFlight }()
				if t.renewLease() {
					wait.Wake(expired)
				}
			})
		}
	}
}

// renewLease renews the current lease once and reports whether it has expired.
func (t *Tenure) renewLease() bool {
	lease := t.currentLease()
	sent := time.Now()
	err := t.elector.opt.Store.RenewLease(t.ctx, lease)
	t.elector.recordStoreResult(err)
	if err == nil {
		t.setConfirmedAt(sent)
	}
	return errors.Is(err, store.ErrLeaseNotFound) && lease == t.currentLease()
}

// Confirm renews the lease at once, so that ConfirmedAt isn't before the call if the store answers. It returns when the
// store has answered.
func (t *Tenure) Confirm() {
	t.renewLease() // renewLoop notices an expired lease itself
}

// currentLease returns the lease that the holder's key is bound to.
func (t *Tenure) currentLease() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaseID
}

// notifyKeyDeleted tells renewLoop that the holder's key was deleted.
func (t *Tenure) notifyKeyDeleted() {
	wait.Wake(t.keyDeleted)
}

// restoreKey writes the holder's key again with a new lease, as the lease may expire during an outage of the store. If
// another process has claimed the key in the meantime, the tenure ends.
func (t *Tenure) restoreKey() {
	lease, err := t.elector.opt.Store.OpenLease(t.ctx, t.elector.opt.LeaseTTL)
	if err != nil {
		t.elector.opt.Log.Info("cannot open a lease", "cause", err.Error())
		return
	}
	value, err := json.Marshal(t.claim)
	if err != nil {
		panic("lead: a holder can always be encoded: " + err.Error())
	}
	if err := t.Commit([]store.Write{{Key: keyHolder, Value: value, Lease: lease}}); err != nil {
		t.elector.opt.Log.Info("cannot restore the holder's key", "cause", err.Error())
		return
	}
	t.mu.Lock()
	t.leaseID = lease
	t.mu.Unlock()
	t.elector.opt.Log.Info("holder again", "term", t.claim.Term)
}
