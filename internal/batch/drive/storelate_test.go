package drive_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// lateStore is the client of a holder that reads the store's answers late; the store carries out each call at once.
type lateStore struct {
	store.TxnStore
	delay *atomic.Int64 // in nanoseconds
}

// RenewLease implements store.TxnStore.
func (s *lateStore) RenewLease(ctx context.Context, id string) error {
	err := s.TxnStore.RenewLease(ctx, id)
	wait.For(ctx, time.Duration(s.delay.Load()))
	return err
}

// Commit implements store.TxnStore.
func (s *lateStore) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	rev, err := s.TxnStore.Commit(ctx, txn)
	wait.For(ctx, time.Duration(s.delay.Load()))
	return rev, err
}

// Guards against runs that lapse on healthy workers: a holder short of processor time reads the store's answers as late as
// the workers', and the leases count from the store's last confirmation.
func TestAllAnswersReadLate(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const workers = 30
				c := newTestCluster(t, 0, workers, newRand(1), runsFor(endless))
				late, storeDelay := &lateWorkers{}, &atomic.Int64{}
				c.wrapWorkers = func(client drive.WorkerClient) drive.WorkerClient {
					late.WorkerClient = client
					return late
				}
				c.wrapStore = func(client store.TxnStore) store.TxnStore { return &lateStore{client, storeDelay} }
				c.addHosts(1, 0, strongCapacity)
				time.Sleep(8 * time.Second)
				if r := c.submit("a", longRunningStep(workers)); r.Result != drive.ResultDone {
					t.Fatalf("submit: %+v", r)
				}
				c.awaitRunning(workers, time.Second)
				_, term := c.holder().currentHolder()
				late.setDelay(delay)
				storeDelay.Store(int64(delay))
				time.Sleep(12 * time.Second)
				expired := c.workers.ExpiredRuns()
				if _, now := c.holder().currentHolder(); now != term {
					t.Errorf("term %d, was %d", now, term)
				}
				c.stop()
				if expired > 0 {
					t.Errorf("the leases of %d of %d runs expired, %d answers given up", expired, workers, late.givenUp)
				}
			})
		})
	}
}
