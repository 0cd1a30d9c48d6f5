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

// writeID is the value of the chain's key: whose write it was and which.
type writeID struct {
	ClaimID string `json:"once"`
	Seq     int64  `json:"seq"`
}

func (k writeID) encode() []byte {
	b, err := json.Marshal(k)
	if err != nil {
		panic("lead: a link can always be encoded: " + err.Error())
	}
	return b
}

// parseWriteID returns the zero link for a value that isn't one, which is nobody's.
func parseWriteID(b []byte) writeID {
	var k writeID
	if json.Unmarshal(b, &k) != nil {
		return writeID{}
	}
	return k
}

// Tenure is this process's time as the holder.
type Tenure struct {
	elector    *Elector
	claim      Holder
	claimRev   uint64        // revision of the claim
	claimLoad  int           // as recorded at the claim
	keyDeleted chan struct{} // the holder's key has vanished
	ctx        context.Context
	cancel     context.CancelFunc

	writeSlot    chan struct{} // holds one token: one write at a time, as each depends on the one before
	lastWriteRev uint64
	lastWriteSeq int64

	mu          sync.Mutex
	leaseID     string
	confirmedAt time.Time
}

// Context ends with the tenure.
func (t *Tenure) Context() context.Context { return t.ctx }

// Term returns the tenure's term.
func (t *Tenure) Term() int64 { return t.claim.Term }

// Load returns the load that was recorded at the claim, 0 if none was.
func (t *Tenure) Load() int { return t.claimLoad }

// LoadWrite returns the write that records how much the holder carries. Processes that may claim
// later compare it with what they can carry.
func LoadWrite(load int) store.Write {
	return store.Write{Key: keyLoad, Value: strconv.AppendInt(nil, int64(load), 10)}
}

// ConfirmedAt returns when the store last confirmed the tenure.
func (t *Tenure) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

func (t *Tenure) setConfirmedAt(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// End ends the tenure, as when a worker's fence shows that there is a newer holder.
func (t *Tenure) End() {
	t.cancel()
}

// Resign ends the tenure and gives up the holder's key, so that another takes over at once.
func (t *Tenure) Resign(ctx context.Context) error {
	t.cancel()
	return t.elector.opt.Store.Close(ctx, t.currentLease())
}

// MaxWrites is how many writes one Commit takes.
const MaxWrites = store.MaxTxn - 2

// Commit carries out writes if this process is still the holder; ErrLost when it isn't. It
// goes on until the outcome is certain or the tenure is over.
//
// The failure it guards against: a write without an answer is carried out seconds later, over
// a newer one, or a former holder's last write arrives after its successor has read. Each
// write demands that the one before is the chain's newest, so that either can't be.
func (t *Tenure) Commit(do []store.Write) error {
	select {
	case t.writeSlot <- struct{}{}:
		defer func() { <-t.writeSlot }()
	case <-t.ctx.Done():
		return errors.Wrap(ErrNotHolder, "tenure over")
	}
	t.lastWriteSeq++
	k := writeID{t.claim.ClaimID, t.lastWriteSeq}
	txn := store.Txn{
		If: []store.Cond{{Key: keyLastWrite, Rev: t.lastWriteRev}},
		Do: append([]store.Write{{Key: keyLastWrite, Value: k.encode()}}, do...),
	}
	for {
		sent := time.Now()
		rev, err := t.elector.opt.Store.Commit(t.ctx, txn)
		if errors.Is(err, store.ErrConflict) {
			rev, err = t.resolveConflict(k)
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
		case !errors.Is(err, store.ErrBusy) && !errors.Is(err, store.ErrUnknown) && !errors.Is(err, store.ErrConflict):
			return err
		}
		if !wait.For(t.ctx, retryInterval) {
			return errors.Wrap(ErrNotHolder, "tenure over")
		}
	}
}

// resolveConflict finds out, after a conflict, whether the chain's newest write is k itself, sent
// before without an answer.
func (t *Tenure) resolveConflict(k writeID) (uint64, error) {
	e, err := t.elector.opt.Store.Get(t.ctx, keyLastWrite)
	if err != nil {
		return 0, err
	}
	switch got := parseWriteID(e.Value); {
	case got == k:
		return e.Rev, nil
	case got.ClaimID != k.ClaimID:
		return 0, ErrNotHolder
	case e.Rev != t.lastWriteRev:
		return 0, errors.Errorf("lead: the chain is at %d, expected %d", got.Seq, k.Seq)
	}
	return 0, store.ErrConflict
}

// renewLoop renews the lease until the tenure is over. It doesn't wait for one renewal's answer with the next:
// a connection to the store may go silent, and a store that is slow may take nearly the lease for each.
func (t *Tenure) renewLoop() {
	tick := time.NewTicker(t.elector.opt.LeaseTTL / renewalsPerLease)
	defer tick.Stop()
	lapsed := make(chan struct{}, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	under := make(chan struct{}, renewalsPerLease)
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.keyDeleted:
			t.restoreKey()
		case <-lapsed:
			t.elector.opt.Log.Info("lease lapsed", "term", t.claim.Term)
			t.restoreKey()
		case <-tick.C:
			select {
			case under <- struct{}{}:
			default:
				continue // enough of them wait for an answer
			}
			wg.Go(func() {
				defer func() { <-under }()
				if t.renewLease() {
					wait.Kick(lapsed)
				}
			})
		}
	}
}

// renewLease renews the present lease once and reports whether that has lapsed.
func (t *Tenure) renewLease() bool {
	lease := t.currentLease()
	sent := time.Now()
	err := t.elector.opt.Store.Renew(t.ctx, lease)
	t.elector.recordStoreResult(err)
	if err == nil {
		t.setConfirmedAt(sent)
	}
	return errors.Is(err, store.ErrLapsed) && lease == t.currentLease()
}

// currentLease returns the lease that the holder's key is bound to.
func (t *Tenure) currentLease() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaseID
}

// notifyKeyDeleted tells that the holder's key is gone.
func (t *Tenure) notifyKeyDeleted() {
	wait.Kick(t.keyDeleted)
}

// restoreKey writes the holder's key anew after its lease has lapsed, as it may while the store
// is down. Where another process was faster, the tenure ends.
func (t *Tenure) restoreKey() {
	lease, err := t.elector.opt.Store.Open(t.ctx, t.elector.opt.LeaseTTL)
	if err != nil {
		t.elector.opt.Log.Info("no lease", "cause", err.Error())
		return
	}
	value, err := json.Marshal(t.claim)
	if err != nil {
		panic("lead: a holder can always be encoded: " + err.Error())
	}
	if err := t.Commit([]store.Write{{Key: keyHolder, Value: value, Lease: lease}}); err != nil {
		t.elector.opt.Log.Info("not restored", "cause", err.Error())
		return
	}
	t.mu.Lock()
	t.leaseID = lease
	t.mu.Unlock()
	t.elector.opt.Log.Info("holder again", "term", t.claim.Term)
}
