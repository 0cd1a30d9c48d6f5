package drive

import (
	"context"
	"strconv"
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

// Guards against memory that grows without bound with the cancels of unknown jobs, and against ids that are forgotten before
// their time to make room for others.
func TestCancelledIDsAreBounded(t *testing.T) {
	var ids cancelledIDs
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range maxCancelledIDs {
		if ids.add(start, strconv.Itoa(i)) == nil {
			t.Fatalf("no room after %d ids", i)
		}
	}
	if ids.add(start, "more") != nil {
		t.Errorf("room for over %d ids", maxCancelledIDs)
	}
	if left := ids.remaining(start.Add(time.Second), "0"); left != lateSubmissionWindow-time.Second {
		t.Errorf("the first id is refused for another %v", left)
	}
	ids.add(start, "0")
	if n := len(ids.removeExpired(start.Add(lateSubmissionWindow))); n != maxCancelledIDs || len(ids.byID) != 0 || len(ids.oldest) != 0 {
		t.Errorf("%d ids removed, %d and %d left", n, len(ids.byID), len(ids.oldest))
	}
	again := start.Add(lateSubmissionWindow)
	ids.add(again, "a")
	ids.add(again.Add(time.Second), "a")
	if gone := ids.removeExpired(again.Add(lateSubmissionWindow)); len(gone) != 0 {
		t.Errorf("%v forgotten before the window of the second cancel is over", gone)
	}
}
