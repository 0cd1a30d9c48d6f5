package drive_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/fake/codec"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// maxStartsAfterLeave is how long after a worker has left operators tolerate starts on it.
const maxStartsAfterLeave = 2 * time.Second

// directoryFaultStore is a store whose reads of the directory can be made to fail or to be slow.
type directoryFaultStore struct {
	store.TxnStore
	beforeRead       func(context.Context) error // called before each full read; nil: no fault
	beforeWatchReply func(context.Context) error // called before each watch returns; nil: no fault
	mu               *sync.Mutex                 // guards the faults
}

// runFault runs a fault if the prefix is of the directory.
func (s *directoryFaultStore) runFault(ctx context.Context, prefix string, fault *func(context.Context) error) error {
	s.mu.Lock()
	run := *fault
	s.mu.Unlock()
	if run == nil || !strings.HasPrefix(prefix, codec.New().DirectoryPrefix) {
		return nil
	}
	return run(ctx)
}

// setFaults sets both faults; nil ends one.
func (s *directoryFaultStore) setFaults(read, watch func(context.Context) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeRead, s.beforeWatchReply = read, watch
}

// Range implements store.TxnStore.
func (s *directoryFaultStore) Range(ctx context.Context, prefix string) (store.Listing, error) {
	if err := s.runFault(ctx, prefix, &s.beforeRead); err != nil {
		return store.Listing{}, err
	}
	return s.TxnStore.Range(ctx, prefix)
}

// Watch implements store.TxnStore.
func (s *directoryFaultStore) Watch(ctx context.Context, prefix string, after uint64, limit time.Duration) ([]store.Change, uint64, error) {
	changes, next, err := s.TxnStore.Watch(ctx, prefix, after, limit)
	if fault := s.runFault(ctx, prefix, &s.beforeWatchReply); fault != nil {
		return nil, after, fault
	}
	return changes, next, err
}

// refuseCall is a fault by which the store refuses a call.
func refuseCall(context.Context) error { return store.ErrRefused }

// hangCall is a fault by which a call stays unanswered until its caller gives up.
func hangCall(ctx context.Context) error {
	wait.For(ctx, callLimit)
	return store.ErrOutcomeUnknown
}

// delayCall is a fault by which a call takes as long as the slowest call that still succeeds.
func delayCall(ctx context.Context) error {
	wait.For(ctx, callLimit)
	return nil
}

// newFaultStoreCluster starts a cluster of one host whose store is a directoryFaultStore. onStart is called with
// each start order.
func newFaultStoreCluster(t *testing.T, workers int, onStart func(sched.Order)) (*testCluster, *directoryFaultStore) {
	s := &directoryFaultStore{mu: &sync.Mutex{}}
	c := newTestCluster(t, 0, workers, newRand(1), runsFor(endless))
	c.wrapStore = func(client store.TxnStore) store.TxnStore {
		s.TxnStore = client
		return s
	}
	c.wrapWorkers = func(client drive.WorkerClient) drive.WorkerClient { return &observedWorkers{client, onStart} }
	c.addHosts(1, 0, strongCapacity)
	time.Sleep(4 * time.Second)
	return c, s
}

// observedWorkers calls onStart with each start order that is sent to workers.
type observedWorkers struct {
	drive.WorkerClient
	onStart func(sched.Order)
}

// SendOrder implements drive.WorkerClient.
func (w *observedWorkers) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if o.Verb == sched.VerbStart {
		w.onStart(o)
	}
	return w.WorkerClient.SendOrder(ctx, o, fence)
}

// Guards against starts on a worker that left the directory seconds ago. The store confirms the holder all the
// time, but refuses its reads of the directory or leaves them unanswered.
func TestNoStartsOnStaleDirectory(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(context.Context) error
	}{{"refused", refuseCall}, {"unanswered", hangCall}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const workers = 6
				var mu sync.Mutex
				var leftAt time.Time
				started := map[string]bool{}
				c, s := newFaultStoreCluster(t, workers, func(o sched.Order) {
					mu.Lock()
					defer mu.Unlock()
					started[o.Incarnation.ID] = true
					if o.Incarnation.ID == "w0" && time.Since(leftAt) > maxStartsAfterLeave {
						t.Errorf("a start was sent to w0 %v after the worker left", time.Since(leftAt))
					}
				})
				s.setFaults(tt.fault, tt.fault)
				time.Sleep(100 * time.Millisecond)
				c.store.RemoveKey(codec.New().DirectoryPrefix + "w0")
				mu.Lock()
				leftAt = time.Now()
				mu.Unlock()
				time.Sleep(maxStartsAfterLeave + time.Second)
				step := newStep(workers)
				step.MaxPerWorker = 1
				c.submit("a", step)
				time.Sleep(3 * time.Second)
				s.setFaults(nil, nil)
				time.Sleep(2 * time.Second)
				c.stop()
				if len(started) != workers-1 {
					t.Errorf("tasks started on %d workers, want all %d that stay", len(started), workers-1)
				}
			})
		})
	}
}

// Guards against blocked starts on healthy workers when only the watch returns nothing and full reads are slow.
func TestSlowDirectoryReadsAllowStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts := 0
		var mu sync.Mutex
		c, s := newFaultStoreCluster(t, 6, func(sched.Order) {
			mu.Lock()
			defer mu.Unlock()
			starts++
		})
		s.setFaults(delayCall, hangCall) // nothing changes, so a watch returns only after a long wait
		for i := range 60 {
			c.submit(fmt.Sprintf("j%d", i), newStep(1))
			time.Sleep(90 * time.Millisecond)
			mu.Lock()
			if starts != i+1 {
				t.Errorf("%d of %d jobs have started", starts, i+1)
			}
			mu.Unlock()
		}
		c.stop()
	})
}

// Guards against a holder of thousands of workers that spends its processor time on reading the whole directory
// again and again although the watch delivers each change. Without changes the full reads continue, because a
// watch may be cut off.
func TestDirectoryReadInterval(t *testing.T) {
	for _, tt := range []struct {
		name        string
		changes     bool
		least, most int
	}{{"changing", true, 0, 2}, {"unchanged", false, 8, 12}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, s := newFaultStoreCluster(t, 6, func(sched.Order) {})
				reads := 0
				s.setFaults(func(context.Context) error {
					reads++
					return nil
				}, nil)
				for range 100 {
					if tt.changes {
						c.listWorkers()
					}
					time.Sleep(100 * time.Millisecond)
				}
				c.stop()
				if reads < tt.least || reads > tt.most {
					t.Errorf("%d full reads of the directory in 10s, want %d to %d", reads, tt.least, tt.most)
				}
			})
		})
	}
}
