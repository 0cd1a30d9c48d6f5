package drive

import (
	"context"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against a job that runs though its cancel was answered "no such job": it was submitted after the cancel had looked
// for a submission, and before it looked for the job.
func TestSubmissionWithinCancel(t *testing.T) {
	h := newBenchHolder(1)
	h.ctx, h.submissionsByID = context.Background(), map[string]*submission{}
	if !h.cancelSubmission(t.Context(), "a") {
		t.Fatal("the cancel waits for a submission")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s, reply := h.enterSubmission(time.Now(), &sched.Job{ID: "a"}, nil)
	if s != nil || !reply.Final {
		t.Errorf("submission %+v, reply %+v, want a final refusal", s, reply)
	}
}
