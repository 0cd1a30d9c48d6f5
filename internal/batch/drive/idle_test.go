package drive_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a long-running task that stands still though its worker is back after its lease has expired: nothing else
// had to be stored then, and so the worker wasn't recorded as tracked again.
func TestWorkerReturnsWhileIdle(t *testing.T) {
	const limit = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 1, 2, newRand(1), runsFor(endless))
		defer c.stop()
		time.Sleep(2 * time.Second)
		c.workers.SetUnreachable("w0", true)
		time.Sleep(20 * time.Second)
		step := longRunningStep(2)
		step.MaxPerWorker = 1
		c.submit("a", step)
		time.Sleep(5 * time.Second)
		if n := c.workers.RunningCount(); n != 1 {
			t.Fatalf("%d tasks run beside the lost worker, want 1", n)
		}
		c.workers.SetUnreachable("w0", false)
		if took := c.awaitRunning(2, 20*time.Second); took > limit {
			t.Errorf("the other task runs %v after the worker's return, want at most %v", took, limit)
		}
	})
}
