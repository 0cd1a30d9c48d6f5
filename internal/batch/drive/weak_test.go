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

	strongCarries = 800 // workers
	weakCarries   = 100

	weakWorkers = 150
	weakTasks   = 100
)

// A feed that is to last stands still on most workers, for many seconds and again and again,
// though all workers are sound and have room. The holder was lost, and of all hosts a weak one won
// the race for its key. Its processor can't do the work of so many workers: orders time out, leases
// of workers are renewed too late, and so is its own; then the next weak host takes over.
func TestWeakHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, weakWorkers, source(1), seconds(time.Hour))
		f.add(2, strongTurn, strongCarries)
		time.Sleep(3 * time.Second) // one of these holds
		f.add(12, weakTurn, weakCarries)
		lasting := sched.Step{Count: weakTasks, Size: step(1).Size, Lasting: true}
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
			if d := f.short(12*time.Second, weakTasks); d > calm {
				t.Errorf("after %s was lost, lasting tasks were without a run for %s", old.name, d)
			}
		}
		if n := f.crew.Lapsed(); n > 0 {
			t.Errorf("%d runs lapsed", n)
		}
		f.stop()
		for _, fault := range f.crew.Faults() {
			t.Error(fault)
		}
	})
}

// Hundreds of runs lapse though all workers are sound. Some machines have turned slow as the holder is lost, and one
// of them wins the race for its key.
func TestSlowedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, weakWorkers, source(1), seconds(time.Hour))
		f.add(8, strongTurn, strongCarries)
		time.Sleep(3 * time.Second)
		lasting := sched.Step{Count: weakTasks, Size: step(1).Size, Lasting: true}
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
					h.pace(weakTurn, weakCarries)
				}
			}
			old.kill()
			old.start()
			if d := f.short(12*time.Second, weakTasks); d > calm {
				t.Errorf("after %s was lost, lasting tasks were without a run for %s", old.name, d)
			}
			for _, h := range f.hosts {
				h.pace(strongTurn, strongCarries)
			}
		}
		if n := f.crew.Lapsed(); n > 0 {
			t.Errorf("%d runs lapsed", n)
		}
		f.stop()
		for _, fault := range f.crew.Faults() {
			t.Error(fault)
		}
	})
}

// short watches the workers for a while and returns the longest time for which fewer than n
// tasks ran there.
func (f *fleet) short(span time.Duration, n int) time.Duration {
	const every = 50 * time.Millisecond
	var now, longest time.Duration
	for range span / every {
		time.Sleep(every)
		f.crew.Lapsed() // leases that have run out end their runs
		if now += every; f.crew.Running() >= n {
			now = 0
		}
		longest = max(longest, now)
	}
	return longest
}
