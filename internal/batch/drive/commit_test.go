package drive

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// newBenchHolder returns a holder of n workers, without goroutines.
func newBenchHolder(n int) *Holder {
	now := time.Now()
	h := &Holder{core: sched.New(sched.Options{}, now), polling: map[string]bool{}, recordWaiters: map[string][]chan struct{}{}}
	h.core.UpdateDirectory(now, benchMembers(n))
	return h
}

// benchMembers returns n members.
func benchMembers(n int) []sched.Member {
	members := make([]sched.Member, n)
	for i := range members {
		members[i] = sched.Member{Incarnation: sched.Incarnation{ID: fmt.Sprintf("w%d", i), StartedAt: 1}, Service: "s", Addr: fmt.Sprintf("h%d:1", i)}
	}
	return members
}

// BenchmarkCommitTracked measures collecting the tracked workers for a commit, after a change that leaves the list as
// it is and without one.
func BenchmarkCommitTracked(b *testing.B) {
	for _, n := range []int{1000, 3000} {
		h := newBenchHolder(n)
		h.trackedWorkers = h.core.TrackedWorkers()
		for _, changed := range []bool{true, false} {
			b.Run(fmt.Sprintf("%dworkers/changed=%t", n, changed), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if changed {
						h.trackedVersion = 0
					}
					h.currentTrackedWorkers()
				}
			})
		}
	}
}
