package drive_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// maxOutage is the operators' bound on the outage of a long-running task for which there are enough resources: 3 s
// without a run, not counting the first 4 s after the last disturbance.
const maxOutage = 7 * time.Second

// endless is longer than any test.
const endless = time.Hour

// longRunningStep returns a step of n long-running tasks, at most three of them on one worker.
func longRunningStep(n int) sched.Step {
	return sched.Step{Count: n, Size: wire.Size{CPU: 1000, Mem: 1000}, Estimate: time.Second, LongRunning: true, MaxPerWorker: 3}
}

// awaitRunning waits up to limit until n tasks run and returns how long that took.
func (c *testCluster) awaitRunning(n int, limit time.Duration) time.Duration {
	start := time.Now()
	for c.workers.RunningCount() < n && time.Since(start) < limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// Guards against long-running tasks that stay without a run for nine seconds although most resources of the workers
// are free. The holder and a worker lose power together. The next holder can't reach that worker, where runs of
// the former holder may still be active, and waits until that is impossible, longer than operators allow.
func TestHolderAndWorkerLostTogether(t *testing.T) {
	for _, capacity := range []int{0, 1, 4} { // how many of the six workers a host can handle; 0: unknown
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%d/%d", capacity, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rng := newRand(seed)
					c := newTestCluster(t, 0, 6, newRand(seed+100), runsFor(endless))
					c.addHosts(3, 0, capacity)
					time.Sleep(4 * time.Second)
					if r := c.submit("a", longRunningStep(12)); r.Result != drive.ResultDone {
						t.Fatalf("submit: %+v", r)
					}
					c.awaitRunning(12, time.Second)
					time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
					c.workers.Kill(fmt.Sprintf("w%d", rng.IntN(4)))
					c.holder().kill()
					if took := c.awaitRunning(12, 2*maxOutage); took > maxOutage {
						t.Errorf("all tasks run again after %v, want at most %v", took, maxOutage)
					}
					c.stop()
					for _, violation := range c.workers.Violations() {
						t.Error(violation)
					}
				})
			})
		}
	}
}

// The holder's failure domain is partitioned, and the store deletes the holder's key at the same moment. The
// successor can't reach the workers on the other side, whose leases the former holder renews as long as it may
// act. The successor must not restart their tasks while they may still run there.
func TestPartitionedHolderRevoked(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := newRand(seed)
				c := newTestCluster(t, 3, 6, newRand(seed+100), runsFor(endless))
				time.Sleep(3 * time.Second)
				c.submit("a", longRunningStep(12))
				c.awaitRunning(12, time.Second)
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
				c.setCutZone(c.holder().zone)
				c.store.RemoveKey("lead/holder")
				time.Sleep(15 * time.Second)
				c.setCutZone("")
				time.Sleep(5 * time.Second)
				c.stop()
				for _, violation := range c.workers.Violations() {
					t.Error(violation)
				}
			})
		})
	}
}
