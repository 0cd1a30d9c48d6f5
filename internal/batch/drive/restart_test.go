package drive_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/fake/txkv"
)

var recutSeeds = flag.Int("recut-seeds", 12, "number of seeds of TestRestartedWorkersCutOff")

// restartTime is how long a worker that crashes is away.
const restartTime = 500 * time.Millisecond

// restart crashes workers, which are back under their ids after restartTime and in the directory after another while.
func (c *testCluster) restart(listedAfter time.Duration, ids ...string) {
	c.crash(func(string) {}, ids...)
	time.AfterFunc(listedAfter, c.listWorkers)
}

// crash lets workers crash, which are back under their ids after restartTime. whileDown is called for each when it is down.
func (c *testCluster) crash(whileDown func(id string), ids ...string) {
	for _, id := range ids {
		c.workers.Kill(id)
		whileDown(id)
	}
	time.Sleep(restartTime)
	for _, id := range ids {
		c.workers.SetUnreachable(id, false)
	}
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
				c := newTestCluster(t, 0, workers, newRand(seed+100), work)
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
				c.restart(0, "w0", "w1")
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

// recut lets workers crash and be back under their ids, and cuts them off soon after while their runs go on. Polls, orders or
// neither are left unanswered meanwhile and executed late; the holder may be lost before the cut.
func (c *testCluster) recut(rng *rand.Rand, ids ...string) {
	switch rng.IntN(3) {
	case 0:
		c.workers.SetDelayedPolls(0.5)
	case 1:
		c.workers.SetDelayedPolls(0.2)
	}
	time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
	c.restart(time.Duration(rng.IntN(1500))*time.Millisecond, ids...)
	time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
	c.workers.SetDelayedPolls(0)
	time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	holder := c.holder()
	if rng.IntN(2) == 0 && holder != nil {
		holder.kill()
		time.AfterFunc(3*time.Second, holder.start)
	}
	time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	for _, id := range ids {
		c.workers.SetUnreachable(id, true)
	}
	time.Sleep(9 * time.Second)
	for _, id := range ids {
		c.workers.SetUnreachable(id, false)
	}
}

// Guards against two runs of a task at a time, and against tasks that run again after they have succeeded: workers are back
// under their ids, get leases and acknowledgements that were meant for their former incarnations, and are cut off.
func TestRestartedWorkersCutOff(t *testing.T) {
	for seed := range uint64(*recutSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng, work := newRand(seed), newRand(seed+200) // work is used only under the lock of the fake workers
				c := newTestCluster(t, 3, 8, newRand(seed+100), func(string) (time.Duration, sched.End) {
					return time.Duration(300+work.IntN(2)*(6000+work.IntN(6000))) * time.Millisecond, sched.EndDone
				})
				time.Sleep(8 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				wg.Go(func() {
					for i := 0; wait.For(ctx, 200*time.Millisecond); i++ {
						c.submit(fmt.Sprintf("j%d", i), newStep(3))
					}
				})
				time.Sleep(2 * time.Second)
				for round := range 2 {
					c.recut(rng, fmt.Sprintf("w%d", 3*round), fmt.Sprintf("w%d", 3*round+1), fmt.Sprintf("w%d", 3*round+2))
					time.Sleep(3 * time.Second)
				}
				cancel()
				wg.Wait()
				if v := c.workers.Violations(); len(v) > 0 {
					t.Errorf("%d violations: %s", len(v), strings.Join(v[:min(len(v), 3)], "; "))
				}
				c.stop()
			})
		})
	}
}

// slowOrders is a client of the workers whose starts for one worker take a while to get there.
type slowOrders struct {
	drive.WorkerClient
	worker  string
	delay   time.Duration
	refused atomic.Int64 // starts that the worker refused by their fencing token
}

// SendOrder implements drive.WorkerClient.
func (s *slowOrders) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if o.Verb == sched.VerbStart && o.Incarnation.ID == s.worker {
		wait.For(ctx, s.delay)
	}
	outcome := s.WorkerClient.SendOrder(ctx, o, fence)
	if outcome == sched.OutcomeFenced {
		s.refused.Add(1)
	}
	return outcome
}

// Guards against a holder that gives up its tenure because a worker refuses a call that the holder itself has overtaken: the
// worker has restarted, and has been polled with a new fencing token.
func TestOvertakenStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 0, 1, newRand(1), runsFor(time.Second))
		slow := &slowOrders{worker: "w0"}
		c.wrapWorkers = func(client drive.WorkerClient) drive.WorkerClient {
			slow.WorkerClient = client
			return slow
		}
		c.addHosts(1, 0, strongCapacity)
		time.Sleep(8 * time.Second)
		_, term := c.holder().currentHolder()
		slow.delay = restartTime + time.Second
		if r := c.submit("a", newStep(4)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		c.restart(0, "w0")
		c.awaitState(5*time.Second, "a", sched.StateCompleted)
		if n := slow.refused.Load(); n == 0 {
			t.Error("no start was refused")
		}
		if _, now := c.holder().currentHolder(); now != term {
			t.Errorf("term %d, was %d", now, term)
		}
		if v := c.workers.Violations(); len(v) > 0 {
			t.Error(strings.Join(v, "; "))
		}
		c.stop()
	})
}
