package rack

import (
	"testing"
	"time"

	fakeworker "bramleysail.example/bramleysail/internal/fake/worker"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// harness holds a stand-in for a worker, and a clock, for tests that deliver each message themselves.
type harness struct {
	now       time.Time
	startTime time.Time // when the worker's own clock was 0
	worker    *fakeworker.Worker
}

func newHarness() *harness {
	h := &harness{now: time.Unix(1000, 0), startTime: time.Unix(1000, 0)}
	h.worker = fakeworker.NewAt(workerSize, 0, func() wire.WorkerTime { return wire.WorkerTime(h.now.Sub(h.startTime)) })
	return h
}

// newHolder returns a core that has fenced and renewed the worker and has a reply from its bucket.
func (h *harness) newHolder(epoch uint64) *Core {
	c := New(h.now, Options{Rack: "r", Zone: "z", Epoch: epoch, LeaseTTL: testLeaseTTL, MaxConfigAge: testMaxConfigAge, BucketOf: func(string) string { return "b" }})
	c.SetWorkers([]string{"w"})
	h.deliver(c, h.tick(c))
	h.deliver(c, h.tick(c))
	c.HandleReply(h.now, "b", jobs.RackReply{OK: true})
	return c
}

func (h *harness) tick(c *Core) []Action {
	return c.Tick(h.now, ZoneStatus{Usable: true, ConfirmedAt: h.now})
}

// deliver carries out the actions and passes the results to the core.
func (h *harness) deliver(c *Core, actions []Action) (refused []wire.Refusal) {
	for _, a := range actions {
		var refusal wire.Refusal
		var rep wire.Report
		switch a := a.(type) {
		case Fence:
			rep, refusal = h.worker.Fence(a.Msg)
			c.HandleFenceResult(h.now, a.Addr, CommandResult{Report: rep, Refusal: refusal})
		case Renew:
			rep, refusal = h.worker.Renew(a.Msg)
			c.HandleRenewResult(h.now, a.Addr, CommandResult{Report: rep, Refusal: refusal})
		case Start:
			rep, refusal = h.worker.Start(a.Msg)
			c.HandleStartResult(h.now, a.Placement, CommandResult{Report: rep, Refusal: refusal})
		case TaskCommand:
			rep, refusal = h.worker.Act(a.Msg)
			c.HandleTaskCommandResult(h.now, a.Placement, a.Msg.Verb, CommandResult{Report: rep, Refusal: refusal})
		}
		if refusal != "" {
			refused = append(refused, refusal)
		}
	}
	return refused
}

// wantTask passes the core a reply in which the bucket wants one task.
func (h *harness) wantTask(c *Core) jobs.Placement {
	p := jobs.Placement{Job: "audit", Index: 0, No: 1}
	c.HandleReply(h.now, "b", jobs.RackReply{OK: true, Run: []jobs.Task{{Place: p,
		Spec: jobs.Spec{ID: "audit", N: 1, Size: wire.Size{CPU: 1000, Mem: 1000}, Run: time.Hour}}}})
	return p
}

// TestFormerHolderStartRefused covers a holder that is paused between emitting a start and sending it, loses the
// rack, and resumes before the start's deadline. The task would run twice: on this worker, and where it was placed
// after the new holder took over. The worker must refuse the older epoch.
func TestFormerHolderStartRefused(t *testing.T) {
	h := newHarness()
	old := h.newHolder(1)
	h.wantTask(old)
	late := h.tick(old)
	h.newHolder(2)
	if refused := h.deliver(old, late); len(refused) != 1 || refused[0] != wire.RefusalEpochMismatch || len(h.worker.RunningTasks()) > 0 {
		t.Errorf("a former holder's start: refused %v, runs %v", refused, h.worker.RunningTasks())
	}
}

// TestLateRenewal covers a renewal that is delayed for longer than the lease. By then the holder has treated the
// lease as expired, and the task runs elsewhere; the renewal must not make it run on this worker again.
func TestLateRenewal(t *testing.T) {
	h := newHarness()
	c := h.newHolder(1)
	h.wantTask(c)
	h.deliver(c, h.tick(c))
	if len(h.worker.RunningTasks()) != 1 {
		t.Fatal("the task doesn't run")
	}
	h.now = h.now.Add(testLeaseTTL / 2)
	h.deliver(c, h.tick(c))
	renewedAt := h.now
	h.now = h.now.Add(testLeaseTTL / 6)
	var late []Renew
	for _, a := range h.tick(c) {
		if r, ok := a.(Renew); ok {
			late = append(late, r)
		}
	}
	if len(late) != 1 {
		t.Fatalf("%d renewals", len(late))
	}
	emittedAt := h.now
	h.now = renewedAt.Add(testLeaseTTL - time.Millisecond) // the previous lease is about to expire
	if _, refusal := h.worker.Renew(late[0].Msg); refusal != "" {
		t.Fatal(refusal)
	}
	h.now = emittedAt.Add(testLeaseTTL + time.Millisecond)
	if len(h.worker.RunningTasks()) > 0 {
		t.Error("after a late renewal the task runs on past the lease expiry that the holder has computed")
	}
}

// TestSilentWorker covers a worker that stops answering while it runs a task: it is dead, or commands reach it and
// only the answers are lost. The placement must be returned to its bucket, or the task would never be finished, but
// not before the worker has certainly stopped the task.
func TestSilentWorker(t *testing.T) {
	for _, reached := range []bool{false, true} {
		h := newHarness()
		c := h.newHolder(1)
		p := h.wantTask(c)
		h.deliver(c, h.tick(c))
		returned := false
		for range 300 {
			h.now = h.now.Add(100 * time.Millisecond)
			for _, a := range h.tick(c) {
				switch a := a.(type) {
				case Renew:
					if reached {
						_, _ = h.worker.Renew(a.Msg)
					}
					c.HandleRenewResult(h.now, a.Addr, CommandResult{NoAnswer: true})
				case Fence:
					c.HandleFenceResult(h.now, a.Addr, CommandResult{NoAnswer: true})
				}
			}
			if _, returned = c.BuildReport("b", false).Back[p]; returned {
				break
			}
		}
		if !returned {
			t.Errorf("reached %t: placement not returned", reached)
		}
		if returned && len(h.worker.RunningTasks()) > 0 {
			t.Errorf("reached %t: placement returned after %s while the task runs", reached, h.now.Sub(h.startTime))
		}
	}
}

// TestStaleConfiguration covers a store that has not answered for some time, so that operators may have evacuated the
// failure domain without this process knowing. No task may start, and a start that was emitted in time but arrives
// late must be refused.
func TestStaleConfiguration(t *testing.T) {
	h := newHarness()
	c := h.newHolder(1)
	h.wantTask(c)
	confirmedAt := h.now
	h.now = h.now.Add(testMaxConfigAge)
	actions := c.Tick(h.now, ZoneStatus{Usable: true, ConfirmedAt: confirmedAt})
	for _, a := range actions {
		if _, ok := a.(Start); ok {
			t.Error("a task is started with a configuration whose last confirmation is too old")
		}
	}
	h.deliver(c, actions)
	late := h.tick(c)
	h.now = h.now.Add(testMaxConfigAge + time.Millisecond)
	if refused := h.deliver(c, late); len(refused) != 1 || refused[0] != wire.RefusalDeadlinePassed {
		t.Errorf("a start that arrives too late: refused %v", refused)
	}
}

// TestOfferUsedOnce covers a rack that offers its free resources again before it has been told what the previous
// offer was used for. If they were used twice, tasks would wait on this rack that other racks could start at once.
func TestOfferUsedOnce(t *testing.T) {
	h := newHarness()
	c := h.newHolder(1)
	bucket := jobs.New(jobs.Bucket{}, 1)
	write := func() {
		if _, err := bucket.BeginWrite("id"); err != nil {
			t.Fatal(err)
		}
		bucket.EndWrite(true)
	}
	write()
	if err := bucket.Submit(h.now, jobs.Spec{ID: "audit", Kind: "audit", N: 3, Size: workerSize, Run: time.Minute}); err != nil {
		t.Fatal(err)
	}
	write()
	exchange := func(when string, waiting int, rep jobs.RackReport) {
		t.Helper()
		a := bucket.HandleReport(h.now, rep, func(string) bool { return true })
		if n, _ := bucket.CountWaiting(); n != waiting {
			t.Errorf("%s: %d tasks wait, want %d", when, n, waiting)
		}
		c.HandleReply(h.now, "b", a)
	}
	exchange("at the first offer", 2, c.BuildReport("b", true))
	exchange("before the store has the placement", 2, c.BuildReport("b", true))
	late := c.BuildReport("b", true)
	write()
	exchange("after the store has it, before the rack knows", 2, late)
	exchange("while the task waits for its start", 2, c.BuildReport("b", true))
	h.deliver(c, h.tick(c))
	exchange("while the task runs", 2, c.BuildReport("b", true))
	if len(h.worker.RunningTasks()) != 1 {
		t.Fatalf("running: %v", h.worker.RunningTasks())
	}
	for end := h.now.Add(time.Minute); !h.now.After(end); h.now = h.now.Add(testLeaseTTL / 4) {
		h.deliver(c, h.tick(c))
	}
	c.HandleReport("w", h.worker.Report())
	exchange("after its end", 1, c.BuildReport("b", true))
}
