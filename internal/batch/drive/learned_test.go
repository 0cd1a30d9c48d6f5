package drive_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// smallValues is a client of a store that refuses transactions with a value of a key above a limit.
type smallValues struct {
	store.TxnStore
	key   string
	limit *atomic.Int64 // bytes
}

// Commit implements store.TxnStore.
func (s *smallValues) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	for _, w := range t.Writes {
		if w.Key == s.key && int64(len(w.Value)) > s.limit.Load() {
			return 0, errors.Errorf("400: %d bytes", len(w.Value))
		}
	}
	return s.TxnStore.Commit(ctx, t)
}

// Guards against submissions and cancels that nobody answers: the store refuses the learned model, with it all that is written in
// the same transaction, and each holder ends its tenure at once.
func TestLearnedModelRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 0, 2, newRand(1), runsFor(300*time.Millisecond))
		var limit atomic.Int64
		limit.Store(1 << 20)
		c.wrapStore = func(s store.TxnStore) store.TxnStore { return &smallValues{s, "learned", &limit} }
		c.addHosts(2, 0, strongCapacity)
		time.Sleep(8 * time.Second)
		_, term := c.holder().currentHolder()
		limit.Store(0)
		for i := range 40 {
			id := fmt.Sprintf("j%d", i)
			if r := c.submit(id, newStep(1)); r.Result != drive.ResultDone {
				t.Errorf("submission of %s: %+v", id, r)
			}
			if i%2 == 0 {
				if r := c.request(time.Second, drive.Request{Verb: drive.VerbCancel, Host: "h", Path: "/q/" + id}); r.Result != drive.ResultDone {
					t.Errorf("cancel of %s: %+v", id, r)
				}
			}
			time.Sleep(400 * time.Millisecond)
		}
		if h := c.holder(); h == nil || h.term != term {
			t.Errorf("the holder of term %d has ended its tenure", term)
		}
		c.stop()
	})
}
