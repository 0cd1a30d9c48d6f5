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

// pendingCommit is one write with all that has gathered.
type pendingCommit struct {
	writes         []store.Write
	submissions    []*submission
	batch          *sched.Batch
	trackedWorkers []sched.Member
	workerCount    int // the number of workers, as recorded with this write
	recordWaiters  []chan struct{}
}

// commitLoop stores what has changed until the tenure is over.
func (h *Holder) commitLoop() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.commitWake:
			// Nobody waits for progress alone: a little later it is one call with more.
			h.delayCommit()
		case <-h.urgentCommit:
		}
		for {
			r, err := h.collectCommit()
			if err != nil {
				// What had been taken to be stored is known here only; the next holder starts from what is stored.
				h.log.Error(err, "record can't be written")
				h.opt.Tenure.End()
				return
			}
			if r == nil {
				break
			}
			if len(r.writes) > 0 && !h.writeCommit(r) {
				return
			}
			h.finishCommit(r)
		}
	}
}

// delayCommit waits for more to store, until a caller waits.
func (h *Holder) delayCommit() {
	t := time.NewTimer(commitDelay)
	defer t.Stop()
	select {
	case <-h.ctx.Done():
	case <-h.urgentCommit:
	case <-t.C:
	}
}

func (h *Holder) writeCommit(r *pendingCommit) bool {
	err := h.opt.Tenure.Commit(r.writes)
	if err == nil {
		return true
	}
	h.log.Info("write failed", "cause", err.Error(), "writes", len(r.writes))
	h.opt.Tenure.End()
	return false
}

// collectCommit takes what has to be stored, or returns nil when there is nothing.
func (h *Holder) collectCommit() (*pendingCommit, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &pendingCommit{}
	room := lead.MaxWrites
	crew := h.core.TrackedWorkers()
	if !sameMembers(crew, h.trackedWorkers) {
		data, err := json.Marshal(crew)
		if err != nil {
			return nil, errors.Wrap(err, "drive")
		}
		r.trackedWorkers = crew
		r.writes = append(r.writes, store.Write{Key: keyTrackedWorkers, Value: data})
		room--
	}
	if r.workerCount = len(crew); r.workerCount != h.trackedCount {
		r.writes = append(r.writes, lead.LoadWrite(r.workerCount))
		room--
	}
	// Half of the room is kept for progress: a flood of hand-ins mustn't keep ends from being stored.
	n := min(len(h.submissions), room/2)
	r.submissions, h.submissions = h.submissions[:n:n], h.submissions[n:]
	for _, s := range r.submissions {
		s.writing = true
		r.writes = append(r.writes, store.Write{Key: jobPrefix + s.job.ID, Value: s.data})
	}
	var err error
	if r.batch, err = h.core.CollectChanges((room - n) / 2); err != nil {
		return nil, err
	}
	for _, rec := range r.batch.Records {
		r.writes = append(r.writes, store.Write{Key: progressPrefix + rec.ID, Value: rec.Data})
		if rec.Final {
			r.writes = append(r.writes, store.Write{Key: jobPrefix + rec.ID, Delete: true})
		}
		r.recordWaiters = append(r.recordWaiters, h.recordWaiters[rec.ID]...)
		delete(h.recordWaiters, rec.ID)
	}
	if len(r.writes) == 0 && r.batch.Empty() {
		return nil, nil
	}
	// What has been learned goes along with a write that is due anyway.
	if now := time.Now(); len(r.writes) > 0 && len(r.writes) < lead.MaxWrites && now.Sub(h.learnedModelStoredAt) > learnedModelInterval {
		data, err := h.core.EncodeModel()
		if err != nil {
			return nil, err
		}
		h.learnedModelStoredAt = now
		r.writes = append(r.writes, store.Write{Key: keyLearnedModel, Value: data})
	}
	if len(r.writes) > 0 {
		h.writeStarted = time.Now()
	}
	return r, nil
}

func sameMembers(a, b []sched.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Incarnation != b[i].Incarnation || a[i].Addr != b[i].Addr {
			return false
		}
	}
	return true
}

// finishCommit has what follows from a write happen.
func (h *Holder) finishCommit(r *pendingCommit) {
	now := time.Now()
	h.mu.Lock()
	h.writeStarted = time.Time{}
	for _, s := range r.submissions {
		h.core.AddJob(now, s.job)
		delete(h.submissionsByID, s.job.ID)
		close(s.done)
	}
	h.core.MarkCommitted(r.batch)
	if r.trackedWorkers != nil {
		h.trackedWorkers = r.trackedWorkers
		h.core.MarkTracked(r.trackedWorkers)
	}
	h.trackedCount = r.workerCount
	close(h.commitDone)
	h.commitDone = make(chan struct{})
	h.mu.Unlock()
	for _, w := range r.recordWaiters {
		close(w)
	}
	h.requestPlan()
}

// forgetLoop drops jobs that ended long ago, here and in the store.
func (h *Holder) forgetLoop() {
	for wait.For(h.ctx, forgetInterval) {
		h.mu.Lock()
		gone := h.core.ForgetJobs(time.Now(), h.opt.JobRetention)
		h.mu.Unlock()
		for len(gone) > 0 {
			n := min(len(gone), lead.MaxWrites)
			var do []store.Write
			for _, id := range gone[:n] {
				do = append(do, store.Write{Key: progressPrefix + id, Delete: true})
			}
			gone = gone[n:]
			if err := h.opt.Tenure.Commit(do); err != nil {
				return
			}
		}
	}
}
