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

// openTestClient returns a client whose calls go over the one agent.
func openTestClient(t *testing.T, direct *recorder, a *testAgent) *testClient {
	t.Helper()
	c := newTestClient(direct, a)
	c.update(2)
	synctest.Wait()
	time.Sleep(50 * time.Millisecond)
	if !c.InUse() {
		t.Fatal("the agent isn't used")
	}
	return c
}

// Guards against answers that are thrown away because they come late: a run whose start was carried out would be taken
// for lost, and be started again.
func TestLateAnswerIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, far := &recorder{}, &recorder{delay: 7 * time.Second, out: sched.OutcomeDone}
		c := openTestClient(t, direct, newTestAgent("a", far))
		var wg sync.WaitGroup
		wg.Go(func() {
			if out := c.SendOrder(t.Context(), testOrder(sched.VerbStart, "w"), 1); out != sched.OutcomeDone {
				t.Errorf("start: %s", out)
			}
		})
		wg.Go(func() {
			if rep, out := c.Poll(t.Context(), testPoll("w"), 1); out != sched.OutcomeDone || rep.StartedAt != 1 {
				t.Errorf("poll: %+v %s", rep, out)
			}
		})
		wg.Wait()
		if polls, orders := direct.counts(); polls+orders != 0 {
			t.Errorf("%d polls and %d orders made directly", polls, orders)
		}
		c.stop()
	})
}

// Guards against a holder that takes its agents for lost because it reads their replies late.
func TestRepliesReadLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, far := &recorder{}, &recorder{out: sched.OutcomeDone}
		a := newTestAgent("a", far)
		c := openTestClient(t, direct, a)
		a.setDelay(agentTimeout + readGrace/2)
		for range 5 {
			if out := c.SendOrder(t.Context(), testOrder(sched.VerbStop, "w"), 1); out != sched.OutcomeDone {
				t.Errorf("stop: %s", out)
			}
			time.Sleep(agentTimeout + readGrace) // until the next batch may leave
		}
		if n := c.logged("agent lost"); n != 0 {
			t.Errorf("%d agents lost", n)
		}
		c.stop()
	})
}

// Guards against calls that an agent takes and doesn't finish because it stops, and against calls that wait for an agent
// that takes none.
func TestAgentStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, far := &recorder{out: sched.OutcomeDone}, &recorder{delay: time.Second, out: sched.OutcomeDone}
		a := newTestAgent("a", far)
		c := openTestClient(t, direct, a)
		var wg sync.WaitGroup
		wg.Go(func() {
			if _, out := c.Poll(t.Context(), testPoll("w"), 1); out != sched.OutcomeDone {
				t.Errorf("poll in flight: %s", out)
			}
		})
		wg.Go(func() {
			if out := c.SendOrder(t.Context(), testOrder(sched.VerbStart, "w"), 1); out != sched.OutcomeDone {
				t.Errorf("start in flight: %s", out)
			}
		})
		time.Sleep(100 * time.Millisecond)
		a.service.Stop()
		// The refusal comes back in some milliseconds; the start isn't known to have failed.
		if out := c.SendOrder(t.Context(), testOrder(sched.VerbStart, "v"), 1); out != sched.OutcomeDone {
			t.Errorf("start after the stop: %s", out)
		}
		if _, orders := direct.counts(); orders != 1 {
			t.Errorf("%d orders made directly, want the one after the stop", orders)
		}
		wg.Wait()
		if polls, orders := far.counts(); polls != 1 || orders != 1 {
			t.Errorf("%d polls and %d orders made by the agent, want those in flight", polls, orders)
		}
		if n := c.logged("agent lost"); n != 0 {
			t.Errorf("%d agents lost", n)
		}
		if n := c.logged("agent stops"); n != 1 {
			t.Errorf("%d agents stop", n)
		}
		c.stop()
	})
}

// Guards against a holder that learns only by the next call that an agent stops.
func TestIdleAgentStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent("a", &recorder{})
		c := openTestClient(t, &recorder{}, a)
		a.service.Stop()
		time.Sleep(50 * time.Millisecond)
		if c.InUse() || c.logged("agent stops") != 1 || c.logged("agent lost") != 0 {
			t.Error("the agent is still in use, or was taken for lost")
		}
		c.stop()
	})
}

// Guards against a holder that tries an agent of an older build again and again, or makes no calls because of it.
func TestAgentOfOlderBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &recorder{out: sched.OutcomeDone}
		a := &testAgent{addr: "a", lost: make(chan struct{})}
		c := newTestClient(direct, a)
		begun := time.Now()
		for time.Since(begun) < refusedAgentCooldown {
			c.update(2)
			if _, out := c.Poll(t.Context(), testPoll("w"), 1); out != sched.OutcomeDone {
				t.Errorf("poll: %s", out)
			}
			time.Sleep(300 * time.Millisecond)
		}
		if n := a.callCount(); n != 1 {
			t.Errorf("tried %d times within a minute, want once", n)
		}
		time.Sleep(time.Second)
		c.update(2)
		time.Sleep(time.Second)
		if n := a.callCount(); n != 2 {
			t.Errorf("tried %d times after a minute, want again", n)
		}
		c.stop()
	})
}

// Guards against a worker that stays out of contact because its agent doesn't reach it, though the holder does.
func TestWorkerOutOfAgentsReach(t *testing.T) {
	for _, tt := range []struct{ far, first sched.Outcome }{
		{sched.OutcomeUnknown, sched.OutcomeUnknown}, // the worker's answer may still come
		{sched.OutcomeUnsent, sched.OutcomeDone},
	} {
		synctest.Test(t, func(t *testing.T) {
			direct, far := &recorder{out: sched.OutcomeDone}, &recorder{out: tt.far}
			c := openTestClient(t, direct, newTestAgent("a", far))
			if _, out := c.Poll(t.Context(), testPoll("w"), 1); out != tt.first {
				t.Errorf("poll over the agent: %s", out)
			}
			if _, out := c.Poll(t.Context(), testPoll("w"), 1); out != sched.OutcomeDone {
				t.Errorf("next poll: %s", out)
			}
			if out := c.SendOrder(t.Context(), testOrder(sched.VerbStart, "w"), 1); out != sched.OutcomeDone {
				t.Errorf("start: %s", out)
			}
			if out := c.SendOrder(t.Context(), testOrder(sched.VerbStart, "v"), 1); out != tt.far {
				t.Errorf("start on another worker: %s, want over the agent", out)
			}
			time.Sleep(directTime)
			before, _ := far.counts()
			c.Poll(t.Context(), testPoll("w"), 1)
			if after, _ := far.counts(); after != before+1 {
				t.Errorf("poll %s later isn't made over the agent", directTime)
			}
			c.stop()
		})
	}
}

// Guards against a poll that acknowledges ends, or grants a lease, to a later incarnation of its worker: it was made for
// the former one, sat in an agent that is lost or slow, and is made another way.
func TestPollMadeAgainGrantsNothing(t *testing.T) {
	for _, slow := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			direct, far := &recorder{out: sched.OutcomeDone}, &recorder{out: sched.OutcomeDone}
			a := newTestAgent("a", far)
			c := openTestClient(t, direct, a)
			if slow {
				a.setDelay(maxPollTransit + 100*time.Millisecond)
				go c.SendOrder(t.Context(), testOrder(sched.VerbStop, "v"), 1)
				time.Sleep(time.Millisecond)
			} else {
				a.freeze()
			}
			req := testPoll("w")
			req.LeaseUntil, req.AckedSeq = time.Minute, 7
			if _, out := c.Poll(t.Context(), req, 1); out != sched.OutcomeDone {
				t.Errorf("poll: %s", out)
			}
			if !slow {
				a.thaw()
			}
			time.Sleep(5 * time.Second)
			made := append(direct.pollsMade(), far.pollsMade()...)
			if len(made) != 1 || made[0].LeaseUntil != 0 || made[0].AckedSeq != 0 || made[0].Wait != 0 {
				t.Errorf("polls made: %+v", made)
			}
			c.stop()
		})
	}
}

// Guards against a holder that calls all lost workers directly: one that it doesn't reach either is left to the agent.
func TestWorkerOutOfEveryReach(t *testing.T) {
	for _, lost := range []sched.Outcome{sched.OutcomeUnknown, sched.OutcomeUnsent} {
		synctest.Test(t, func(t *testing.T) {
			direct, far := &recorder{out: lost}, &recorder{out: lost}
			c := openTestClient(t, direct, newTestAgent("a", far))
			for range 20 {
				if _, out := c.Poll(t.Context(), testPoll("w"), 1); out != lost {
					t.Errorf("poll: %s", out)
				}
			}
			if polls, _ := direct.counts(); polls != 1 {
				t.Errorf("%d polls made directly, want one", polls)
			}
			time.Sleep(directTime)
			c.Poll(t.Context(), testPoll("w"), 1)
			c.Poll(t.Context(), testPoll("w"), 1)
			if polls, _ := direct.counts(); polls != 2 {
				t.Errorf("%d polls made directly, want another one %s later", polls, directTime)
			}
			c.stop()
		})
	}
}

// Guards against a holder that waits for agents though there is no follower, or though it needs none.
func TestHolderWithoutFollowers(t *testing.T) {
	for _, tt := range []struct {
		name              string
		workers, capacity int
		want              time.Duration
	}{
		{"more workers than capacity", 100, 10, maxFirstWait},
		{"capacity for all", 10, 10, 0},
		{"capacity not known", 100, 0, 0},
		{"no worker yet", 0, 10, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestClient(&recorder{out: sched.OutcomeDone})
				begun := time.Now()
				c.Update(begun, nil, Demand{Workers: tt.workers, Capacity: tt.capacity})
				if _, out := c.Poll(t.Context(), testPoll("w"), 1); out != sched.OutcomeDone {
					t.Errorf("poll: %s", out)
				}
				if took := time.Since(begun); took != tt.want {
					t.Errorf("waited %s, want %s", took, tt.want)
				}
				c.stop()
			})
		})
	}
}

// Guards against an agent that goes on with the calls of a former holder, or keeps its answers for good.
func TestSessionOfFormerHolderEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		far := &recorder{delay: time.Hour, out: sched.OutcomeDone}
		a := newTestAgent("a", far)
		c := openTestClient(t, &recorder{}, a)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { c.Poll(ctx, testPoll("w"), 1) })
		time.Sleep(100 * time.Millisecond)
		cancel()
		c.cancel()
		wg.Wait()
		c.Wait()
		time.Sleep(sessionTimeout + time.Second)
		a.service.wg.Wait() // the poll is given up long before the worker would answer
		a.service.mu.Lock()
		sessions := len(a.service.sessions)
		a.service.mu.Unlock()
		if sessions != 0 {
			t.Error("the session still exists")
		}
		var out ReceiveReply
		if err := a.service.Receive(ReceiveArgs{"x"}, &out); err != errNoSession {
			t.Errorf("Receive without a session: %v", err)
		}
		if err := a.service.Send(SendArgs{Session: "x", Calls: []Call{{ID: 1}}}, new(int)); err != errNoSession {
			t.Errorf("Send without a session: %v", err)
		}
	})
}

// Guards against a start that runs a task twice: it sits in a frozen agent, is made another way, and is carried out once
// more when the agent goes on.
func TestOrdersInFrozenAgent(t *testing.T) {
	for _, tt := range []struct {
		verb   sched.Verb
		want   sched.Outcome
		direct int
	}{
		{sched.VerbStart, sched.OutcomeUnknown, 0},
		{sched.VerbThrottle, sched.OutcomeUnknown, 0},
		{sched.VerbStop, sched.OutcomeDone, 1},
	} {
		t.Run(string(tt.verb), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct, far := &recorder{out: sched.OutcomeDone}, &recorder{out: sched.OutcomeDone}
				a := newTestAgent("a", far)
				c := openTestClient(t, direct, a)
				a.freeze()
				begun := time.Now()
				if out := c.SendOrder(t.Context(), testOrder(tt.verb, "w"), 1); out != tt.want {
					t.Errorf("outcome %s, want %s", out, tt.want)
				}
				if took := time.Since(begun); took > 1500*time.Millisecond {
					t.Errorf("took %s of the workers' lease", took)
				}
				a.thaw()
				time.Sleep(5 * time.Second)
				if _, orders := direct.counts(); orders != tt.direct {
					t.Errorf("%d orders made directly, want %d", orders, tt.direct)
				}
				if _, orders := far.counts(); orders != 0 {
					t.Errorf("the agent carried out %d orders that were out of date", orders)
				}
				c.stop()
			})
		})
	}
}

// Guards against orders that leave long after they were checked: those that have waited for the answer to the batch
// before them are out of date, as an operator may have closed their worker meanwhile.
func TestOrderWaitsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, far := &recorder{out: sched.OutcomeDone}, &recorder{out: sched.OutcomeDone}
		a := newTestAgent("a", far)
		c := openTestClient(t, direct, a)
		a.setDelay(2 * maxOrderTransit)
		var wg sync.WaitGroup
		wg.Go(func() { c.SendOrder(t.Context(), testOrder(sched.VerbStart, "v"), 1) })
		time.Sleep(50 * time.Millisecond)
		if out := c.SendOrder(t.Context(), testOrder(sched.VerbStart, "w"), 1); out != sched.OutcomeUnsent {
			t.Errorf("start behind a slow batch: %s, want unsent", out)
		}
		wg.Wait()
		if _, orders := far.counts(); orders != 1 {
			t.Errorf("%d orders made, want the first", orders)
		}
		c.stop()
	})
}

// Guards against an agent whose memory grows without bound with the calls of a holder.
func TestSessionCallsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewService(&recorder{delay: time.Second, out: sched.OutcomeDone})
		if err := s.Open(OpenArgs{"x"}, new(OpenReply)); err != nil {
			t.Fatal(err)
		}
		args := SendArgs{Session: "x"}
		req := testPoll("w")
		for i := range maxSessionCalls + 3 {
			args.Calls = append(args.Calls, Call{ID: uint64(i), Deadline: time.Second, Poll: &req})
		}
		if err := s.Send(args, new(int)); err != nil {
			t.Fatal(err)
		}
		var out ReceiveReply
		if err := s.Receive(ReceiveArgs{"x"}, &out); err != nil {
			t.Fatal(err)
		}
		unsent := 0
		for _, a := range out.Answers {
			if a.Outcome == sched.OutcomeUnsent {
				unsent++
			}
		}
		if unsent != 3 {
			t.Errorf("%d calls refused, want 3", unsent)
		}
		s.Close()
	})
}

// Guards against agents that change needlessly: each change costs connections to all their workers.
func TestUpdateKeepsAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var agents []*testAgent
		for i := range 12 {
			agents = append(agents, newTestAgent(fmt.Sprintf("a%d", i), &recorder{out: sched.OutcomeDone}))
		}
		c := newTestClient(&recorder{}, agents...)
		c.update(10)
		time.Sleep(time.Second)
		chosen := len(c.used())
		addrs := c.addrs
		c.addrs = nil // heartbeats are read late
		c.update(10)
		c.addrs = addrs
		c.update(9)
		c.update(10)
		if n := c.logged(`"msg"="agents"`); n != 1 || chosen != 4 {
			t.Errorf("%d agents, chosen %d times; want 4, once", chosen, n)
		}
		c.update(0)
		time.Sleep(time.Second)
		if c.InUse() || c.logged("agent lost")+c.logged("agent stops") != 0 {
			t.Error("agents still in use, or taken for lost, with capacity for all workers")
		}
		c.stop()
	})
}
