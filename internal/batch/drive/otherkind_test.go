package drive_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// restartAs lets workers crash and come back under their ids with another size and label.
func (c *testCluster) restartAs(size wire.Size, label string, ids ...string) {
	c.crash(func(id string) { c.workers.SetKind(id, size, label) }, ids...)
}

// submitKinds submits jobs for workers with the label "big" and for any worker in turn, until ctx ends. It returns the number of
// each.
func (c *testCluster) submitKinds(ctx context.Context) int {
	n := 0
	for ; wait.For(ctx, 100*time.Millisecond); n++ {
		big := newStep(2)
		big.RequiredLabel, big.Size.CPU = "big", 6000
		c.submit(fmt.Sprintf("big%d", n), big)
		c.submit(fmt.Sprintf("any%d", n), newStep(2))
	}
	return n
}

// Guards against tasks on workers that are back as another kind, before the directory shows it: to the holder that has noticed
// the restart, and to a successor that knows it from the record of tracked workers.
func TestRestartAsOtherKind(t *testing.T) {
	large, small := wire.Size{CPU: 16000, Mem: 64000}, wire.Size{CPU: 4000, Mem: 64000}
	for _, tt := range []struct {
		name   string
		listed time.Duration // from the return of the workers until the directory shows it
		kill   time.Duration // from the return until the holder is killed; 0: it isn't
	}{
		{"listed at once", 0, 0},
		{"listed later", 1500 * time.Millisecond, 0},
		{"holder killed at once", 1500 * time.Millisecond, 20 * time.Millisecond},
		{"holder killed", 3 * time.Second, 200 * time.Millisecond},
		{"holder killed once the restart is stored", 4 * time.Second, time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 2, 4, newRand(1), runsFor(300*time.Millisecond))
				c.workers.SetMayRun(func(task string, w sched.Member) bool {
					return !strings.HasPrefix(task, "big") || slices.Contains(w.Labels, "big") && w.Size.CPU >= 6000
				})
				changed := []string{"w0", "w1"}
				c.restartAs(large, "big", changed...)
				c.listWorkers()
				time.Sleep(8 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				submitted := 0
				wg.Go(func() { submitted = c.submitKinds(ctx) })
				time.Sleep(time.Second)
				c.restartAs(small, "little", changed...)
				time.AfterFunc(tt.listed, c.listWorkers)
				if tt.kill > 0 {
					time.Sleep(tt.kill)
					c.holder().kill()
				}
				time.Sleep(6 * time.Second)
				cancel()
				wg.Wait()
				c.submitOrFail("any", newStep(16))
				time.Sleep(time.Second)
				if n := c.workers.StartsOn(changed...); n == 0 {
					t.Error("the workers get no task that they can run")
				}
				c.restartAs(large, "big", changed...)
				c.listWorkers()
				for _, kind := range []string{"big", "any"} {
					c.awaitState(20*time.Second, fmt.Sprintf("%s%d", kind, submitted-1), sched.StateCompleted)
				}
				c.reportViolations()
			})
		})
	}
}
