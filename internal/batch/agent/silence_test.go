package agent

import (
	"context"
	"fmt"
	"sync"
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

// Guards against a holder that goes on to make calls by itself after a second without processor time, as some of the agents
// that it has opened again count as lost or calls are passed from one silent agent to the next.
func TestFewDirectCallsAfterSilence(t *testing.T) {
	for _, lag := range []time.Duration{1300 * time.Millisecond, 2 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const workers = 60
				direct, far := &recorder{out: sched.OutcomeDone, delay: time.Second}, &recorder{out: sched.OutcomeDone, delay: time.Second}
				agents := []*testAgent{newTestAgent("a", far), newTestAgent("b", far), newTestAgent("c", far)}
				c := newTestClient(direct, agents...)
				c.update(7)
				time.Sleep(50 * time.Millisecond)
				var wg sync.WaitGroup
				end := time.Now().Add(12 * time.Second)
				for i := range workers {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * 17 * time.Millisecond)
						for time.Now().Before(end) {
							begun := time.Now()
							c.Poll(t.Context(), testPoll(fmt.Sprintf("w%d", i)), 1)
							if took := time.Since(begun); took > 3500*time.Millisecond {
								t.Errorf("a poll took %s", took)
							}
						}
					})
				}
				wg.Go(func() {
					for time.Now().Before(end) {
						time.Sleep(300 * time.Millisecond)
						c.update(7)
					}
				})
				time.Sleep(3 * time.Second)
				for _, a := range agents {
					a.setDelay(lag)
				}
				time.Sleep(lag)
				for _, a := range agents {
					a.setDelay(0)
				}
				wg.Wait()
				if polls, _ := direct.counts(); polls > workers {
					t.Errorf("%d polls made directly, want one of each of %d workers at most", polls, workers)
				}
				if n := c.logged(`"how"="lost"`); n != 0 {
					t.Errorf("%d agents excluded", n)
				}
				c.stop()
			})
		})
	}
}

// Guards against tasks that end, or run twice, because a holder short of processor time reads its agents' replies late.
func TestLeasesSurviveSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, tasks = 20, 60
		h := startHolding(t, workers, 8, time.Hour)
		h.submit("a", tasks, true)
		h.awaitStart()
		for _, a := range h.client.agents {
			a.setDelay(1300 * time.Millisecond)
		}
		time.Sleep(1300 * time.Millisecond)
		for _, a := range h.client.agents {
			a.setDelay(0)
		}
		h.submit("b", tasks, true)
		time.Sleep(12 * time.Second)
		if n := h.workers.RunningCount(); n != 2*tasks {
			t.Errorf("%d tasks run, want %d", n, 2*tasks)
		}
		if n := h.client.logged(`"how"="lost"`); n != 0 {
			t.Errorf("%d agents excluded", n)
		}
		h.check()
		h.stop()
	})
}

// Guards against agents that are taken for lost by a holder which had no processor time during the grace for their replies,
// and against a lost agent that a slow holder never gives up.
func TestGraceNoticedLate(t *testing.T) {
	for _, tt := range []struct {
		name string
		left int
		late time.Duration
		full bool
		want sessionState
	}{
		{"in time", maxGraces - 1, 0, false, stateEnded},
		{"a little late", maxGraces - 1, readGrace / 2, false, stateEnded},
		{"late", maxGraces - 1, readGrace, false, stateOpen},
		{"late once too often", 0, readGrace, false, stateEnded},
		{"link full", 0, 0, true, stateOpen},
		{"link full once too often", -maxFullGraces, 0, true, stateEnded},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestAgent("a", &recorder{out: sched.OutcomeDone})
				c := openTestClient(t, &recorder{out: sched.OutcomeDone}, a)
				r := c.sessions[0]
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r.endGrace(ctx, tt.left, tt.late, tt.full)
				if got := r.currentState(); got != tt.want {
					t.Errorf("state %d, want %d", got, tt.want)
				}
				time.Sleep(readGrace)
				synctest.Wait()
				if got := r.currentState(); got != stateEnded {
					t.Errorf("state %d after another grace, noticed in time; want ended", got)
				}
				c.stop()
			})
		})
	}
}

// Guards against agents that are all taken for lost, and replaced, because their replies wait behind a large value that the
// holder receives over its narrow link.
func TestRepliesBehindLargeValue(t *testing.T) {
	for _, tt := range []struct {
		name string
		mbps float64
		lost int
	}{{"narrow link", 2, 0}, {"wide link", 200, 1}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestAgent("a", &recorder{out: sched.OutcomeDone})
				c := newTestClient(&recorder{out: sched.OutcomeDone}, a)
				begun := time.Now()
				c.opts.LinkMbps, c.opts.ReceivedBytes = tt.mbps, func() int64 { return int64(time.Since(begun).Seconds() * 2e6 / 8) }
				c.update(2)
				time.Sleep(50 * time.Millisecond)
				a.setDelay(1600 * time.Millisecond)
				time.Sleep(300 * time.Millisecond)
				a.setDelay(0)
				time.Sleep(1900 * time.Millisecond)
				if n := c.logged("agent lost"); n < tt.lost || n > 0 && tt.lost == 0 {
					t.Errorf("%d agents lost, want %d", n, tt.lost)
				}
				c.stop()
			})
		})
	}
}

// Guards against calls that are made directly although an agent is about to be opened again: another session that is
// silent too changes its state meanwhile, and counts as one that takes calls.
func TestSilentSessionsTakeNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent("a", &recorder{out: sched.OutcomeDone})
		c := openTestClient(t, &recorder{out: sched.OutcomeDone}, a)
		a.freeze()
		time.Sleep(agentTimeout)
		c.Client.mu.Lock()
		c.handleSilence(c.sessions[0])
		c.checkReady()
		select {
		case <-c.agentsReady:
			t.Error("calls no longer wait, though no session is answered")
		default:
		}
		c.Client.mu.Unlock()
		a.thaw()
		c.stop()
	})
}
