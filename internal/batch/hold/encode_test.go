package hold

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// memStore is a store of one key.
type memStore struct {
	store.Store
	mu    sync.Mutex
	value []byte
	rev   uint64
}

// Get implements store.Store.
func (s *memStore) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rev == 0 {
		return store.Entry{}, store.ErrNotFound
	}
	return store.Entry{Key: key, Value: s.value, Rev: s.rev}, nil
}

// Swap implements store.Store.
func (s *memStore) Swap(_ context.Context, _ string, value []byte, rev uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev != s.rev {
		return store.ErrConflict
	}
	s.value, s.rev = value, rev+1
	return nil
}

// unencodableTime is a time that has no form in JSON, as of a host whose clock is far off.
var unencodableTime = time.Date(10_000, 1, 1, 0, 0, 0, 0, time.UTC)

// encodeTest is a bucket that is written when the test says so.
type encodeTest struct {
	t *testing.T
	b *heldBucket
}

// newEncodeTest returns a bucket without jobs and a valid job.
func newEncodeTest(t *testing.T) (*encodeTest, jobs.Spec) {
	h := &Holder{opts: Options{Store: &memStore{}, Log: logr.Discard()}, buckets: map[string]*heldBucket{}}
	b := &heldBucket{holder: h, name: "b0", core: jobs.New(jobs.Bucket{}, 1), changed: make(chan struct{}), cancel: func() {}}
	return &encodeTest{t, b}, jobs.Spec{ID: "good", Kind: "k", N: 1, Size: wire.Size{CPU: 1, Mem: 1}, Run: time.Second}
}

// submitAll makes calls that wait for the same write, has the bucket written and returns their replies.
func (e *encodeTest) submitAll(calls ...SubmitArgs) []SubmitReply {
	e.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	replies := make([]SubmitReply, len(calls))
	var wg sync.WaitGroup
	for i, in := range calls {
		wg.Go(func() { replies[i] = e.b.submit(ctx, in) })
	}
	synctest.Wait()
	if !e.b.commit(ctx) {
		e.t.Error("the bucket is no longer held")
	}
	wg.Wait()
	return replies
}

// Guards against a bucket of which no submission is answered any more, as one job of it can't be encoded.
func TestUnencodableJobIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, good := newEncodeTest(t)
		bad := good
		bad.ID = "bad"
		if err := e.b.core.Submit(unencodableTime, bad); err != nil {
			t.Fatal(err)
		}
		replies := e.submitAll(SubmitArgs{Spec: bad}, SubmitArgs{Spec: good})
		if replies[0].Code != CodeNotEncoded || replies[1].Code != CodeOK {
			t.Errorf("replies %+v, want %s and %s", replies, CodeNotEncoded, CodeOK)
		}
		if r := e.submitAll(SubmitArgs{Spec: bad})[0]; r.Code != CodeOK {
			t.Errorf("the same job with a valid time: %+v, want %s", r, CodeOK)
		}
	})
}

// Guards against a cancellation that can't be encoded and is reported as done, or keeps its bucket from being written.
func TestUnencodableCancelIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, good := newEncodeTest(t)
		if r := e.submitAll(SubmitArgs{Spec: good})[0]; r.Code != CodeOK {
			t.Fatalf("submission: %+v", r)
		}
		if err := e.b.core.Cancel(unencodableTime, good.ID); err != nil {
			t.Fatal(err)
		}
		if r := e.submitAll(SubmitArgs{Spec: good, Cancel: true})[0]; r.Code != CodeNotEncoded {
			t.Errorf("cancellation: %+v, want %s", r, CodeNotEncoded)
		}
		if r := e.submitAll(SubmitArgs{Spec: good, Cancel: true})[0]; r.Code != CodeOK || r.Job.State != jobs.StateCancelled {
			t.Errorf("cancellation at a valid time: %+v, want %s", r, CodeOK)
		}
	})
}
