package drive

import (
	"context"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

// submission is a submitted job that is neither stored nor withdrawn.
type submission struct {
	job       *sched.Job
	data      []byte        // the job as stored, in JSON
	settled   chan struct{} // closed once the job is stored or withdrawn
	stored    bool          // the job is stored; set before settled is closed
	writing   bool          // it is part of a write, which may have reached the store
	cancelled bool          // a caller has cancelled the job, which ends as soon as it is stored
	waiting   int           // submitters that wait for it
	memory    int64         // expected memory that memoryGuard.accept has recorded
}

// enterSubmission returns the submission of a job, which it shares with other submitters. It returns a refusal if the job
// can't be accepted now. The caller holds h.mu.
func (h *Holder) enterSubmission(now time.Time, job *sched.Job, data []byte) (*submission, Reply) {
	s := h.submissionsByID[job.ID]
	if s == nil {
		if left := h.cancelledIDs.remaining(now, job.ID); left > 0 {
			return nil, cancelledReply(left)
		}
		memory := job.ExpectedMemory(now, len(data))
		if refusal, refused := h.refuseJob(now, job, memory); refused {
			return nil, refusal
		}
		s = &submission{job: job, data: data, settled: make(chan struct{}), memory: h.admission.memory.accept(memory)}
		h.submissionsByID[job.ID] = s
		h.submissions = append(h.submissions, s)
	}
	s.waiting++
	return s, Reply{}
}

// cancelledReply returns the reply to a submission of a job that doesn't exist, as it has been cancelled. A new one is
// accepted after a delay.
func cancelledReply(after time.Duration) Reply {
	reply := RefusedReply("cancelled a moment ago", after)
	reply.Final = true
	return reply
}

// awaitSubmission waits until a submission is settled, and reports whether it is. It returns earlier if ctx or the tenure
// ends.
func (h *Holder) awaitSubmission(ctx context.Context, s *submission) bool {
	select {
	case <-s.settled:
		return true
	case <-ctx.Done():
	case <-h.ctx.Done():
	}
	return false
}

// leaveSubmission returns the reply to a submitter that stops waiting. The last one withdraws a submission that isn't
// settled. The result is unknown if others go on waiting, or if it is already part of a write, which may still succeed.
func (h *Holder) leaveSubmission(s *submission) Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.waiting--
	switch {
	case s.stored:
		return Reply{Result: ResultDone}
	case h.submissionsByID[s.job.ID] != s:
		return cancelledReply(lateSubmissionWindow)
	case s.writing:
		return Reply{Result: ResultUnknown, Why: "store answers late"}
	case s.waiting > 0:
		return Reply{Result: ResultUnknown, Why: "another request submits the job"}
	}
	h.withdrawSubmission(s)
	return RefusedReply("store away", retryAfterStoreOutage)
}

// withdrawSubmission removes a submission that isn't part of a write. The caller holds h.mu.
func (h *Holder) withdrawSubmission(s *submission) {
	h.submissions = slices.DeleteFunc(slices.Clone(h.submissions), func(other *submission) bool { return other == s })
	delete(h.submissionsByID, s.job.ID)
	h.admission.memory.settle(s.memory, false)
	close(s.settled)
}

// finishSubmission enters the job of a stored submission, which ends at once if it has been cancelled. The caller holds
// h.mu.
func (h *Holder) finishSubmission(now time.Time, s *submission) {
	h.core.AddJob(now, s.job)
	h.admission.memory.settle(s.memory, true)
	delete(h.submissionsByID, s.job.ID)
	if s.cancelled {
		h.core.CancelJob(now, s.job.ID)
		wait.Wake(h.urgentCommit)
	}
	s.stored = true
	close(s.settled)
}

// cancelSubmission cancels the job of a submission that isn't stored, if there is one: it is withdrawn, or ends as soon as
// it is stored. It returns false if the outcome isn't known when ctx or the tenure ends. From the call on, the id of a job
// that neither is submitted nor exists isn't accepted for a while.
func (h *Holder) cancelSubmission(ctx context.Context, id string) bool {
	h.mu.Lock()
	s := h.submissionsByID[id]
	if s == nil {
		if !h.core.HasJob(id) {
			h.noteCancelled(id, false)
		}
		h.mu.Unlock()
		return true
	}
	s.cancelled = true
	h.log.Info("cancels a submission", "job", id, "writing", s.writing)
	if !s.writing {
		h.withdrawSubmission(s)
		h.noteCancelled(id, true)
	}
	h.mu.Unlock()
	return h.awaitSubmission(ctx, s)
}
