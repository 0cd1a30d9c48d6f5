package rack

import (
	"testing"
	"time"

	fakeworker "bramleysail.example/bramleysail/internal/fake/worker"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// harness is one worker and a clock, for tests that deliver each message by hand.
type harness struct {
	now       time.Time
	startTime time.Time
	worker    *fakeworker.Worker
}

func newHarness() *harness {
	b := &harness{now: time.Unix(1000, 0), startTime: time.Unix(1000, 0)}
	b.worker = fakeworker.NewAt(workerSize, 0, func() wire.WorkerTime { return wire.WorkerTime(b.now.Sub(b.startTime)) })
	return b
}

// newHolder returns a core that has fenced and renewed the worker and heard its bucket.
func (b *harness) newHolder(ep uint64) *Core {
	c := New(b.now, Options{Rack: "r", Zone: "z", Epoch: ep, LeaseTTL: testLeaseTTL, MaxConfigAge: testMaxConfigAge, BucketOf: func(string) string { return "b" }})
	c.SetWorkers([]string{"w"})
	b.deliver(c, b.tick(c))
	b.deliver(c, b.tick(c))
	c.HandleAnswer(b.now, "b", jobs.RackReply{OK: true})
	return c
}

func (b *harness) tick(c *Core) []Action {
	return c.Tick(b.now, ZoneStatus{Usable: true, ConfirmedAt: b.now})
}

// deliver carries the actions out and hands the results back.
func (b *harness) deliver(c *Core, actions []Action) (refused []wire.Refusal) {
	for _, a := range actions {
		var no wire.Refusal
		var rep wire.Report
		switch a := a.(type) {
		case Fence:
			rep, no = b.worker.Fence(a.Msg)
			c.HandleFenceResult(b.now, a.Addr, CommandResult{Report: rep, Refusal: no})
		case Renew:
			rep, no = b.worker.Renew(a.Msg)
			c.HandleRenewResult(b.now, a.Addr, CommandResult{Report: rep, Refusal: no})
		case Start:
			rep, no = b.worker.Start(a.Msg)
			c.HandleStartResult(b.now, a.Placement, CommandResult{Report: rep, Refusal: no})
		case TaskCommand:
			rep, no = b.worker.Act(a.Msg)
			c.HandleTaskCommandResult(b.now, a.Placement, a.Msg.Verb, CommandResult{Report: rep, Refusal: no})
		}
		if no != "" {
			refused = append(refused, no)
		}
	}
	return refused
}

// wantTask makes the bucket wantTask one task here.
func (b *harness) wantTask(c *Core) jobs.Placement {
	p := jobs.Placement{Job: "audit", Index: 0, No: 1}
	c.HandleAnswer(b.now, "b", jobs.RackReply{OK: true, Run: []jobs.Task{{Place: p,
		Spec: jobs.Spec{ID: "audit", N: 1, Size: wire.Size{CPU: 1000, Mem: 1000}, Run: time.Hour}}}})
	return p
}

// A holder is paused between deciding a start and sending it, loses the rack, and wakes
// up within the start's time. A user would see the audit run twice: there, and where
// the new holder has had it placed since. The worker must refuse the older epoch.
func TestFormerHolderStartRefused(t *testing.T) {
	b := newHarness()
	old := b.newHolder(1)
	b.wantTask(old)
	late := b.tick(old)
	b.newHolder(2)
	if refused := b.deliver(old, late); len(refused) != 1 || refused[0] != wire.RefusalEpochMismatch || len(b.worker.RunningTasks()) > 0 {
		t.Errorf("a former holder's start: refused %v, runs %v", refused, b.worker.RunningTasks())
	}
}

// A renewal is held up on its way for longer than the lease. The holder has given the
// worker up by then and its task runs elsewhere; the renewal must not revive it.
func TestLateRenewal(t *testing.T) {
	b := newHarness()
	c := b.newHolder(1)
	b.wantTask(c)
	b.deliver(c, b.tick(c))
	if len(b.worker.RunningTasks()) != 1 {
		t.Fatal("the task doesn't run")
	}
	b.now = b.now.Add(testLeaseTTL / 2)
	b.deliver(c, b.tick(c))
	renewed := b.now
	b.now = b.now.Add(testLeaseTTL / 6)
	var late []Renew
	for _, a := range b.tick(c) {
		if r, ok := a.(Renew); ok {
			late = append(late, r)
		}
	}
	if len(late) != 1 {
		t.Fatalf("%d renewals", len(late))
	}
	decided := b.now
	b.now = renewed.Add(testLeaseTTL - time.Millisecond) // the lease before is about to end
	if _, no := b.worker.Renew(late[0].Msg); no != "" {
		t.Fatal(no)
	}
	b.now = decided.Add(testLeaseTTL + time.Millisecond)
	if len(b.worker.RunningTasks()) > 0 {
		t.Error("a late renewal keeps the task running after its lease, as the holder reckons it")
	}
}

// A worker falls silent while it runs a task: for good, or so that commands reach it and
// only the answers are lost. The task must go back to its bucket, or it would never be
// finished, but not before the worker has certainly stopped it.
func TestSilentWorker(t *testing.T) {
	for _, reached := range []bool{false, true} {
		b := newHarness()
		c := b.newHolder(1)
		p := b.wantTask(c)
		b.deliver(c, b.tick(c))
		back := false
		for range 300 {
			b.now = b.now.Add(100 * time.Millisecond)
			for _, a := range b.tick(c) {
				switch a := a.(type) {
				case Renew:
					if reached {
						_, _ = b.worker.Renew(a.Msg)
					}
					c.HandleRenewResult(b.now, a.Addr, CommandResult{NoAnswer: true})
				case Fence:
					c.HandleFenceResult(b.now, a.Addr, CommandResult{NoAnswer: true})
				}
			}
			if _, back = c.BuildReport("b", false).Back[p]; back {
				break
			}
		}
		if !back {
			t.Errorf("reached %t: never given back", reached)
		}
		if back && len(b.worker.RunningTasks()) > 0 {
			t.Errorf("reached %t: given back after %s while it runs", reached, b.now.Sub(b.startTime))
		}
	}
}

// The store has been silent: operators may have taken the domain out since. Nothing new
// may start, and a start that was decided in time but arrives late must be refused.
func TestStaleConfiguration(t *testing.T) {
	b := newHarness()
	c := b.newHolder(1)
	b.wantTask(c)
	confirmed := b.now
	b.now = b.now.Add(testMaxConfigAge)
	actions := c.Tick(b.now, ZoneStatus{Usable: true, ConfirmedAt: confirmed})
	for _, a := range actions {
		if _, ok := a.(Start); ok {
			t.Error("a task is started by a configuration that isn't confirmed any more")
		}
	}
	b.deliver(c, actions)
	late := b.tick(c)
	b.now = b.now.Add(testMaxConfigAge + time.Millisecond)
	if refused := b.deliver(c, late); len(refused) != 1 || refused[0] != wire.RefusalDeadlinePassed {
		t.Errorf("a start that arrives too late: refused %v", refused)
	}
}

// A rack offers its room again before it has heard what the last offer was used for. Used
// twice, the room would have tasks waiting for it that other racks could start at once.
func TestOfferUsedOnce(t *testing.T) {
	b := newHarness()
	c := b.newHolder(1)
	bucket := jobs.New(jobs.Bucket{}, 1)
	write := func() {
		if _, err := bucket.BeginWrite("id"); err != nil {
			t.Fatal(err)
		}
		bucket.EndWrite(true)
	}
	write()
	if err := bucket.Submit(b.now, jobs.Spec{ID: "audit", Kind: "audit", N: 3, Size: workerSize, Run: time.Minute}); err != nil {
		t.Fatal(err)
	}
	write()
	exchange := func(when string, waiting int, rep jobs.RackReport) {
		t.Helper()
		a := bucket.HandleReport(b.now, rep, func(string) bool { return true })
		if n, _ := bucket.CountWaiting(); n != waiting {
			t.Errorf("%s: %d tasks wait, not %d", when, n, waiting)
		}
		c.HandleAnswer(b.now, "b", a)
	}
	exchange("at the first offer", 2, c.BuildReport("b", true))
	exchange("before the store holds the placement", 2, c.BuildReport("b", true))
	late := c.BuildReport("b", true)
	write()
	exchange("as the store holds it, before the rack has heard", 2, late)
	exchange("while the task waits for its start", 2, c.BuildReport("b", true))
	b.deliver(c, b.tick(c))
	exchange("while the task runs", 2, c.BuildReport("b", true))
	if len(b.worker.RunningTasks()) != 1 {
		t.Fatalf("running: %v", b.worker.RunningTasks())
	}
	for end := b.now.Add(time.Minute); !b.now.After(end); b.now = b.now.Add(testLeaseTTL / 4) {
		b.deliver(c, b.tick(c))
	}
	c.HandleReport("w", b.worker.Report())
	exchange("after its end", 1, c.BuildReport("b", true))
}
