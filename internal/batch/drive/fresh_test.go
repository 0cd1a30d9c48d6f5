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

// drain is how long operators allow starts on a worker that leaves.
const drain = 2 * time.Second

// dimStore is a store whose reads of the directory can be made to fail or to take long.
type dimStore struct {
	store.Multi
	read  func(context.Context) error // before each reading; nil: nothing
	watch func(context.Context) error // before each watch's answer; nil: nothing
	mu    *sync.Mutex
}

func (s *dimStore) before(ctx context.Context, prefix string, call *func(context.Context) error) error {
	s.mu.Lock()
	f := *call
	s.mu.Unlock()
	if f == nil || !strings.HasPrefix(prefix, plain.Codec().RosterPrefix) {
		return nil
	}
	return f(ctx)
}

func (s *dimStore) set(read, watch func(context.Context) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read, s.watch = read, watch
}

func (s *dimStore) Range(ctx context.Context, prefix string) (store.Page, error) {
	if err := s.before(ctx, prefix, &s.read); err != nil {
		return store.Page{}, err
	}
	return s.Multi.Range(ctx, prefix)
}

func (s *dimStore) Watch(ctx context.Context, prefix string, after uint64, limit time.Duration) ([]store.Change, uint64, error) {
	changes, next, err := s.Multi.Watch(ctx, prefix, after, limit)
	if dim := s.before(ctx, prefix, &s.watch); dim != nil {
		return nil, after, dim
	}
	return changes, next, err
}

func refuse(context.Context) error { return store.ErrBusy }

// hang lets a call go unanswered until its caller gives up.
func hang(ctx context.Context) error {
	wait.For(ctx, callLimit)
	return store.ErrUnknown
}

// late is the longest time of a call to a slow store.
func late(ctx context.Context) error {
	wait.For(ctx, callLimit)
	return nil
}

// dimmed is a fleet of one host with a dimStore, whose starts are told to seen.
func dimmed(t *testing.T, workers int, seen func(sched.Order)) (*fleet, *dimStore) {
	s := &dimStore{mu: &sync.Mutex{}}
	f := newFleet(t, 0, workers, source(1), seconds(forever))
	f.wrapStore = func(m store.Multi) store.Multi {
		s.Multi = m
		return s
	}
	f.wrap = func(crew drive.WorkerClient) drive.WorkerClient { return &seenCrew{crew, seen} }
	f.add(1, 0, strongCarries)
	time.Sleep(4 * time.Second)
	return f, s
}

type seenCrew struct {
	drive.WorkerClient
	seen func(sched.Order)
}

func (c *seenCrew) Order(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if o.Verb == sched.VerbStart {
		c.seen(o)
	}
	return c.WorkerClient.Order(ctx, o, fence)
}

// Tasks start on a worker that left the directory seconds ago. The store confirms the holder all the while,
// and refuses or leaves unanswered its readings of the directory.
func TestDirectoryOutOfReach(t *testing.T) {
	for _, tt := range []struct {
		name string
		call func(context.Context) error
	}{{"refused", refuse}, {"unanswered", hang}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const workers = 6
				var mu sync.Mutex
				var leaves time.Time
				started := map[string]bool{}
				f, s := dimmed(t, workers, func(o sched.Order) {
					mu.Lock()
					defer mu.Unlock()
					started[o.Life.ID] = true
					if o.Life.ID == "w0" && time.Since(leaves) > drain {
						t.Errorf("a start on w0 leaves %v after the worker did", time.Since(leaves))
					}
				})
				s.set(tt.call, tt.call)
				time.Sleep(100 * time.Millisecond)
				f.store.Revoke(plain.Codec().RosterPrefix + "w0")
				mu.Lock()
				leaves = time.Now()
				mu.Unlock()
				time.Sleep(drain + time.Second)
				apart := step(workers)
				apart.Apart = 1
				f.submit("a", apart)
				time.Sleep(3 * time.Second)
				s.set(nil, nil)
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
func TestSlowReadingBarsNoStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		var mu sync.Mutex
		f, s := dimmed(t, 6, func(sched.Order) {
			mu.Lock()
			defer mu.Unlock()
			n++
		})
		s.set(late, hang) // nothing changes, so that a watch ends once it has waited long
		for i := range 60 {
			f.submit(fmt.Sprintf("j%d", i), step(1))
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
func TestDirectoryIsNotReadTwice(t *testing.T) {
	for _, tt := range []struct {
		name        string
		changes     bool
		least, most int
	}{{"changing", true, 0, 2}, {"still", false, 8, 12}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := dimmed(t, 6, func(sched.Order) {})
				reads := 0
				s.set(func(context.Context) error {
					reads++
					return nil
				}, nil)
				for range 100 {
					if tt.changes {
						f.list()
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
