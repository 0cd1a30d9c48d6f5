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
	bucketKeyPrefix = "jobs/"
	// commitInterval is how long changes gather before they are written together.
	commitInterval = 200 * time.Millisecond
	expireInterval = time.Second
)

// heldBucket is a heldBucket of jobs that is held here.
type heldBucket struct {
	holder *Holder
	name   string
	epoch  uint64
	rev    uint64 // of the record as last read or written

	mu      sync.Mutex
	core    *jobs.Core
	closed  bool
	changed chan struct{} // closed and renewed at each write
	cancel  context.CancelFunc
}

func decodeBucket(value []byte) (jobs.Bucket, error) {
	var b jobs.Bucket
	return b, errors.Wrap(json.Unmarshal(value, &b), "hold: record of a bucket")
}

// loadBucket reads a bucket's record and holds it from now on.
func (h *Holder) loadBucket(ctx context.Context, name string, row shard.Assignment) {
	e, err := h.opts.Store.Get(ctx, bucketKeyPrefix+name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	var rec jobs.Bucket
	if err == nil {
		if rec, err = decodeBucket(e.Value); err != nil {
			h.opts.Log.Error(err, "bucket not read", "bucket", name)
			return
		}
	}
	bctx, cancel := context.WithCancel(ctx)
	b := &heldBucket{holder: h, name: name, epoch: row.Epoch, rev: e.Rev, core: jobs.New(rec, row.Epoch),
		changed: make(chan struct{}), cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	if mine, ok := h.opts.Keeper.OwnAssignments(BucketTable)[name]; !ok || mine.Epoch != row.Epoch || h.buckets[name] != nil {
		cancel()
		return
	}
	h.buckets[name] = b
	h.wg.Go(func() { b.commitLoop(bctx) })
	h.opts.Log.V(1).Info("bucket held", "bucket", name, "ep", row.Epoch, "jobs", len(rec.Jobs))
}

// close stops the holding; nothing is answered from it any more.
func (b *heldBucket) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.cancel()
	b.notifyWaiters()
}

func (b *heldBucket) notifyWaiters() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// commitLoop writes the record whenever something has changed: one write at a time, with all
// that has gathered since the last.
func (b *heldBucket) commitLoop(ctx context.Context) {
	t := time.NewTicker(commitInterval)
	defer t.Stop()
	var reviewed time.Time
	for {
		if time.Since(reviewed) > expireInterval {
			reviewed = time.Now()
			b.parkAndExpire()
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

func (b *heldBucket) parkAndExpire() {
	conf := b.holder.opts.Config()
	zones := b.holder.rackZones()
	var racks []string
	for r := range zones {
		racks = append(racks, r)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.ParkAndExpire(time.Now(), racks, func(kind, rack string) bool { return kindAllowed(conf, kind, zones[rack]) })
}

// commit writes what has changed and reports whether the bucket is still held.
func (b *heldBucket) commit(ctx context.Context) bool {
	b.mu.Lock()
	if b.closed || !b.core.NeedsWrite() {
		defer b.mu.Unlock()
		return !b.closed
	}
	value, err := b.core.BeginWrite(uuid.NewString())
	b.mu.Unlock()
	if err != nil {
		b.holder.opts.Log.Error(err, "bucket not written", "bucket", b.name)
		return false
	}
	// While the store is away this goes on trying: nothing that waits for the write is
	// answered meanwhile.
	err = store.SwapWithRetry(ctx, b.holder.opts.Store, bucketKeyPrefix+b.name, value, b.rev, store.ValueEquals(value))
	if err == nil {
		err = b.readRevision(ctx, value)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil || b.closed {
		b.abandon(err)
		return false
	}
	b.core.EndWrite(true)
	b.notifyWaiters()
	return true
}

// abandon drops a holding whose record another has written, or whose last write is
// uncertain; it is read anew. The lock is held.
func (b *heldBucket) abandon(err error) {
	b.closed = true
	b.cancel()
	b.notifyWaiters()
	if err != nil && !errors.Is(err, store.ErrOutcomeUnknown) {
		b.holder.opts.Log.Info("bucket lost", "bucket", b.name, "err", err.Error())
	}
	go b.holder.removeBucket(b)
}

func (h *Holder) removeBucket(b *heldBucket) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.buckets[b.name] == b {
		delete(h.buckets, b.name)
	}
}

// readRevision finds the revision of the record just written; the service's answer to a
// write doesn't name it.
func (b *heldBucket) readRevision(ctx context.Context, value []byte) error {
	for {
		e, err := b.holder.opts.Store.Get(ctx, bucketKeyPrefix+b.name)
		switch {
		case err == nil && string(e.Value) == string(value):
			b.rev = e.Rev
			return nil
		case err == nil || errors.Is(err, store.ErrNotFound):
			return store.ErrConflict
		case ctx.Err() != nil:
			return err
		}
		wait.For(ctx, commitInterval)
	}
}

// submit takes in a job or its cancellation and waits until the store holds it.
func (b *heldBucket) submit(ctx context.Context, in SubmitArgs) SubmitReply {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return SubmitReply{Code: CodeOutcomeUnknown, Text: ErrOutcomeUnknown.Error()}
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
		j, ok := b.core.CommittedJob(in.Spec.ID)
		ended, changed := b.closed, b.changed
		b.mu.Unlock()
		switch {
		case ok && (!in.Cancel || j.State != jobs.StateOpen):
			return SubmitReply{Job: j, Code: CodeOK}
		case ended:
			return SubmitReply{Code: CodeOutcomeUnknown, Text: ErrOutcomeUnknown.Error()}
		}
		select {
		case <-ctx.Done():
			return SubmitReply{Code: CodeOutcomeUnknown, Text: ErrOutcomeUnknown.Error()}
		case <-changed:
		}
	}
}

func codeOf(err error) Code {
	switch {
	case errors.Is(err, jobs.ErrInvalidSpec):
		return CodeInvalid
	case errors.Is(err, jobs.ErrIDTaken):
		return CodeIDTaken
	case errors.Is(err, jobs.ErrNotFound):
		return CodeNotFound
	}
	return CodeBucketFull
}

// handleReport answers a rack's report.
func (b *heldBucket) handleReport(rep jobs.RackReport) jobs.RackReply {
	conf := b.holder.opts.Config()
	b.mu.Lock()
	defer b.mu.Unlock()
	// Sure is asked with the lock held and last: an answer from a holding that has
	// lapsed would name places that another holder has changed since.
	if b.closed || !b.holder.opts.Keeper.Authorized() {
		return jobs.RackReply{}
	}
	return b.core.HandleReport(time.Now(), rep, func(kind string) bool {
		return kindAllowed(conf, kind, rep.Zone) && conf.IsZoneUsable(rep.Zone)
	})
}
