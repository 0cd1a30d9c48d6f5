package agent

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/peer/link"
)

// Guards against workers that count as out of contact, and whose polls then fall to the holder for 5 s, because an agent or
// the holder was short of processor time for a second: the agent didn't make the poll, so it can go another way at once.
func TestPollTooLateForItsAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, far := &recorder{out: sched.OutcomeDone}, &recorder{out: sched.OutcomeDone}
		a := newTestAgent("a", far)
		c := openTestClient(t, direct, a)
		var wg sync.WaitGroup
		a.freeze()
		wg.Go(func() { c.Poll(t.Context(), testPoll("v"), 1) })
		time.Sleep(10 * time.Millisecond) // w's poll waits for the answer to the batch with v's
		wg.Go(func() {
			if _, out := c.Poll(t.Context(), testPoll("w"), 1); out != sched.OutcomeDone {
				t.Errorf("poll of a sound worker: %s", out)
			}
		})
		time.Sleep(900 * time.Millisecond)
		a.thaw()
		time.Sleep(2 * time.Millisecond)
		a.freeze()
		time.Sleep(300 * time.Millisecond)
		a.thaw()
		wg.Wait()
		if n := c.logged("agent lost"); n != 0 {
			t.Errorf("agent lost %d times", n)
		}
		c.stop()
	})
}

// Guards against workers that are called directly for 5 s because their agent had too many calls once.
func TestPollOverSessionBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, far := &recorder{out: sched.OutcomeDone}, &recorder{out: sched.OutcomeDone}
		a := newTestAgent("a", far)
		c := openTestClient(t, direct, a)
		a.addCalls(maxSessionCalls)
		if _, out := c.Poll(t.Context(), testPoll("w"), 1); out != sched.OutcomeDone {
			t.Errorf("poll of a sound worker: %s", out)
		}
		a.addCalls(-maxSessionCalls)
		for range 3 {
			c.Poll(t.Context(), testPoll("w"), 1)
		}
		if polls, _ := direct.counts(); polls != 1 {
			t.Errorf("%d polls made directly, want the one beyond the bound", polls)
		}
		c.stop()
	})
}

// Guards against starts whose outcome counts as unknown, so that their tasks wait for the next poll, though their batch can't
// have reached the agent.
func TestBatchNotSent(t *testing.T) {
	for _, tt := range []struct {
		err  error
		want sched.Outcome
	}{
		{errors.Wrap(link.ErrUnreachable, "a"), sched.OutcomeDone},
		{errors.Wrap(link.ErrAnswerLost, "a"), sched.OutcomeUnknown},
	} {
		t.Run(tt.err.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct, far := &recorder{out: sched.OutcomeDone}, &recorder{out: sched.OutcomeDone}
				a := newTestAgent("a", far)
				c := openTestClient(t, direct, a)
				a.mu.Lock()
				a.refuse = tt.err
				a.mu.Unlock()
				if out := c.SendOrder(t.Context(), testOrder(sched.VerbStart, "w"), 1); out != tt.want {
					t.Errorf("start: %s, want %s", out, tt.want)
				}
				if c.InUse() {
					t.Error("the agent is still in use")
				}
				c.stop()
			})
		})
	}
}
