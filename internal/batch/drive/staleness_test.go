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
	"bramleysail.example/bramleysail/internal/fake/plain"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// maxStartsAfterLeave is how long operators allow starts on a worker that leaves.
const maxStartsAfterLeave = 2 * time.Second

// directoryFaultStore is a store whose reads of the directory can be made to fail or to take long.
type directoryFaultStore struct {
	store.Multi
	beforeRead       func(context.Context) error // before each reading; nil: nothing
	beforeWatchReply func(context.Context) error // before each watch's answer; nil: nothing
	mu               *sync.Mutex
}

func (s *directoryFaultStore) runFault(ctx context.Context, prefix string, call *func(context.Context) error) error {
	s.mu.Lock()
	f := *call
	s.mu.Unlock()
	if f == nil || !strings.HasPrefix(prefix, plain.Codec().DirectoryPrefix) {
		return nil
	}
	return f(ctx)
}

func (s *directoryFaultStore) setFaults(read, watch func(context.Context) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeRead, s.beforeWatchReply = read, watch
}

func (s *directoryFaultStore) Range(ctx context.Context, prefix string) (store.Page, error) {
	if err := s.runFault(ctx, prefix, &s.beforeRead); err != nil {
		return store.Page{}, err
	}
	return s.Multi.Range(ctx, prefix)
}

func (s *directoryFaultStore) Watch(ctx context.Context, prefix string, after uint64, limit time.Duration) ([]store.Change, uint64, error) {
	changes, next, err := s.Multi.Watch(ctx, prefix, after, limit)
	if dim := s.runFault(ctx, prefix, &s.beforeWatchReply); dim != nil {
		return nil, after, dim
	}
	return changes, next, err
}

func refuseCall(context.Context) error { return store.ErrBusy }

// hangCall lets a call go unanswered until its caller gives up.
func hangCall(ctx context.Context) error {
	wait.For(ctx, callLimit)
	return store.ErrUnknown
}

// delayCall is the longest time of a call to a slow store.
func delayCall(ctx context.Context) error {
	wait.For(ctx, callLimit)
	return nil
}

// newFaultStoreCluster is a fleet of one host with a dimStore, whose starts are told to seen.
func newFaultStoreCluster(t *testing.T, workers int, seen func(sched.Order)) (*testCluster, *directoryFaultStore) {
	s := &directoryFaultStore{mu: &sync.Mutex{}}
	f := newTestCluster(t, 0, workers, newRand(1), runsFor(endless))
	f.wrapStore = func(m store.Multi) store.Multi {
		s.Multi = m
		return s
	}
	f.wrapWorkers = func(crew drive.WorkerClient) drive.WorkerClient { return &observedWorkers{crew, seen} }
	f.addHosts(1, 0, strongCapacity)
	time.Sleep(4 * time.Second)
	return f, s
}

type observedWorkers struct {
	drive.WorkerClient
	onStart func(sched.Order)
}

func (c *observedWorkers) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if o.Verb == sched.VerbStart {
		c.onStart(o)
	}
	return c.WorkerClient.SendOrder(ctx, o, fence)
}

// Tasks start on a worker that left the directory seconds ago. The store confirms the holder all the while,
// and refuses or leaves unanswered its readings of the directory.
func TestNoStartsOnStaleDirectory(t *testing.T) {
	for _, tt := range []struct {
		name string
		call func(context.Context) error
	}{{"refused", refuseCall}, {"unanswered", hangCall}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const workers = 6
				var mu sync.Mutex
				var leaves time.Time
				started := map[string]bool{}
				f, s := newFaultStoreCluster(t, workers, func(o sched.Order) {
					mu.Lock()
					defer mu.Unlock()
					started[o.Incarnation.ID] = true
					if o.Incarnation.ID == "w0" && time.Since(leaves) > maxStartsAfterLeave {
						t.Errorf("a start on w0 leaves %v after the worker did", time.Since(leaves))
					}
				})
				s.setFaults(tt.call, tt.call)
				time.Sleep(100 * time.Millisecond)
				f.store.Revoke(plain.Codec().DirectoryPrefix + "w0")
				mu.Lock()
				leaves = time.Now()
				mu.Unlock()
				time.Sleep(maxStartsAfterLeave + time.Second)
				apart := newStep(workers)
				apart.MaxPerWorker = 1
				f.submit("a", apart)
				time.Sleep(3 * time.Second)
				s.setFaults(nil, nil)
				time.Sleep(2 * time.Second)
				f.stop()
				if len(started) != workers-1 {
					t.Errorf("tasks started on %d workers, want all %d that stay", len(started), workers-1)
				}
			})
		})
	}
}

// Starts are held back on sound workers where only the watch brings nothing and plain reads take their time.
func TestSlowDirectoryReadsAllowStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		var mu sync.Mutex
		f, s := newFaultStoreCluster(t, 6, func(sched.Order) {
			mu.Lock()
			defer mu.Unlock()
			n++
		})
		s.setFaults(delayCall, hangCall) // nothing changes, so that a watch ends once it has waited long
		for i := range 60 {
			f.submit(fmt.Sprintf("j%d", i), newStep(1))
			time.Sleep(90 * time.Millisecond)
			mu.Lock()
			if n != i+1 {
				t.Errorf("%d of %d jobs have started", n, i+1)
			}
			mu.Unlock()
		}
		f.stop()
	})
}

// A holder of thousands of workers spends its processor on reading the whole directory again and again, while the watch
// brings each change. Without changes the plain reads go on: a watch may be cut off.
func TestDirectoryReadInterval(t *testing.T) {
	for _, tt := range []struct {
		name        string
		changes     bool
		least, most int
	}{{"changing", true, 0, 2}, {"still", false, 8, 12}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newFaultStoreCluster(t, 6, func(sched.Order) {})
				reads := 0
				s.setFaults(func(context.Context) error {
					reads++
					return nil
				}, nil)
				for range 100 {
					if tt.changes {
						f.listWorkers()
					}
					time.Sleep(100 * time.Millisecond)
				}
				f.stop()
				if reads < tt.least || reads > tt.most {
					t.Errorf("%d readings of the directory in 10s, want %d to %d", reads, tt.least, tt.most)
				}
			})
		})
	}
}
