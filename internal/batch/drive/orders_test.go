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

// maxLostStarts is a tenth of a thousand starts: what is lost and given again must stay a small part of the work.
const maxLostStarts = 100

// orderCounter counts a host's orders on their way to workers.
type orderCounter struct {
	drive.WorkerClient
	delay  time.Duration   // added to each order's way
	silent map[string]bool // workers that no order reaches

	mu              sync.Mutex
	starts          int
	lost            int       // starts without an answer
	lastStart       time.Time // when the newest start left
	stopped         map[int64]bool
	startsAfterStop int // starts that left after a stop of their run
}

func (c *orderCounter) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	c.countSent(o)
	wait.For(ctx, c.delay)
	if c.silent[o.Incarnation.ID] {
		wait.For(ctx, callLimit)
		return sched.OutcomeUnknown
	}
	out := c.WorkerClient.SendOrder(ctx, o, fence)
	if o.Verb == sched.VerbStart && out == sched.OutcomeUnknown {
		c.mu.Lock()
		c.lost++
		c.mu.Unlock()
	}
	return out
}

func (c *orderCounter) countSent(o sched.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := o.Run*1000 + int64(o.Task.Index) // tasks of a step may have the same number
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

// newCountedCluster is a fleet of one strong host, whose orders are counted.
func newCountedCluster(t *testing.T, workers int, turn, slow time.Duration) (*testCluster, *orderCounter) {
	c := &orderCounter{delay: slow, stopped: map[int64]bool{}}
	f := newTestCluster(t, 0, workers, newRand(1), runsFor(endless))
	f.wrapWorkers = func(crew drive.WorkerClient) drive.WorkerClient {
		c.WorkerClient = crew
		return c
	}
	f.addHosts(1, turn, strongCapacity)
	time.Sleep(4 * time.Second)
	return f, c
}

// Lasting tasks stand still for many seconds after a change of holder, though the new one is a large host. It sends
// a thousand starts at once; its processor needs longer for them than it waits for an answer, so that
// most count as lost, and the runs that came of them are stopped again.
func TestManyStartsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c := newCountedCluster(t, 350, strongTurn, 0)
		if r := f.submit("a", newStep(1000)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		if took := f.awaitRunning(1000, 20*time.Second); took > maxOutage {
			t.Errorf("all tasks run after %v, want at most %v", took, maxOutage)
		}
		f.stop()
		if c.lost > maxLostStarts || c.starts > 1000+maxLostStarts {
			t.Errorf("%d starts for 1000 tasks, %d of them lost; want at most %d", c.starts, c.lost, maxLostStarts)
		}
		for _, fault := range f.workers.Faults() {
			t.Error(fault)
		}
	})
}

// Many workers leave orders unanswered, while polls of them go well. Books that have nothing to do with these
// start seconds late, behind orders that wait for answers which don't come. A worker that doesn't
// answer may hold up its own orders only.
func TestSilentWorkersDelayOnlyTheirOwnOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, silent, each = 140, 60, 4
		f, c := newCountedCluster(t, workers, 0, 0)
		c.silent = map[string]bool{}
		for i := range silent {
			c.silent[fmt.Sprintf("w%d", i)] = true
		}
		tasks := newStep(workers * each)
		tasks.MaxPerWorker = each
		f.submit("a", tasks)
		if took := f.awaitRunning((workers-silent)*each, 5*time.Second); took > time.Second {
			t.Errorf("all tasks of sound workers run after %v, want at most 1s", took)
		}
		f.stop()
		for _, fault := range f.workers.Faults() {
			t.Error(fault)
		}
	})
}

// A job's tasks start seconds after its cancel was acknowledged. Its workers are slow, and orders that haven't left
// yet leave though nobody wants them any more.
func TestCancelDropsQueuedStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c := newCountedCluster(t, 70, 0, 200*time.Millisecond)
		f.submit("a", newStep(1000))
		time.Sleep(time.Second)
		f.request(time.Second, drive.Request{Verb: drive.VerbCancel, Host: "h", Path: "/q/a"})
		cancelled := time.Now()
		time.Sleep(10 * time.Second)
		if n := f.workers.Running(); n != 0 {
			t.Errorf("%d tasks run on", n)
		}
		f.stop()
		if c.starts == 0 || c.lastStart.After(cancelled) {
			t.Errorf("the last of %d starts left %v after the cancel", c.starts, c.lastStart.Sub(cancelled))
		}
		if c.startsAfterStop > 0 {
			t.Errorf("%d starts left after a stop of their run", c.startsAfterStop)
		}
	})
}
