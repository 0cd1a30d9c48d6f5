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

// link is the value of the chain's key: whose write it was and which.
type link struct {
	Once string `json:"once"`
	Seq  int64  `json:"seq"`
}

func (k link) bytes() []byte {
	b, err := json.Marshal(k)
	if err != nil {
		panic("lead: a link can always be encoded: " + err.Error())
	}
	return b
}

// parseLink returns the zero link for a value that isn't one, which is nobody's.
func parseLink(b []byte) link {
	var k link
	if json.Unmarshal(b, &k) != nil {
		return link{}
	}
	return k
}

// Tenure is this process's time as the holder.
type Tenure struct {
	lead  *Lead
	claim Holder
	from  uint64        // revision of the claim
	load  int           // as recorded at the claim
	gone  chan struct{} // the holder's key has vanished
	ctx   context.Context
	end   context.CancelFunc

	write chan struct{} // holds one token: one write at a time, as each depends on the one before
	rev   uint64
	seq   int64

	mu    sync.Mutex
	lease string
	sure  time.Time
}

// Context ends with the tenure.
func (t *Tenure) Context() context.Context { return t.ctx }

// Term returns the tenure's term.
func (t *Tenure) Term() int64 { return t.claim.Term }

// Load returns the load that was recorded at the claim, 0 if none was.
func (t *Tenure) Load() int { return t.load }

// LoadWrite returns the write that records how much the holder carries. Processes that may claim
// later compare it with what they can carry.
func LoadWrite(load int) store.Write {
	return store.Write{Key: keyLoad, Value: strconv.AppendInt(nil, int64(load), 10)}
}

// Sure returns when the store last confirmed the tenure.
func (t *Tenure) Sure() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sure
}

func (t *Tenure) confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.sure) {
		t.sure = at
	}
}

// Over ends the tenure, as when a worker's fence shows that there is a newer holder.
func (t *Tenure) Over() {
	t.end()
}

// Resign ends the tenure and gives up the holder's key, so that another takes over at once.
func (t *Tenure) Resign(ctx context.Context) error {
	t.end()
	return t.lead.opt.Store.Close(ctx, t.present())
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
	case t.write <- struct{}{}:
		defer func() { <-t.write }()
	case <-t.ctx.Done():
		return errors.Wrap(ErrLost, "tenure over")
	}
	t.seq++
	k := link{t.claim.Once, t.seq}
	txn := store.Txn{
		If: []store.Cond{{Key: keyChain, Rev: t.rev}},
		Do: append([]store.Write{{Key: keyChain, Value: k.bytes()}}, do...),
	}
	for {
		sent := time.Now()
		rev, err := t.lead.opt.Store.Commit(t.ctx, txn)
		if errors.Is(err, store.ErrConflict) {
			rev, err = t.check(k)
		}
		t.lead.note(err)
		switch {
		case err == nil:
			t.rev = rev
			t.confirm(sent)
			return nil
		case errors.Is(err, ErrLost):
			t.end()
			return err
		case t.ctx.Err() != nil:
			return errors.Wrap(ErrLost, t.ctx.Err().Error())
		case !errors.Is(err, store.ErrBusy) && !errors.Is(err, store.ErrUnknown) && !errors.Is(err, store.ErrConflict):
			return err
		}
		if !wait.For(t.ctx, retryPause) {
			return errors.Wrap(ErrLost, "tenure over")
		}
	}
}

// check finds out, after a conflict, whether the chain's newest write is k itself, sent
// before without an answer.
func (t *Tenure) check(k link) (uint64, error) {
	e, err := t.lead.opt.Store.Get(t.ctx, keyChain)
	if err != nil {
		return 0, err
	}
	switch got := parseLink(e.Value); {
	case got == k:
		return e.Rev, nil
	case got.Once != k.Once:
		return 0, ErrLost
	case e.Rev != t.rev:
		return 0, errors.Errorf("lead: the chain is at %d, expected %d", got.Seq, k.Seq)
	}
	return 0, store.ErrConflict
}

// keep renews the lease until the tenure is over. It doesn't wait for one renewal's answer with the next:
// a connection to the store may go silent, and a store that is slow may take nearly the lease for each.
func (t *Tenure) keep() {
	tick := time.NewTicker(t.lead.opt.Lease / renewals)
	defer tick.Stop()
	lapsed := make(chan struct{}, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	under := make(chan struct{}, renewals)
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.gone:
			t.restore()
		case <-lapsed:
			t.lead.opt.Log.Info("lease lapsed", "term", t.claim.Term)
			t.restore()
		case <-tick.C:
			select {
			case under <- struct{}{}:
			default:
				continue // enough of them wait for an answer
			}
			wg.Go(func() {
				defer func() { <-under }()
				if t.renew() {
					wait.Kick(lapsed)
				}
			})
		}
	}
}

// renew renews the present lease once and reports whether that has lapsed.
func (t *Tenure) renew() bool {
	lease := t.present()
	sent := time.Now()
	err := t.lead.opt.Store.Renew(t.ctx, lease)
	t.lead.note(err)
	if err == nil {
		t.confirm(sent)
	}
	return errors.Is(err, store.ErrLapsed) && lease == t.present()
}

// present returns the lease that the holder's key is bound to.
func (t *Tenure) present() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease
}

// vanished tells that the holder's key is gone.
func (t *Tenure) vanished() {
	wait.Kick(t.gone)
}

// restore writes the holder's key anew after its lease has lapsed, as it may while the store
// is down. Where another process was faster, the tenure ends.
func (t *Tenure) restore() {
	lease, err := t.lead.opt.Store.Open(t.ctx, t.lead.opt.Lease)
	if err != nil {
		t.lead.opt.Log.Info("no lease", "cause", err.Error())
		return
	}
	value, err := json.Marshal(t.claim)
	if err != nil {
		panic("lead: a holder can always be encoded: " + err.Error())
	}
	if err := t.Commit([]store.Write{{Key: keyHolder, Value: value, Lease: lease}}); err != nil {
		t.lead.opt.Log.Info("not restored", "cause", err.Error())
		return
	}
	t.mu.Lock()
	t.lease = lease
	t.mu.Unlock()
	t.lead.opt.Log.Info("holder again", "term", t.claim.Term)
}
