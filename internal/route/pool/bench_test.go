package pool

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCall measures one call from its arrival to its result, by the number of targets that the core owns.
func BenchmarkCall(b *testing.B) {
	for _, targets := range []int{6, 60, 600} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			now := time.Unix(1000, 0)
			c := New(Options{Self: "e0"})
			for i := range targets {
				c.AddTarget(now, fmt.Sprintf("t%04d", i), 8, nil, 0)
			}
			id := uint64(0)
			for b.Loop() {
				id++
				got := c.HandleCall(now, Call{ID: id, Team: "t", Arrived: now, Deadline: now.Add(time.Second)})
				c.HandleResult(now, got[0].(Send).Permit, Result{Outcome: OutcomeOK, Took: time.Millisecond, Load: -1})
			}
		})
	}
}
