package drive_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/fake/txkv"
)

// restartTime is how long a worker that crashes is away.
const restartTime = 500 * time.Millisecond

// restart crashes workers, which are back under their ids after restartTime.
func (c *testCluster) restart(ids ...string) {
	for _, id := range ids {
		c.workers.Kill(id)
	}
	time.Sleep(restartTime)
	for _, id := range ids {
		c.workers.SetUnreachable(id, false)
	}
	c.listWorkers()
}

// Guards against tasks that run again after they have succeeded: while the store is away, a worker restarts between two
// polls and finishes runs, and the next poll acknowledges their ends by the numbers of the former incarnation.
func TestRestartInStoreOutage(t *testing.T) {
	const workers, chains, steps = 6, 12, 40
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := newRand(seed)
				// Tasks of every other step are short, so that some begin and end between two polls.
				work := func(task string) (time.Duration, sched.End) {
					if id, _ := sched.ParseTaskID(task); id.Step%2 == 1 {
						return 20 * time.Millisecond, sched.EndDone
					}
					return 300 * time.Millisecond, sched.EndDone
				}
				c := newTestCluster(t, 0, workers, rng, work)
				c.peersConfirmedAt = time.Now
				c.addHosts(1, 0, strongCapacity)
				time.Sleep(8 * time.Second)
				var chain []sched.Step
				for i := range steps {
					if i == 0 {
						chain = append(chain, newStep(1))
						continue
					}
					chain = append(chain, newStep(1, i-1))
				}
				for i := range chains {
					if r := c.submit(fmt.Sprintf("j%d", i), chain...); r.Result != drive.ResultDone {
						t.Fatalf("submit: %+v", r)
					}
				}
				time.Sleep(2 * time.Second)
				c.store.SetMode(txkv.ModeBusy)
				time.Sleep(time.Duration(2000+rng.IntN(1000)) * time.Millisecond)
				c.restart("w0", "w1")
				time.Sleep(1500 * time.Millisecond)
				c.store.SetMode("")
				time.Sleep(5 * time.Second)
				if v := c.workers.Violations(); len(v) > 0 {
					t.Errorf("%d violations: %s", len(v), strings.Join(v[:min(len(v), 3)], "; "))
				}
				c.stop()
			})
		})
	}
}
