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

// maxOutage is the operators' bound: 4 s after the last disturbance, a lasting task for which there is
// room may be without a run for 3 s.
const maxOutage = 7 * time.Second

// endless is longer than any test.
const endless = time.Hour

// lastingStep is a step of n lastingStep tasks, at most three of which share a worker.
func lastingStep(n int) sched.Step {
	return sched.Step{Count: n, Size: wire.Size{CPU: 1000, Mem: 1000}, Estimate: time.Second, LongRunning: true, MaxPerWorker: 3}
}

// awaitRunning waits until n tasks run and returns how long that took.
func (f *testCluster) awaitRunning(n int, limit time.Duration) time.Duration {
	began := time.Now()
	for f.workers.Running() < n && time.Since(began) < limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// Feeds of a gift page stand still for nine seconds, with most of the workers' room free. The holder and a worker
// lose power together; the next holder can't reach that worker, and what the former one had
// started may still run there. It waits until that is impossible, longer than operators allow.
func TestHolderAndWorkerLostTogether(t *testing.T) {
	for _, carries := range []int{0, 1, 4} { // of six workers; 0: not known
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%d/%d", carries, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rng := newRand(seed)
					f := newTestCluster(t, 0, 6, newRand(seed+100), runsFor(endless))
					f.addHosts(3, 0, carries)
					time.Sleep(4 * time.Second)
					if r := f.submit("a", lastingStep(12)); r.Result != drive.ResultDone {
						t.Fatalf("submit: %+v", r)
					}
					f.awaitRunning(12, time.Second)
					time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
					f.workers.Lose(fmt.Sprintf("w%d", rng.IntN(4)))
					f.holder().kill()
					if took := f.awaitRunning(12, 2*maxOutage); took > maxOutage {
						t.Errorf("all tasks run again after %v, want at most %v", took, maxOutage)
					}
					f.stop()
					for _, fault := range f.workers.Faults() {
						t.Error(fault)
					}
				})
			})
		}
	}
}

// A failure domain is cut off with the holder in it, and the store takes the holder's key away at that
// moment. The successor doesn't reach the workers over there, on which the former holder renews
// leases as long as it may act: it must not start their tasks anew while they can run on.
func TestPartitionedHolderRevoked(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := newRand(seed)
				f := newTestCluster(t, 3, 6, newRand(seed+100), runsFor(endless))
				time.Sleep(3 * time.Second)
				f.submit("a", lastingStep(12))
				f.awaitRunning(12, time.Second)
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
				f.setCutZone(f.holder().zone)
				f.store.Revoke("lead/holder")
				time.Sleep(15 * time.Second)
				f.setCutZone("")
				time.Sleep(5 * time.Second)
				f.stop()
				for _, fault := range f.workers.Faults() {
					t.Error(fault)
				}
			})
		})
	}
}
