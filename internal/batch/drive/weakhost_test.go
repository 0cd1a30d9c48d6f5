package drive_test

import (
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

const (
	// strongTurn has the workers of the test take a sixth of a host's processor, and
	// weakTurn more than all of it.
	strongTurn = time.Millisecond
	weakTurn   = 8 * time.Millisecond

	strongCapacity = 800 // workers
	weakCapacity   = 100

	workerCount = 150
	taskCount   = 100
)

// A feed that is to last stands still on most workers, for many seconds and again and again,
// though all workers are sound and have room. The holder was lost, and of all hosts a weak one won
// the race for its key. Its processor can't do the work of so many workers: orders time out, leases
// of workers are renewed too late, and so is its own; then the next weak host takes over.
func TestWeakHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 0, workerCount, newRand(1), runsFor(time.Hour))
		f.addHosts(2, strongTurn, strongCapacity)
		time.Sleep(3 * time.Second) // one of these holds
		f.addHosts(12, weakTurn, weakCapacity)
		lasting := sched.Step{Count: taskCount, Size: newStep(1).Size, LongRunning: true}
		if r := f.submit("a", lasting); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		time.Sleep(3 * time.Second)
		for range 8 {
			old := f.holder()
			if old == nil {
				t.Error("nobody holds")
				break
			}
			old.kill()
			old.start()
			if d := f.longestShortfall(12*time.Second, taskCount); d > maxOutage {
				t.Errorf("after %s was lost, lasting tasks were without a run for %s", old.name, d)
			}
		}
		if n := f.workers.Lapsed(); n > 0 {
			t.Errorf("%d runs lapsed", n)
		}
		f.stop()
		for _, fault := range f.workers.Faults() {
			t.Error(fault)
		}
	})
}

// Hundreds of runs lapse though all workers are sound. Some machines have turned slow as the holder is lost, and one
// of them wins the race for its key.
func TestSlowedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 0, workerCount, newRand(1), runsFor(time.Hour))
		f.addHosts(8, strongTurn, strongCapacity)
		time.Sleep(3 * time.Second)
		lasting := sched.Step{Count: taskCount, Size: newStep(1).Size, LongRunning: true}
		if r := f.submit("a", lasting); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		time.Sleep(3 * time.Second)
		for range 4 {
			old := f.holder()
			if old == nil {
				t.Error("nobody holds")
				break
			}
			sound := f.hosts[0]
			if sound == old {
				sound = f.hosts[1]
			}
			for _, h := range f.hosts {
				if h != sound {
					h.setSpeed(weakTurn, weakCapacity)
				}
			}
			old.kill()
			old.start()
			if d := f.longestShortfall(12*time.Second, taskCount); d > maxOutage {
				t.Errorf("after %s was lost, lasting tasks were without a run for %s", old.name, d)
			}
			for _, h := range f.hosts {
				h.setSpeed(strongTurn, strongCapacity)
			}
		}
		if n := f.workers.Lapsed(); n > 0 {
			t.Errorf("%d runs lapsed", n)
		}
		f.stop()
		for _, fault := range f.workers.Faults() {
			t.Error(fault)
		}
	})
}

// longestShortfall watches the workers for a while and returns the longest time for which fewer than n
// tasks ran there.
func (f *testCluster) longestShortfall(span time.Duration, n int) time.Duration {
	const every = 50 * time.Millisecond
	var now, longest time.Duration
	for range span / every {
		time.Sleep(every)
		f.workers.Lapsed() // leases that have run out end their runs
		if now += every; f.workers.Running() >= n {
			now = 0
		}
		longest = max(longest, now)
	}
	return longest
}
