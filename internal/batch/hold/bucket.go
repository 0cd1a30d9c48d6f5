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
	// bucketKeyPrefix is the prefix of the buckets' keys in the store.
	bucketKeyPrefix = "jobs/"
	// commitInterval is how long changes are collected before they are written together.
	commitInterval = 200 * time.Millisecond
	// expireInterval is the time between two checks for jobs to park or to remove.
	expireInterval = time.Second
)

// heldBucket is a bucket of jobs that this process holds. The lock guards the fields below
// it; rev is used by commitLoop alone.
type heldBucket struct {
	holder *Holder
	name   string
	epoch  uint64 // of this holding
	rev    uint64 // store revision of the record as last read or written

	mu      sync.Mutex
	core    *jobs.Core
	closed  bool               // the bucket is no longer held here
	changed chan struct{}      // closed and replaced after each write and when the holding ends
	cancel  context.CancelFunc // stops commitLoop
}

// decodeBucket decodes a bucket's record.
func decodeBucket(value []byte) (jobs.Bucket, error) {
	var b jobs.Bucket
	return b, errors.Wrap(json.Unmarshal(value, &b), "hold: record of a bucket")
}

// loadBucket reads a bucket's record and starts to hold the bucket, unless it was reassigned
// meanwhile. If the read fails, reconcile tries again.
func (h *Holder) loadBucket(ctx context.Context, name string, assignment shard.Assignment) {
	entry, err := h.opts.Store.Get(ctx, bucketKeyPrefix+name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	var record jobs.Bucket
	if err == nil {
		if record, err = decodeBucket(entry.Value); err != nil {
			h.opts.Log.Error(err, "bucket record not decoded", "bucket", name)
			return
		}
	}
	bucketCtx, cancel := context.WithCancel(ctx)
	b := &heldBucket{holder: h, name: name, epoch: assignment.Epoch, rev: entry.Rev, core: jobs.New(record, assignment.Epoch),
		changed: make(chan struct{}), cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	if own, ok := h.opts.Assigner.OwnAssignments(BucketTable)[name]; !ok || own.Epoch != assignment.Epoch || h.buckets[name] != nil {
		cancel()
		return
	}
	h.buckets[name] = b
	h.wg.Go(func() { b.commitLoop(bucketCtx) })
	h.opts.Log.V(1).Info("bucket held", "bucket", name, "ep", assignment.Epoch, "jobs", len(record.Jobs))
}

// close ends the holding: from now on the bucket answers no report and no submission.
func (b *heldBucket) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.cancel()
	b.notifyWaiters()
}

// notifyWaiters wakes the submissions that wait for a write. The lock is held.
func (b *heldBucket) notifyWaiters() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// commitLoop writes the record when it has changed, until the holding ends: one write at a
// time, with all changes since the last one. In between it parks and removes jobs.
func (b *heldBucket) commitLoop(ctx context.Context) {
	t := time.NewTicker(commitInterval)
	defer t.Stop()
	var lastExpiry time.Time
	for {
		if time.Since(lastExpiry) > expireInterval {
			lastExpiry = time.Now()
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

// parkAndExpire parks infeasible jobs and removes jobs that ended long ago.
func (b *heldBucket) parkAndExpire() {
	config := b.holder.opts.Config()
	zones := b.holder.rackZones()
	var racks []string
	for r := range zones {
		racks = append(racks, r)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.ParkAndExpire(time.Now(), racks, func(kind, rack string) bool { return kindAllowed(config, kind, zones[rack]) })
}

// commit writes the record if it has changed, and reports whether the bucket is still held.
func (b *heldBucket) commit(ctx context.Context) bool {
	b.mu.Lock()
	if b.closed || !b.core.NeedsWrite() {
		defer b.mu.Unlock()
		return !b.closed
	}
	value, err := b.encode()
	if err != nil {
		defer b.mu.Unlock()
		b.holder.opts.Log.Error(err, "bucket record not encoded", "bucket", b.name)
		b.abandon(err)
		return false
	}
	b.mu.Unlock()
	// The write is retried while the store is unreachable. Submissions that wait for it get
	// no reply meanwhile.
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

// encode begins a write and returns the encoded record. Changes that can't be encoded are dropped, so that they don't keep
// the others from being written. The lock is held.
func (b *heldBucket) encode() ([]byte, error) {
	value, err := b.core.BeginWrite(uuid.NewString())
	if err == nil {
		return value, nil
	}
	dropped := b.core.DropUnencodable()
	for id, err := range dropped {
		b.holder.opts.Log.Error(err, "change of a job not encoded; it is dropped", "bucket", b.name, "job", id)
	}
	if len(dropped) == 0 {
		return nil, err
	}
	b.notifyWaiters()
	return b.core.BeginWrite(uuid.NewString())
}

// abandon ends a holding whose record another process has written or can't be encoded, or whose last write has
// an unknown outcome. If the bucket is still assigned to this process, reconcile reads the
// record again. The lock is held.
func (b *heldBucket) abandon(err error) {
	b.closed = true
	b.cancel()
	b.notifyWaiters()
	if err != nil && !errors.Is(err, store.ErrOutcomeUnknown) {
		b.holder.opts.Log.Info("bucket lost", "bucket", b.name, "err", err.Error())
	}
	go b.holder.removeBucket(b)
}

// removeBucket removes a bucket whose holding has ended.
func (h *Holder) removeBucket(b *heldBucket) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.buckets[b.name] == b {
		delete(h.buckets, b.name)
	}
}

// readRevision reads the store revision of the record just written, as the store's answer to
// a write doesn't contain it. It returns store.ErrConflict if the record has changed.
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

// submit handles a submission or a cancellation and waits until the store holds its effect.
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
		working, pending := b.core.WorkingJob(in.Spec.ID)
		closed, changed := b.closed, b.changed
		b.mu.Unlock()
		switch {
		case ok && (!in.Cancel || j.State != jobs.StateOpen):
			return SubmitReply{Job: j, Code: CodeOK}
		case !pending || in.Cancel && working.State == jobs.StateOpen:
			return SubmitReply{Code: CodeNotEncoded, Text: ErrNotEncoded.Error()}
		case closed:
			return SubmitReply{Code: CodeOutcomeUnknown, Text: ErrOutcomeUnknown.Error()}
		}
		select {
		case <-ctx.Done():
			return SubmitReply{Code: CodeOutcomeUnknown, Text: ErrOutcomeUnknown.Error()}
		case <-changed:
		}
	}
}

// codeOf returns the code of an error of a submission or a cancellation.
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

// handleReport returns the reply to a rack's report. The reply isn't OK when the bucket is no
// longer held here.
func (b *heldBucket) handleReport(report jobs.RackReport) jobs.RackReply {
	config := b.holder.opts.Config()
	b.mu.Lock()
	defer b.mu.Unlock()
	// Authorized is called last and with the lock held: the reply of a holding that has
	// expired would contain placements that another holder may have changed since.
	if b.closed || !b.holder.opts.Assigner.Authorized() {
		return jobs.RackReply{}
	}
	return b.core.HandleReport(time.Now(), report, func(kind string) bool {
		return kindAllowed(config, kind, report.Zone) && config.IsZoneUsable(report.Zone)
	})
}
