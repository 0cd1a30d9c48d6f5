package drive_test

import (
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
)

// Guards against tasks that stand still for good. All workers are out of contact until their leases have expired, so the
// stored list of tracked workers becomes empty; when they are back, they have to be tracked again.
func TestAllLeasesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 6
		c := newTestCluster(t, 1, workers, newRand(1), runsFor(endless))
		time.Sleep(8 * time.Second)
		if r := c.submit("a", longRunningStep(workers)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		c.awaitRunning(workers, time.Second)
		setUnreachable := func(unreachable bool) {
			for _, w := range c.workers.Members() {
				c.workers.SetUnreachable(w.ID, unreachable)
			}
		}
		setUnreachable(true)
		time.Sleep(6 * time.Second) // the leases expire
		if r := c.submit("b", newStep(1)); r.Result != drive.ResultDone {
			t.Errorf("submit: %+v", r) // it also has the list of tracked workers stored
		}
		time.Sleep(time.Second)
		setUnreachable(false)
		if took := c.awaitRunning(workers+1, 2*maxOutage); took > maxOutage {
			t.Errorf("%d of %d tasks run %v after the workers are back", c.workers.RunningCount(), workers+1, took)
		}
		c.stop()
	})
}
