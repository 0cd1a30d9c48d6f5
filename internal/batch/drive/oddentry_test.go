package drive_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/fake/codec"
)

// Guards against a worker that is ignored for good: an entry of another writer under its id says that its process started far
// in the future, so that all that the worker says of itself seems older.
func TestEntryFromTheFuture(t *testing.T) {
	for _, startedAt := range []int64{math.MaxInt64, time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()} {
		synctest.Test(t, func(t *testing.T) {
			c := newTestCluster(t, 1, 1, newRand(1), runsFor(time.Second))
			defer c.stop()
			time.Sleep(8 * time.Second)
			odd := c.workers.Members()
			odd[0].StartedAt = startedAt
			if err := codec.WriteMembers(c.store, odd); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			c.listWorkers()
			if r := c.submit("a", newStep(4)); r.Result != drive.ResultDone {
				t.Fatalf("submit: %+v", r)
			}
			c.awaitState(5*time.Second, "a", sched.StateCompleted)
		})
	}
}
