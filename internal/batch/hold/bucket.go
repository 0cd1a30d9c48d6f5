package hold

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/ctrl/shard"
	"bramleysail.example/bramleysail/internal/plat/store"
)

const (
	bucketPrefix = "jobs/"
	// commitEvery is how long changes gather before they are written together.
	commitEvery = 200 * time.Millisecond
	reviewEvery = time.Second
)

// bucket is a bucket of jobs that is held here.
type bucket struct {
	h    *Holder
	name string
	ep   uint64
	rev  uint64 // of the record as last read or written

	mu      sync.Mutex
	core    *jobs.Core
	ended   bool
	changed chan struct{} // closed and renewed at each write
	cancel  context.CancelFunc
}

func decodeBucket(value []byte) (jobs.Bucket, error) {
	var b jobs.Bucket
	return b, errors.Wrap(json.Unmarshal(value, &b), "hold: record of a bucket")
}

// takeBucket reads a bucket's record and holds it from now on.
func (h *Holder) takeBucket(ctx context.Context, name string, row shard.Row) {
	e, err := h.o.Store.Get(ctx, bucketPrefix+name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	var rec jobs.Bucket
	if err == nil {
		if rec, err = decodeBucket(e.Value); err != nil {
			h.o.Log.Error(err, "bucket not read", "bucket", name)
			return
		}
	}
	bctx, cancel := context.WithCancel(ctx)
	b := &bucket{h: h, name: name, ep: row.Ep, rev: e.Rev, core: jobs.New(rec, row.Ep),
		changed: make(chan struct{}), cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	if mine, ok := h.o.Keeper.Mine(BucketTable)[name]; !ok || mine.Ep != row.Ep || h.buckets[name] != nil {
		cancel()
		return
	}
	h.buckets[name] = b
	h.wg.Go(func() { b.run(bctx) })
	h.o.Log.V(1).Info("bucket held", "bucket", name, "ep", row.Ep, "jobs", len(rec.Jobs))
}

// end stops the holding; nothing is answered from it any more.
func (b *bucket) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.cancel()
	b.wake()
}

func (b *bucket) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// run writes the record whenever something has changed: one write at a time, with all
// that has gathered since the last.
func (b *bucket) run(ctx context.Context) {
	t := time.NewTicker(commitEvery)
	defer t.Stop()
	var reviewed time.Time
	for {
		if time.Since(reviewed) > reviewEvery {
			reviewed = time.Now()
			b.review()
		}
		if !b.commit(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *bucket) review() {
	conf := b.h.o.Config()
	zones := b.h.rackZones()
	var racks []string
	for r := range zones {
		racks = append(racks, r)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Review(time.Now(), racks, func(kind, rack string) bool { return allowed(conf, kind, zones[rack]) })
}

// commit writes what has changed and reports whether the bucket is still held.
func (b *bucket) commit(ctx context.Context) bool {
	b.mu.Lock()
	if b.ended || !b.core.Dirty() {
		defer b.mu.Unlock()
		return !b.ended
	}
	value, err := b.core.Begin(uuid.NewString())
	b.mu.Unlock()
	if err != nil {
		b.h.o.Log.Error(err, "bucket not written", "bucket", b.name)
		return false
	}
	// While the store is away this goes on trying: nothing that waits for the write is
	// answered meanwhile.
	err = store.SwapWithRetry(ctx, b.h.o.Store, bucketPrefix+b.name, value, b.rev, store.ValueEquals(value))
	if err == nil {
		err = b.reread(ctx, value)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil || b.ended {
		b.lose(err)
		return false
	}
	b.core.Ended(true)
	b.wake()
	return true
}

// lose drops a holding whose record another has written, or whose last write is
// uncertain; it is read anew. The lock is held.
func (b *bucket) lose(err error) {
	b.ended = true
	b.cancel()
	b.wake()
	if err != nil && !errors.Is(err, store.ErrOutcomeUnknown) {
		b.h.o.Log.Info("bucket lost", "bucket", b.name, "err", err.Error())
	}
	go b.h.forget(b)
}

func (h *Holder) forget(b *bucket) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.buckets[b.name] == b {
		delete(h.buckets, b.name)
	}
}

// reread finds the revision of the record just written; the service's answer to a
// write doesn't name it.
func (b *bucket) reread(ctx context.Context, value []byte) error {
	for {
		e, err := b.h.o.Store.Get(ctx, bucketPrefix+b.name)
		switch {
		case err == nil && string(e.Value) == string(value):
			b.rev = e.Rev
			return nil
		case err == nil || errors.Is(err, store.ErrNotFound):
			return store.ErrConflict
		case ctx.Err() != nil:
			return err
		}
		wait.For(ctx, commitEvery)
	}
}

// submit takes in a job or its cancellation and waits until the store holds it.
func (b *bucket) submit(ctx context.Context, in SubmitArgs) SubmitReply {
	b.mu.Lock()
	if b.ended {
		b.mu.Unlock()
		return SubmitReply{Code: CodeAway, Text: ErrAway.Error()}
	}
	var err error
	if in.Cancel {
		err = b.core.Cancel(time.Now(), in.Spec.ID)
	} else {
		err = b.core.Submit(time.Now(), in.Spec)
	}
	b.mu.Unlock()
	if err != nil {
		return SubmitReply{Code: codeOf(err), Text: err.Error()}
	}
	for {
		b.mu.Lock()
		j, ok := b.core.Kept(in.Spec.ID)
		ended, changed := b.ended, b.changed
		b.mu.Unlock()
		switch {
		case ok && (!in.Cancel || j.State != jobs.StateOpen):
			return SubmitReply{Job: j, Code: CodeOK}
		case ended:
			return SubmitReply{Code: CodeAway, Text: ErrAway.Error()}
		}
		select {
		case <-ctx.Done():
			return SubmitReply{Code: CodeAway, Text: ErrAway.Error()}
		case <-changed:
		}
	}
}

func codeOf(err error) Code {
	switch {
	case errors.Is(err, jobs.ErrSpec):
		return CodeInvalid
	case errors.Is(err, jobs.ErrExists):
		return CodeExists
	case errors.Is(err, jobs.ErrAbsent):
		return CodeAbsent
	}
	return CodeFull
}

// hear answers a rack's report.
func (b *bucket) hear(rep jobs.Report) jobs.Answer {
	conf := b.h.o.Config()
	b.mu.Lock()
	defer b.mu.Unlock()
	// Sure is asked with the lock held and last: an answer from a holding that has
	// lapsed would name places that another holder has changed since.
	if b.ended || !b.h.o.Keeper.Sure() {
		return jobs.Answer{}
	}
	return b.core.Hear(time.Now(), rep, func(kind string) bool {
		return allowed(conf, kind, rep.Zone) && conf.Usable(rep.Zone)
	})
}
