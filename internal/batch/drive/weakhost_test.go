package drive_test

import (
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

const (
	// With strongTurn the workers of the test take a sixth of a host's processor time, with weakTurn more than
	// all of it.
	strongTurn = time.Millisecond
	weakTurn   = 8 * time.Millisecond

	strongCapacity = 800 // workers that a strong host can handle
	weakCapacity   = 100 // workers that a weak host can handle

	workerCount = 150
	taskCount   = 100
)

// Guards against long-running tasks that stay without a run on most workers, for many seconds and repeatedly,
// although all workers are healthy and have free resources. The holder is lost, and a weak host wins the election.
// Its processor can't handle so many workers: orders time out, the leases of workers are renewed too late, and so
// is its own; then the next weak host takes over.
func TestWeakHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 0, workerCount, newRand(1), runsFor(time.Hour))
		c.addHosts(2, strongTurn, strongCapacity)
		time.Sleep(3 * time.Second) // one of these is the holder
		c.addHosts(12, weakTurn, weakCapacity)
		step := sched.Step{Count: taskCount, Size: newStep(1).Size, LongRunning: true}
		if r := c.submit("a", step); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		time.Sleep(3 * time.Second)
		for range 8 {
			former := c.holder()
			if former == nil {
				t.Error("no host is the holder")
				break
			}
			former.kill()
			former.start()
			if outage := c.longestShortfall(12*time.Second, taskCount); outage > maxOutage {
				t.Errorf("after %s was lost, long-running tasks were without a run for %s", former.name, outage)
			}
		}
		if n := c.workers.ExpiredRuns(); n > 0 {
			t.Errorf("the leases of %d runs expired", n)
		}
		c.stop()
		for _, violation := range c.workers.Violations() {
			t.Error(violation)
		}
	})
}

// Guards against hundreds of runs whose leases expire although all workers are healthy. Some hosts have become slow
// when the holder is lost, and one of them wins the election.
func TestSlowedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 0, workerCount, newRand(1), runsFor(time.Hour))
		c.addHosts(8, strongTurn, strongCapacity)
		time.Sleep(3 * time.Second)
		step := sched.Step{Count: taskCount, Size: newStep(1).Size, LongRunning: true}
		if r := c.submit("a", step); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		time.Sleep(3 * time.Second)
		for range 4 {
			former := c.holder()
			if former == nil {
				t.Error("no host is the holder")
				break
			}
			fast := c.hosts[0]
			if fast == former {
				fast = c.hosts[1]
			}
			for _, h := range c.hosts {
				if h != fast {
					h.setSpeed(weakTurn, weakCapacity)
				}
			}
			former.kill()
			former.start()
			if outage := c.longestShortfall(12*time.Second, taskCount); outage > maxOutage {
				t.Errorf("after %s was lost, long-running tasks were without a run for %s", former.name, outage)
			}
			for _, h := range c.hosts {
				h.setSpeed(strongTurn, strongCapacity)
			}
		}
		if n := c.workers.ExpiredRuns(); n > 0 {
			t.Errorf("the leases of %d runs expired", n)
		}
		c.stop()
		for _, violation := range c.workers.Violations() {
			t.Error(violation)
		}
	})
}

// longestShortfall watches the workers for span and returns the longest time during which fewer than n tasks ran.
func (c *testCluster) longestShortfall(span time.Duration, n int) time.Duration {
	const interval = 50 * time.Millisecond
	var current, longest time.Duration
	for range span / interval {
		time.Sleep(interval)
		c.workers.ExpiredRuns() // ends the runs whose leases have expired
		if current += interval; c.workers.RunningCount() >= n {
			current = 0
		}
		longest = max(longest, current)
	}
	return longest
}
