package drive_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

// maxLostStarts is a tenth of a thousand starts: starts that are lost and sent again must remain a small part of
// the work.
const maxLostStarts = 100

// orderCounter counts the orders that a host sends to workers.
type orderCounter struct {
	drive.WorkerClient
	delay  time.Duration   // added to each order
	silent map[string]bool // ids of workers that no order reaches

	mu              sync.Mutex
	starts          int            // starts sent
	lost            int            // starts without an answer
	lastStart       time.Time      // when the last start was sent
	stopped         map[int64]bool // runs for which a stop was sent, by run number and task index
	startsAfterStop int            // starts that were sent after a stop of their run
}

// SendOrder implements drive.WorkerClient.
func (c *orderCounter) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	c.countSent(o)
	wait.For(ctx, c.delay)
	if c.silent[o.Incarnation.ID] {
		wait.For(ctx, callLimit)
		return sched.OutcomeUnknown
	}
	outcome := c.WorkerClient.SendOrder(ctx, o, fence)
	if o.Verb == sched.VerbStart && outcome == sched.OutcomeUnknown {
		c.mu.Lock()
		c.lost++
		c.mu.Unlock()
	}
	return outcome
}

// countSent counts an order that is about to be sent.
func (c *orderCounter) countSent(o sched.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := o.Run*1000 + int64(o.Task.Index) // runs of different tasks of a step may have the same number
	switch o.Verb {
	case sched.VerbStart:
		c.starts++
		c.lastStart = time.Now()
		if c.stopped[key] {
			c.startsAfterStop++
		}
	case sched.VerbStop:
		c.stopped[key] = true
	}
}

// newCountedCluster starts a cluster of one strong host whose orders are counted and delayed.
func newCountedCluster(t *testing.T, workers int, turn, delay time.Duration) (*testCluster, *orderCounter) {
	counter := &orderCounter{delay: delay, stopped: map[int64]bool{}}
	c := newTestCluster(t, 0, workers, newRand(1), runsFor(endless))
	c.wrapWorkers = func(client drive.WorkerClient) drive.WorkerClient {
		counter.WorkerClient = client
		return counter
	}
	c.addHosts(1, turn, strongCapacity)
	time.Sleep(4 * time.Second)
	return c, counter
}

// Guards against long-running tasks that stay without a run for many seconds after a change of holder, although
// the new holder is a large host. It sends a thousand starts at once; its processor needs longer for them than it
// waits for an answer, so most count as lost, and the runs that they started are stopped again.
func TestManyStartsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, counter := newCountedCluster(t, 350, strongTurn, 0)
		if r := c.submit("a", newStep(1000)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		if took := c.awaitRunning(1000, 20*time.Second); took > maxOutage {
			t.Errorf("all tasks run after %v, want at most %v", took, maxOutage)
		}
		c.stop()
		if counter.lost > maxLostStarts || counter.starts > 1000+maxLostStarts {
			t.Errorf("%d starts for 1000 tasks, %d of them lost; want at most %d", counter.starts, counter.lost, maxLostStarts)
		}
		for _, violation := range c.workers.Violations() {
			t.Error(violation)
		}
	})
}

// Many workers leave orders unanswered, but answer polls. Guards against tasks on other workers that start seconds
// late because they queue behind orders whose answers don't come. A worker that doesn't answer may delay only its
// own orders.
func TestSilentWorkersDelayOnlyTheirOwnOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, silent, perWorker = 140, 60, 4
		c, counter := newCountedCluster(t, workers, 0, 0)
		counter.silent = map[string]bool{}
		for i := range silent {
			counter.silent[fmt.Sprintf("w%d", i)] = true
		}
		tasks := newStep(workers * perWorker)
		tasks.MaxPerWorker = perWorker
		c.submit("a", tasks)
		if took := c.awaitRunning((workers-silent)*perWorker, 5*time.Second); took > time.Second {
			t.Errorf("all tasks of answering workers run after %v, want at most 1s", took)
		}
		c.stop()
		for _, violation := range c.workers.Violations() {
			t.Error(violation)
		}
	})
}

// Guards against tasks that start seconds after the cancellation of their job was acknowledged. The workers are
// slow, and starts that are still queued are sent although they are no longer wanted.
func TestCancelDropsQueuedStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, counter := newCountedCluster(t, 70, 0, 200*time.Millisecond)
		c.submit("a", newStep(1000))
		time.Sleep(time.Second)
		c.request(time.Second, drive.Request{Verb: drive.VerbCancel, Host: "h", Path: "/q/a"})
		cancelled := time.Now()
		time.Sleep(10 * time.Second)
		if n := c.workers.RunningCount(); n != 0 {
			t.Errorf("%d tasks still run", n)
		}
		c.stop()
		if counter.starts == 0 || counter.lastStart.After(cancelled) {
			t.Errorf("the last of %d starts was sent %v after the cancellation", counter.starts, counter.lastStart.Sub(cancelled))
		}
		if counter.startsAfterStop > 0 {
			t.Errorf("%d starts were sent after a stop of their run", counter.startsAfterStop)
		}
	})
}
