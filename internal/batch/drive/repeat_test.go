package drive_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// slowWrites is a store whose writes take longer.
type slowWrites struct {
	store.TxnStore
	delay *atomic.Int64 // in nanoseconds
}

// Commit implements store.TxnStore.
func (s slowWrites) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	wait.For(ctx, time.Duration(s.delay.Load()))
	return s.TxnStore.Commit(ctx, t)
}

// Guards against polls that bring nothing but ends which the holder has already: while it waits for them to be stored, each
// such poll takes processor time from the answers to others.
func TestStoredEndsAreAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 200
		c := newTestCluster(t, 0, 30, newRand(1), runsFor(2*time.Second))
		l := &steadyLoad{cluster: c, totals: loadTotals{done: map[string]bool{}, newestSeq: map[string]int64{}}}
		c.wrapWorkers = func(client drive.WorkerClient) drive.WorkerClient { return &loadCounter{client, &l.totals} }
		var delay atomic.Int64
		c.wrapStore = func(client store.TxnStore) store.TxnStore { return slowWrites{client, &delay} }
		c.addHosts(1, 0, strongCapacity)
		time.Sleep(8 * time.Second)
		for _, id := range []string{"a", "b"} {
			if r := c.submit(id, newStep(tasks/2), newStep(tasks/2, 0)); r.Result != drive.ResultDone {
				t.Fatalf("submit: %+v", r)
			}
		}
		delay.Store(int64(600 * time.Millisecond)) // an end waits for two writes at most
		c.awaitState(20*time.Second, "a", sched.StateCompleted)
		c.awaitState(20*time.Second, "b", sched.StateCompleted)
		n := l.counts()
		c.stop()
		if n.repeats > 0 || n.expired > 0 || n.served != 2*tasks {
			t.Errorf("%d of %d polls brought only ends that were read before; %d runs expired, %d tasks served", n.repeats, n.polls, n.expired, n.served)
		}
	})
}
