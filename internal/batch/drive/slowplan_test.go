package drive_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// planStall makes one plan of a holder take long, as a plan does that waits for the processor. Meanwhile the holder
// reads no answer. No goroutine may wait for a mutex then, as virtual time would stand still; so calls that would need
// the holder's state hold their results back.
type planStall struct {
	mu       sync.Mutex
	duration time.Duration // how long the next plan takes; 0: no time
	over     chan struct{} // closed once the slow plan is over; nil: none is under way
}

// arm lets the next plan take d and waits until it is over.
func (s *planStall) arm(d time.Duration) {
	s.mu.Lock()
	s.duration, s.over = d, make(chan struct{})
	over := s.over
	s.mu.Unlock()
	<-over
}

// peersConfirmedAt is called by a plan while it holds the holder's state.
func (s *planStall) peersConfirmedAt() time.Time {
	s.mu.Lock()
	d, over := s.duration, s.over
	if d == 0 || !calledBy("planLoop") {
		s.mu.Unlock()
		return time.Time{}
	}
	s.duration = 0
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	s.over = nil
	s.mu.Unlock()
	close(over)
	return time.Time{}
}

// calledBy reports whether a method of a given name is on the caller's stack.
func calledBy(method string) bool {
	var pcs [16]uintptr
	frames := runtime.CallersFrames(pcs[:runtime.Callers(2, pcs[:])])
	for {
		f, more := frames.Next()
		if strings.HasSuffix(f.Function, ")."+method) {
			return true
		}
		if !more {
			return false
		}
	}
}

// hold holds a result back until no plan is stalled.
func (s *planStall) hold() {
	s.mu.Lock()
	over := s.over
	s.mu.Unlock()
	if over != nil {
		<-over
	}
}

// stalledWorkers is the workers' client of a holder with a planStall.
type stalledWorkers struct {
	drive.WorkerClient
	stall *planStall
}

// Poll implements drive.WorkerClient.
func (c *stalledWorkers) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	defer c.stall.hold()
	return c.WorkerClient.Poll(ctx, req, fence)
}

// SendOrder implements drive.WorkerClient.
func (c *stalledWorkers) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	defer c.stall.hold()
	return c.WorkerClient.SendOrder(ctx, o, fence)
}

// stalledStore is the store's client of a holder with a planStall.
type stalledStore struct {
	store.TxnStore
	stall *planStall
}

// Range implements store.TxnStore.
func (c *stalledStore) Range(ctx context.Context, prefix string) (store.Listing, error) {
	defer c.stall.hold()
	return c.TxnStore.Range(ctx, prefix)
}

// Watch implements store.TxnStore.
func (c *stalledStore) Watch(ctx context.Context, prefix string, after uint64, limit time.Duration) ([]store.Change, uint64, error) {
	defer c.stall.hold()
	return c.TxnStore.Watch(ctx, prefix, after, limit)
}

// Commit implements store.TxnStore.
func (c *stalledStore) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	defer c.stall.hold()
	return c.TxnStore.Commit(ctx, txn)
}

const (
	cancelTime = 3 * time.Second // operators' bound on the time until a cancellation takes effect, without the stop
	startTime  = 3 * time.Second // operators' bound on the time for which a task that has room may wait
)

// newStalledCluster starts a cluster whose holder has a planStall, with a job "a" of tasks that run endlessly.
func newStalledCluster(t *testing.T) (*testCluster, *planStall) {
	const workers = 4
	stall := &planStall{}
	c := newTestCluster(t, 0, workers, newRand(1), runsFor(endless))
	c.peersConfirmedAt = stall.peersConfirmedAt
	c.wrapWorkers = func(client drive.WorkerClient) drive.WorkerClient { return &stalledWorkers{client, stall} }
	c.wrapStore = func(client store.TxnStore) store.TxnStore { return &stalledStore{client, stall} }
	c.addHosts(1, 0, strongCapacity)
	time.Sleep(2 * time.Second)
	if r := c.submit("a", longRunningStep(workers)); r.Result != drive.ResultDone {
		t.Fatalf("submit: %+v", r)
	}
	c.awaitRunning(workers, time.Second)
	time.Sleep(time.Second + 7*time.Millisecond/3)
	return c, stall
}

// Guards against tasks that run on seconds after the cancellation of their job was acknowledged. A plan has waited for the
// processor, and the pause after it is a multiple of that time.
func TestCancelAfterSlowPlan(t *testing.T) {
	for _, took := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(took), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stall := newStalledCluster(t)
				stall.arm(took)
				time.Sleep(time.Millisecond)
				if r := c.request(time.Second, drive.Request{Verb: drive.VerbCancel, Host: "h", Path: "/q/a"}); r.Result != drive.ResultDone {
					t.Errorf("cancel: %+v", r)
				}
				acked := time.Now()
				for c.workers.RunningCount() > 0 && time.Since(acked) < 30*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				const most = cancelTime + 200*time.Millisecond // with the workers' stop time
				if d := time.Since(acked); d > most {
					t.Errorf("the last task ran on for %v after the cancellation was acknowledged, want at most %v", d, most)
				}
				c.stop()
			})
		})
	}
}

// Guards against tasks that wait for seconds though the workers have room. A plan has waited for the processor, and the
// pause after it is a multiple of that time.
func TestStartAfterSlowPlan(t *testing.T) {
	for _, took := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(took), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stall := newStalledCluster(t)
				before := c.workers.RunningCount()
				stall.arm(took)
				time.Sleep(time.Millisecond)
				if r := c.submit("b", newStep(1)); r.Result != drive.ResultDone {
					t.Errorf("submit: %+v", r)
				}
				if d := c.awaitRunning(before+1, 30*time.Second); d > startTime {
					t.Errorf("the task began %v after its submission was acknowledged, want at most %v", d, startTime)
				}
				c.stop()
			})
		})
	}
}
