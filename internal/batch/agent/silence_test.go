package agent

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against a holder without capacity that makes all calls by itself for 5 s because it was itself too short of
// processor time for a good second to read its agents' replies: agents that fall silent all at once are not at fault.
func TestHolderReadsAllRepliesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, far := &recorder{out: sched.OutcomeDone}, &recorder{out: sched.OutcomeDone}
		agents := []*testAgent{newTestAgent("a", far), newTestAgent("b", far), newTestAgent("c", far)}
		c := newTestClient(direct, agents...)
		c.update(7)
		time.Sleep(50 * time.Millisecond)
		if len(c.used()) != 3 {
			t.Fatal("not all agents are used")
		}
		for _, a := range agents {
			a.setDelay(1300 * time.Millisecond)
		}
		c.Poll(t.Context(), testPoll("w"), 1)
		time.Sleep(1300 * time.Millisecond)
		for _, a := range agents {
			a.setDelay(0)
		}
		for range 4 {
			time.Sleep(300 * time.Millisecond)
			c.update(7)
		}
		before, _ := direct.counts()
		for range 10 {
			c.Poll(t.Context(), testPoll("w"), 1)
		}
		if after, _ := direct.counts(); after > before {
			t.Errorf("%d of 10 polls made directly 1.2 s after the holder has its processor time back", after-before)
		}
		c.stop()
	})
}

// Guards against lost agents that stay in use because a holder that no agent answers waits for them.
func TestSilentAgentsReplaced(t *testing.T) {
	for _, tt := range []struct {
		agents int
		within time.Duration
	}{
		{1, 1500 * time.Millisecond},
		{3, 2500 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(tt.agents), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct, far := &recorder{out: sched.OutcomeDone}, &recorder{out: sched.OutcomeDone}
				var all []*testAgent
				for i := range 2 * tt.agents {
					all = append(all, newTestAgent(fmt.Sprintf("a%d", i), far))
				}
				c := newTestClient(direct, all...)
				workers := 5 * tt.agents / 2
				c.update(workers)
				time.Sleep(50 * time.Millisecond)
				lost := c.used()
				if len(lost) != tt.agents {
					t.Fatalf("%d agents are used, want %d", len(lost), tt.agents)
				}
				for _, a := range lost {
					a.freeze()
				}
				time.Sleep(tt.within)
				before, _ := direct.counts()
				for i := range 10 {
					if _, out := c.Poll(t.Context(), testPoll(fmt.Sprintf("w%d", i)), 1); out != sched.OutcomeDone {
						t.Errorf("poll: %s", out)
					}
				}
				if after, _ := direct.counts(); after > before {
					t.Errorf("%d of 10 polls made directly %s after the loss", after-before, tt.within)
				}
				for _, a := range lost {
					a.thaw()
				}
				c.stop()
			})
		})
	}
}
