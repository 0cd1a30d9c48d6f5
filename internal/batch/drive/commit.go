package drive

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// pendingCommit is one transaction of the store and what follows once it is stored.
type pendingCommit struct {
	writes         []store.Write
	submissions    []*submission   // the jobs in it
	learnedModel   []byte          // the learned model in it; nil: none
	batch          *sched.Batch    // the job records in it, and the acknowledgements that they allow
	trackedWorkers []sched.Member  // the list of tracked workers in it; nil: unchanged
	workerCount    int             // number of tracked workers, as stored by it
	recordWaiters  []chan struct{} // closed once it is stored
}

// commitLoop stores changes until the tenure is over.
func (h *Holder) commitLoop() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.commitWake:
			// No caller waits for progress records, so a short delay lets more changes share one call.
			h.delayCommit()
		case <-h.urgentCommit:
		}
		for {
			c, err := h.collectCommit()
			if err != nil {
				// The changes collected so far are known to this process only. The next holder starts from the stored state.
				h.log.Error(err, "encoding changes for the store failed; ending the tenure")
				h.opt.Tenure.End()
				return
			}
			if c == nil {
				break
			}
			if len(c.writes) > 0 && !h.writeCommit(c) {
				return
			}
			h.finishCommit(c)
		}
	}
}

// delayCommit waits for further changes to share a commit, up to commitDelay or until a caller waits.
func (h *Holder) delayCommit() {
	t := time.NewTimer(commitDelay)
	defer t.Stop()
	select {
	case <-h.ctx.Done():
	case <-h.urgentCommit:
	case <-t.C:
	}
}

// writeCommit writes a commit to the store and reports whether it is stored. A failure ends the tenure, unless the store takes the
// commit without the learned model: that can be learned again, and every further holder would fail with it.
func (h *Holder) writeCommit(c *pendingCommit) bool {
	writes := c.writes
	if c.learnedModel != nil {
		writes = append(writes[:len(writes):len(writes)], store.Write{Key: keyLearnedModel, Value: c.learnedModel})
	}
	err := h.opt.Tenure.Commit(writes)
	if err != nil && c.learnedModel != nil && !errors.Is(err, lead.ErrNotHolder) {
		h.log.Error(err, "learned model not stored; the next holder gets the last one that was", "bytes", len(c.learnedModel))
		err = h.opt.Tenure.Commit(c.writes)
	}
	if err == nil {
		return true
	}
	h.log.Info("write failed", "cause", err.Error(), "writes", len(c.writes))
	h.opt.Tenure.End()
	return false
}

// collectCommit collects what has to be stored. It returns nil if there is nothing to store or acknowledge.
func (h *Holder) collectCommit() (*pendingCommit, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &pendingCommit{}
	free := lead.MaxWrites
	tracked, changed := h.currentTrackedWorkers()
	if changed {
		data, err := json.Marshal(tracked)
		if err != nil {
			return nil, errors.Wrap(err, "drive")
		}
		c.trackedWorkers = tracked
		c.writes = append(c.writes, store.Write{Key: keyTrackedWorkers, Value: data})
		free--
	}
	if c.workerCount = len(tracked); c.workerCount != h.trackedCount {
		c.writes = append(c.writes, lead.LoadWrite(c.workerCount))
		free--
	}
	// Half of the writes are kept for progress, so that a flood of submissions can't keep ended runs from being stored.
	n := min(len(h.submissions), free/2)
	c.submissions, h.submissions = h.submissions[:n:n], h.submissions[n:]
	for _, s := range c.submissions {
		s.writing = true
		c.writes = append(c.writes, store.Write{Key: jobPrefix + s.job.ID, Value: s.data})
	}
	// A job that has ended takes two writes: its progress, and the deletion of its entry below jobPrefix.
	var err error
	if c.batch, err = h.core.CollectChanges((free - n) / 2); err != nil {
		return nil, err
	}
	for _, rec := range c.batch.Records {
		c.writes = append(c.writes, store.Write{Key: progressPrefix + rec.ID, Value: rec.Data})
		if rec.Final {
			c.writes = append(c.writes, store.Write{Key: jobPrefix + rec.ID, Delete: true})
		}
		c.recordWaiters = append(c.recordWaiters, h.recordWaiters[rec.ID]...)
		delete(h.recordWaiters, rec.ID)
	}
	if len(c.writes) == 0 && c.batch.Empty() {
		return nil, nil
	}
	// The learned model is stored only with a commit that is due anyway.
	if now := time.Now(); len(c.writes) > 0 && len(c.writes) < lead.MaxWrites && now.Sub(h.learnedModelStoredAt) > learnedModelInterval {
		h.learnedModelStoredAt = now
		if data, err := h.core.EncodeModel(); err != nil {
			h.log.Error(err, "learned model not encoded; the next holder gets the last one that was stored")
		} else {
			c.learnedModel = data
		}
	}
	if len(c.writes) > 0 {
		h.writeStarted = time.Now()
	}
	return c, nil
}

// currentTrackedWorkers returns the workers that may hold runs, and whether the list differs from the stored one. The
// caller holds h.mu.
func (h *Holder) currentTrackedWorkers() ([]sched.Member, bool) {
	version := h.core.TrackedVersion()
	if version == h.trackedVersion {
		return h.trackedWorkers, false
	}
	h.trackedVersion = version
	tracked := h.core.TrackedWorkers()
	if sameMembers(tracked, h.trackedWorkers) {
		h.core.MarkTracked(tracked) // a worker that was forgotten and listed again isn't marked yet
		return tracked, false
	}
	return tracked, true
}

// sameMembers reports whether two lists of tracked workers name the same incarnations at the same addresses, in the same
// order, with the same leases.
func sameMembers(a, b []sched.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Incarnation != b[i].Incarnation || a[i].Addr != b[i].Addr || a[i].LongLease != b[i].LongLease {
			return false
		}
	}
	return true
}

// finishCommit applies a stored commit to the core and wakes those who waited for it.
func (h *Holder) finishCommit(c *pendingCommit) {
	now := time.Now()
	h.mu.Lock()
	h.writeStarted = time.Time{}
	for _, s := range c.submissions {
		h.finishSubmission(now, s)
	}
	h.core.MarkCommitted(c.batch)
	if c.trackedWorkers != nil {
		h.trackedWorkers = c.trackedWorkers
		h.core.MarkTracked(c.trackedWorkers)
	}
	h.trackedCount = c.workerCount
	h.wakeAckedPolls()
	h.mu.Unlock()
	for _, w := range c.recordWaiters {
		close(w)
	}
	h.requestPlan()
}

// wakeAckedPolls wakes the polls that wait until their workers' ends are stored, where all are. The caller holds h.mu.
func (h *Holder) wakeAckedPolls() {
	for id := range h.ackWaiters {
		if !h.core.HasUnackedEnds(id) {
			h.wakePoll(id)
		}
	}
}

// forgetLoop removes jobs that are past their retention, and cancelled ids that are past their window, from this process and
// the store.
func (h *Holder) forgetLoop() {
	for wait.For(h.ctx, forgetInterval) {
		h.mu.Lock()
		var keys []string
		for _, id := range h.core.ForgetJobs(time.Now(), h.opt.JobRetention) {
			keys = append(keys, progressPrefix+id)
		}
		for _, id := range h.cancelledIDs.removeExpired(time.Now()) {
			keys = append(keys, cancelledPrefix+id)
		}
		h.mu.Unlock()
		for len(keys) > 0 {
			n := min(len(keys), lead.MaxWrites)
			var writes []store.Write
			for _, key := range keys[:n] {
				writes = append(writes, store.Write{Key: key, Delete: true})
			}
			keys = keys[n:]
			if err := h.opt.Tenure.Commit(writes); err != nil {
				return
			}
		}
	}
}
