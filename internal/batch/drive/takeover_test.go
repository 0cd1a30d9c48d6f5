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

// calm is the operators' bound: 4 s after the last disturbance, a lasting task for which there is
// room may be without a run for 3 s.
const calm = 7 * time.Second

// forever is longer than any test.
const forever = time.Hour

// lasting is a step of n lasting tasks, at most three of which share a worker.
func lasting(n int) sched.Step {
	return sched.Step{Count: n, Size: wire.Size{CPU: 1000, Mem: 1000}, Estimate: time.Second, Lasting: true, Apart: 3}
}

// settled waits until n tasks run and returns how long that took.
func (f *fleet) settled(n int, limit time.Duration) time.Duration {
	began := time.Now()
	for f.crew.Running() < n && time.Since(began) < limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// Feeds of a gift page stand still for nine seconds, with most of the workers' room free. The holder and a worker
// lose power together; the next holder can't reach that worker, and what the former one had
// started may still run there. It waits until that is impossible, longer than operators allow.
func TestHolderAndWorkerLost(t *testing.T) {
	for _, carries := range []int{0, 1, 4} { // of six workers; 0: not known
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%d/%d", carries, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rng := source(seed)
					f := newFleet(t, 0, 6, source(seed+100), seconds(forever))
					f.add(3, 0, carries)
					time.Sleep(4 * time.Second)
					if r := f.submit("a", lasting(12)); r.Result != drive.ResultDone {
						t.Fatalf("submit: %+v", r)
					}
					f.settled(12, time.Second)
					time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
					f.crew.Lose(fmt.Sprintf("w%d", rng.IntN(4)))
					f.holder().kill()
					if took := f.settled(12, 2*calm); took > calm {
						t.Errorf("all tasks run again after %v, want at most %v", took, calm)
					}
					f.stop()
					for _, fault := range f.crew.Faults() {
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
func TestHolderRevoked(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := source(seed)
				f := newFleet(t, 3, 6, source(seed+100), seconds(forever))
				time.Sleep(3 * time.Second)
				f.submit("a", lasting(12))
				f.settled(12, time.Second)
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
				f.setCut(f.holder().zone)
				f.store.Revoke("lead/holder")
				time.Sleep(15 * time.Second)
				f.setCut("")
				time.Sleep(5 * time.Second)
				f.stop()
				for _, fault := range f.crew.Faults() {
					t.Error(fault)
				}
			})
		})
	}
}
