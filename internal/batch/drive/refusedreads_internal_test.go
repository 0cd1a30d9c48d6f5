package drive

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/fake/txkv"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// refusingStore refuses full reads, as over its rate limit, and has dropped its history.
type refusingStore struct {
	store.TxnStore
	calls atomic.Int64
}

// Range implements store.TxnStore.
func (s *refusingStore) Range(ctx context.Context, _ string) (store.Listing, error) {
	s.calls.Add(1)
	wait.For(ctx, 4*time.Millisecond)
	return store.Listing{}, store.ErrRefused
}

// Watch implements store.TxnStore.
func (s *refusingStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Change, uint64, error) {
	s.calls.Add(1)
	wait.For(ctx, 4*time.Millisecond)
	return nil, after, store.ErrCompacted
}

// Guards against a holder that uses up the store's rate limit by itself: while its full reads are refused for that limit and
// its watch's history is gone, it makes the next call without a pause.
func TestRefusedReadsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingStore{TxnStore: (&txkv.Service{}).Client(nil)}
		w := &prefixWatch{store: s, prefix: "op/", readInterval: intentReadInterval, onChange: func(time.Time, []store.Entry) {}, onConfirm: func(time.Time) {}}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		w.run(ctx)
		if n := s.calls.Load(); n > 200 {
			t.Errorf("%d calls in 10 s, each refused", n)
		}
	})
}

// compactingStore has always dropped the history that a watch asks for; its full reads succeed.
type compactingStore struct{ refusingStore }

// Range implements store.TxnStore.
func (s *compactingStore) Range(ctx context.Context, prefix string) (store.Listing, error) {
	s.calls.Add(1)
	return s.TxnStore.Range(ctx, prefix)
}

// Guards against calls without a pause when each watch ends at once although the full read before it succeeded.
func TestRepeatedCompactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &compactingStore{refusingStore{TxnStore: (&txkv.Service{}).Client(nil)}}
		w := &prefixWatch{store: s, prefix: "op/", readInterval: intentReadInterval, onChange: func(time.Time, []store.Entry) {}, onConfirm: func(time.Time) {}}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		w.run(ctx)
		if n := s.calls.Load(); n > 200 {
			t.Errorf("%d calls in 10 s, each watch ended at once", n)
		}
	})
}
