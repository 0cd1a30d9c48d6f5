package drive

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// reportEnd lets a worker report its seq-th end, which is of a task that the core doesn't know.
func reportEnd(h *Holder, id string, seq int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.core.HandleReport(now, now, id, sched.Report{StartedAt: 1, Finished: []sched.FinishedRun{{Seq: seq, Task: "gone.0.0.0", Run: 1, End: sched.EndDone}}})
}

// Guards against a poll that is sent before its worker's ends are stored, and against one that waits although they are:
// a commit stores the ends of some workers only.
func TestCommitWakesAckedPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newBenchHolder(3)
		h.ctx = context.Background()
		h.ackWaiters = map[string]chan struct{}{}
		h.commitWake, h.planWake = make(chan struct{}, 1), make(chan struct{}, 1)
		var mu sync.Mutex
		waited := map[string]time.Duration{} // by worker id
		await := func(id string) {
			reportEnd(h, id, 1)
			start := time.Now()
			go func() {
				h.awaitStoredEnds(id)
				mu.Lock()
				defer mu.Unlock()
				waited[id] = time.Since(start)
			}()
		}
		await("w0")
		await("w1")
		c, err := h.collectCommit()
		if err != nil {
			t.Fatal(err)
		}
		await("w2") // too late for this commit
		longest := h.core.MaxStoreWait(time.Now(), "w2")
		time.Sleep(100 * time.Millisecond)
		h.finishCommit(c)
		time.Sleep(longest)
		synctest.Wait()
		want := map[string]time.Duration{"w0": 100 * time.Millisecond, "w1": 100 * time.Millisecond, "w2": longest}
		if fmt.Sprint(waited) != fmt.Sprint(want) {
			t.Errorf("polls waited %v, want %v", waited, want)
		}
		if len(h.ackWaiters) != 0 {
			t.Errorf("%d polls are still registered", len(h.ackWaiters))
		}
	})
}
