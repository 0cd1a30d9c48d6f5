package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// timedRecorder records when orders are made.
type timedRecorder struct {
	recorder
	last time.Time
}

func (w *timedRecorder) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	w.mu.Lock()
	w.last = time.Now()
	w.mu.Unlock()
	return w.recorder.SendOrder(ctx, o, fence)
}

// Guards against DRAIN and UNASKED: a start that an agent refuses late is passed on to another with the whole time for its
// transit anew, so it leaves longer after its check than sched reserves (400 ms, of which the age of the store's
// confirmation takes a part).
func TestOrderTransitOverSeveralAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		far := &timedRecorder{recorder: recorder{out: sched.OutcomeDone}}
		a, b := newTestAgent("a", far), newTestAgent("b", far)
		c := newTestClient(&recorder{out: sched.OutcomeDone}, a, b)
		c.update(4)
		time.Sleep(50 * time.Millisecond)
		if len(c.used()) != 2 {
			t.Fatal("not both agents are used")
		}
		first := c.agents[preferred(c.sessions, "w").addr]
		other := map[*testAgent]*testAgent{a: b, b: a}[first]
		first.service.mu.Lock()
		first.service.stopping = true // told to stop; its answer to the start is the first that the holder hears of it
		first.service.mu.Unlock()
		first.setDelay(280 * time.Millisecond)
		begun := time.Now()
		time.AfterFunc(200*time.Millisecond, other.freeze)
		time.AfterFunc(560*time.Millisecond, other.thaw)
		out := c.SendOrder(t.Context(), testOrder(sched.VerbStart, "w"), 1)
		if transit := far.last.Sub(begun); transit > maxOrderTransit {
			t.Errorf("the start was made %v after it was checked, want %v at most; outcome %s", transit, maxOrderTransit, out)
		}
		c.stop()
	})
}

// Guards against starts that leave long after they were checked, as they have waited for agents: those of a new holder, and
// those that no agent replies to.
func TestOrderTransitIncludesWaits(t *testing.T) {
	for _, tt := range []struct {
		verb sched.Verb
		want sched.Outcome
	}{
		{sched.VerbStart, sched.OutcomeUnsent},
		{sched.VerbThrottle, sched.OutcomeUnsent},
		{sched.VerbStop, sched.OutcomeDone},
	} {
		t.Run(string(tt.verb), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct := &timedRecorder{recorder: recorder{out: sched.OutcomeDone}}
				c := newTestClient(direct)
				c.update(2)
				begun := time.Now()
				if out := c.SendOrder(t.Context(), testOrder(tt.verb, "w"), 1); out != tt.want {
					t.Errorf("outcome %s, want %s", out, tt.want)
				}
				if _, orders := direct.counts(); orders > 0 && tt.verb != sched.VerbStop {
					t.Errorf("made %s after it was checked, want %s at most", direct.last.Sub(begun), maxOrderTransit)
				}
				c.stop()
			})
		})
	}
}
