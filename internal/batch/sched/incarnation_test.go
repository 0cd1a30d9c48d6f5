package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A worker restarts while ends of its former incarnation wait to be stored. If the new incarnation were acknowledged by
// the old sequence numbers, it would forget ends that no holder has received.
func TestPendingAckOfFormerIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("a", nil))
	b.core.AddJob(b.now, oneTaskJob("b", nil))
	var ends []sched.FinishedRun
	for i, o := range b.planOrders(sched.VerbStart) {
		ends = append(ends, finishedRun(int64(40+i), o, sched.EndDone))
	}
	b.poll("w0", sched.Report{Finished: ends})
	b.poll("w0", sched.Report{StartedAt: 2})
	batch, err := b.core.CollectChanges(1)
	if err != nil {
		t.Fatal(err)
	}
	b.core.MarkCommitted(batch)
	if req, _ := b.core.NextPoll(b.now, "w0"); req.AckedSeq != 0 {
		t.Errorf("ends up to %d of the new incarnation are acknowledged, but it has reported none", req.AckedSeq)
	}
}

// A worker restarts, and its clock starts from zero. A start with a lease on the former incarnation's clock would let
// the run continue for the longest lease that workers accept, beyond the expiry that this holder assumes.
func TestLeaseOfFormerIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.advance(time.Minute)
	b.poll("w0", sched.Report{})
	b.core.HandleReport(b.now, b.now, "w0", sched.Report{StartedAt: 2, Clock: time.Second})
	b.list("w0", 2)
	b.core.NextPoll(b.now, "w0")
	b.core.MarkTracked(b.core.TrackedWorkers())
	b.core.AddJob(b.now, oneTaskJob("a", nil))
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 || got[0].LeaseUntil > time.Second+lease {
		t.Errorf("starts %v, want one with a lease until %v at most", got, time.Second+lease)
	}
}

// A start gets no answer, the worker acknowledges the stop that follows, and then it restarts. The start may still
// arrive at the new incarnation, which has not received the stop. The task must not be started elsewhere until that is
// impossible or the new incarnation has acknowledged a stop as well.
func TestStopByFormerIncarnation(t *testing.T) {
	for _, tt := range []struct {
		name    string
		stopped bool // the new incarnation acknowledges the stop
	}{{"new incarnation out of reach", false}, {"new incarnation stopped", true}} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			o := b.core.Plan(b.now)[0]
			b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
			ordered := b.now
			other := otherWorker(o)
			b.advance(time.Millisecond)
			b.poll(o.Incarnation.ID, sched.Report{})
			b.advance(400 * time.Millisecond)
			if got := b.planOrders(sched.VerbStop); len(got) != 1 {
				t.Fatalf("stops %v, want one", got)
			}
			directory := members(2)
			for i := range directory {
				if directory[i].ID == o.Incarnation.ID {
					directory[i].StartedAt = 2
				}
			}
			b.core.UpdateDirectory(b.now, directory)
			if tt.stopped {
				b.poll(o.Incarnation.ID, sched.Report{StartedAt: 2})
				if got := b.planOrders(sched.VerbStart); len(got) != 0 {
					t.Fatalf("starts %v before the new incarnation has acknowledged the stop", got)
				}
				b.advance(400 * time.Millisecond)
				if got := b.planOrders(sched.VerbStop); len(got) != 1 || got[0].Incarnation.StartedAt != 2 {
					t.Fatalf("stops %v, want one for the new incarnation", got)
				}
				b.poll(o.Incarnation.ID, sched.Report{StartedAt: 2})
				if got := b.planOrders(sched.VerbStart); len(got) != 1 {
					t.Errorf("starts %v after the stop, want the task", got)
				}
				return
			}
			for b.now.Sub(ordered) < 12*time.Second+lease {
				b.poll(other, sched.Report{})
				if got := b.planOrders(sched.VerbStart); len(got) != 0 {
					t.Fatalf("placed again %s after the start order", b.now.Sub(ordered))
				}
				b.advance(100 * time.Millisecond)
			}
		})
	}
}

// Guards against a needless outage of 20 s for the long-running tasks of a worker that restarts. The new incarnation is
// out of reach, or is lost soon after it was given tasks. The scheduler must not wait for runs that an unanswered start
// may still begin there, since every start was answered.
func TestRestartedWorkerIsNotWaitedFor(t *testing.T) {
	longRunning := func(j *sched.Job) { j.Steps[0].LongRunning = true }
	for _, tt := range []struct {
		name string
		lose func(b *harness, id string) // restarts the worker and loses contact with it
	}{
		{"new incarnation out of reach", func(b *harness, id string) {}},
		{"new incarnation reached and lost", func(b *harness, id string) {
			b.poll(id, sched.Report{StartedAt: 2})
			b.core.MarkTracked(b.core.TrackedWorkers())
			if got := b.planOrders(sched.VerbStart); len(got) != 1 || got[0].Incarnation.ID != id {
				b.t.Fatalf("starts %v, want the long-running task on the new incarnation", got)
			}
			b.core.PollFailed(b.now, id, 2)
			b.advance(formerLeasesEnd + 100*time.Millisecond)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("feed", longRunning))
			o := b.planOrders(sched.VerbStart)[0]
			b.poll(o.Incarnation.ID, sched.Report{Running: []sched.RunStatus{runStatus(o)}})
			directory := members(2)
			for i := range directory {
				if directory[i].ID == o.Incarnation.ID {
					directory[i].StartedAt = 2
				}
			}
			b.core.UpdateDirectory(b.now, directory)
			tt.lose(b, o.Incarnation.ID)
			b.poll(otherWorker(o), sched.Report{})
			for _, got := range b.planOrders(sched.VerbStart) {
				if got.Task.Job == "feed" {
					return
				}
			}
			t.Error("the long-running task is not started on the other worker")
		})
	}
}

// Guards against a task that runs twice. Its worker restarts while ends of the former incarnation are being stored, and
// their acknowledgement makes it forget ends of the new incarnation that no holder has received.
func TestAckOfFormerIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.poll("w0", sched.Report{Finished: []sched.FinishedRun{{Seq: 40, Task: "x.0.0.0", Run: 1, End: sched.EndDone}}})
	batch, err := b.core.CollectChanges(10)
	if err != nil {
		t.Fatal(err)
	}
	b.poll("w0", sched.Report{StartedAt: 2})
	b.core.MarkCommitted(batch)
	if req, _ := b.core.NextPoll(b.now, "w0"); req.AckedSeq != 0 {
		t.Errorf("ends up to %d of the new incarnation are acknowledged before it reported any", req.AckedSeq)
	}
}

// A worker that has crashed and restarted under its id has lost all of its runs. Its tasks are placed again at once,
// except one whose start was never answered, since the new incarnation may still carry it out.
func TestWorkerRestart(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	b.core.AddJob(b.now, oneTaskJob("k", nil))
	orders := b.core.Plan(b.now)
	b.core.HandleOutcome(b.now, orders[0], sched.OutcomeDone)
	b.core.HandleOutcome(b.now, orders[1], sched.OutcomeUnknown)
	b.advance(time.Second)
	directory := members(1)
	directory[0].StartedAt = 2
	b.core.UpdateDirectory(b.now, directory)
	b.core.MarkTracked(b.core.TrackedWorkers())
	b.poll("w0", sched.Report{StartedAt: 2})
	starts := b.planOrders(sched.VerbStart)
	if len(starts) != 1 || starts[0].Task != orders[0].Task {
		t.Fatalf("starts %v, want only %v", starts, orders[0].Task)
	}
}

// Guards against a task that runs twice. Its start gets no answer, and the worker restarts and is cut off. The lease of
// the start is on the former incarnation's clock, so the new incarnation may carry out the start seconds after every
// lease has expired by the holder's count.
func TestOrderOfFormerIncarnation(t *testing.T) {
	for _, maxLease := range []time.Duration{lease, 2 * lease} {
		t.Run(fmt.Sprint(maxLease), func(t *testing.T) {
			b := &harness{t: t, now: epoch()}
			b.core = sched.New(sched.Options{WorkerLease: lease, MaxWorkerLease: maxLease, MaxUnconfirmed: maxUnconfirmed, Term: 1}, b.now)
			b.core.UpdateDirectory(b.now, members(2))
			b.openWorkers()
			b.advance(formerLeasesEnd)
			b.poll("w0", sched.Report{})
			b.poll("w1", sched.Report{})
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			o := b.core.Plan(b.now)[0]
			b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
			ordered := b.now
			other := otherWorker(o)
			b.poll(o.Incarnation.ID, sched.Report{StartedAt: 2})
			b.core.PollFailed(b.now, o.Incarnation.ID, 2)
			for b.now.Sub(ordered) < 12*time.Second+maxLease*100/98 {
				b.poll(other, sched.Report{})
				if got := b.planOrders(sched.VerbStart); len(got) != 0 {
					t.Fatalf("placed again %s after the start order", b.now.Sub(ordered))
				}
				b.advance(100 * time.Millisecond)
			}
		})
	}
}

// Guards against a task that runs twice. Its worker restarts, and the new incarnation carries out a start and finishes
// the run before it is polled. The lease of the former incarnation has expired by then, so the end would be ignored as
// one from before the expiry and then acknowledged.
func TestExpiryOfFormerIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.planOrders(sched.VerbStart)[0]
	b.core.PollFailed(b.now, "w0", 1)
	b.advance(formerLeasesEnd + lease)
	directory := members(1)
	directory[0].StartedAt = 2
	b.core.UpdateDirectory(b.now, directory)
	b.planOrders(sched.VerbStart)
	b.poll("w0", sched.Report{StartedAt: 2, Finished: []sched.FinishedRun{finishedRun(1, o, sched.EndDone)}})
	b.storeChanges()
	b.checkState("j", sched.StateCompleted)
}

// Guards against a task that finishes twice. Its worker is cut off, restarts under the same id during the network
// partition, and carries out a start that was sent to the former incarnation. The task finishes before contact returns.
// The first poll afterwards must not acknowledge ends by the former incarnation's sequence numbers, or the worker would
// forget the success before any holder received it.
func TestAckAfterLostContact(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.planOrders(sched.VerbStart)[0]
	b.poll(o.Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRun(1, o, sched.EndFailed)}})
	b.storeChanges()
	req, _ := b.core.NextPoll(b.now, o.Incarnation.ID)
	if req.AckedSeq != 1 {
		t.Fatalf("acknowledged up to %d, want 1", req.AckedSeq)
	}
	b.core.PollFailed(b.now, o.Incarnation.ID, 1)
	if req, _ = b.core.NextPoll(b.now, o.Incarnation.ID); req.AckedSeq != 0 {
		t.Errorf("after a failed poll, ends up to %d are acknowledged to an incarnation not known yet, want none", req.AckedSeq)
	}
	b.poll(o.Incarnation.ID, sched.Report{})
	if req, _ = b.core.NextPoll(b.now, o.Incarnation.ID); req.AckedSeq != 1 {
		t.Errorf("with contact to the same incarnation restored, ends up to %d are acknowledged, want 1", req.AckedSeq)
	}
}

// Guards against a task that runs again after it has succeeded: its worker restarts while the holder waits for the store,
// carries out a start that got no answer, and a poll acknowledges the end unread.
func TestAckAfterSilence(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	for _, id := range []string{"a", "b"} {
		b.core.AddJob(b.now, oneTaskJob(id, nil))
	}
	orders := b.core.Plan(b.now)
	b.core.HandleOutcome(b.now, orders[0], sched.OutcomeDone)
	b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, orders[0], sched.EndDone)}})
	b.advance(time.Millisecond)
	b.core.HandleOutcome(b.now, orders[1], sched.OutcomeUnknown)
	b.advance(1400 * time.Millisecond)
	b.storeChanges()
	req, _ := b.core.NextPoll(b.now, "w0")
	if req.AckedSeq != 0 || req.Wait != 0 {
		t.Fatalf("%v after the last answer, ends up to %d are acknowledged by a poll that waits %v, want none and no wait", 1400*time.Millisecond, req.AckedSeq, req.Wait)
	}
	b.core.HandleReport(b.now, b.now.Add(time.Millisecond), "w0", sched.Report{StartedAt: 2, Finished: []sched.FinishedRun{finishedRun(1, orders[1], sched.EndDone)}})
	b.storeChanges()
	b.checkState("b", sched.StateCompleted)
}

// Guards against ends that are never acknowledged by a holder that reads every answer late.
func TestAckByLateHolder(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("a", nil))
	o := b.core.Plan(b.now)[0]
	b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
	for i := range 6 {
		req, _ := b.core.NextPoll(b.now, "w0")
		if req.AckedSeq == 1 {
			return
		}
		sent, clock := b.now, b.now.Sub(epoch())
		b.advance(time.Second)
		rep := sched.Report{StartedAt: 1, Clock: clock}
		if i > 0 {
			rep.Finished = []sched.FinishedRun{finishedRun(1, o, sched.EndDone)}
		}
		b.core.HandleReport(sent, b.now, "w0", rep)
		if wait := b.core.MaxStoreWait(b.now, "w0"); i == 2 && wait != 0 {
			t.Errorf("after a poll that verified the incarnation, the acknowledgement waits up to %v for the store", wait)
		}
		b.storeChanges()
	}
	t.Error("the end is not acknowledged")
}

// Guards against a task that runs again after it has succeeded: a worker that has restarted unnoticed answers a start and
// finishes the run before a poll acknowledges ends of the former incarnation.
func TestStartAnsweredByLaterIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	for _, id := range []string{"a", "b", "c"} {
		b.core.AddJob(b.now, oneTaskJob(id, nil))
	}
	orders := b.core.Plan(b.now)
	b.core.HandleOutcome(b.now, orders[0], sched.OutcomeDone)
	b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, orders[0], sched.EndDone)}})
	b.storeChanges()
	b.core.HandleOutcome(b.now, orders[1], sched.OutcomeDoneByLater)
	if cause := b.core.CheckSend(b.now, orders[2]); cause != sched.CauseUnreachable {
		t.Errorf("a start may be sent to an incarnation that no report tells: %q", cause)
	}
	req, _ := b.core.NextPoll(b.now, "w0")
	if req.AckedSeq != 0 || req.LeaseUntil != 0 {
		t.Fatalf("an incarnation that no report tells gets acknowledgements up to %d and a lease until %v", req.AckedSeq, req.LeaseUntil)
	}
	b.core.HandleReport(b.now, b.now.Add(time.Millisecond), "w0", sched.Report{StartedAt: 2, Finished: []sched.FinishedRun{finishedRun(1, orders[1], sched.EndDone)}})
	b.storeChanges()
	b.checkState("b", sched.StateCompleted)
}

// maxLease is the longest lease that workers accept in the tests below.
const maxLease = lease + 5*time.Second

// longLeasesEnd is how long a lease of maxLease lasts at most.
const longLeasesEnd = maxLease*100/98 + 100*time.Millisecond

// newLongLeaseHarness is newHarness with workers that accept leases up to maxLease. w0 runs the long-running task "feed".
func newLongLeaseHarness(t *testing.T) *harness {
	b := &harness{t: t, now: epoch()}
	b.core = sched.New(sched.Options{WorkerLease: lease, MaxWorkerLease: maxLease, MaxUnconfirmed: maxUnconfirmed, Term: 1}, b.now)
	b.core.UpdateDirectory(b.now, members(1))
	b.openWorkers()
	b.advance(formerLeasesEnd)
	b.poll("w0", sched.Report{})
	b.core.AddJob(b.now, oneTaskJob("feed", func(j *sched.Job) { j.Steps[0].LongRunning = true }))
	return b
}

// restartedMembers returns two workers, of which w0 has restarted.
func restartedMembers() []sched.Member {
	all := members(2)
	all[0].StartedAt = 2
	return all
}

// Guards against two runs of a task at a time: a poll for the former incarnation gives the new one the longest lease, as it
// ends by the former clock, and the worker is cut off before its own lease would have ended.
func TestLongLeaseOfNewIncarnation(t *testing.T) {
	b := newLongLeaseHarness(t)
	b.poll("w0", sched.Report{StartedAt: 2})
	b.list("w0", 2)
	b.core.MarkTracked(b.core.TrackedWorkers())
	fenced := b.now
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Fatalf("starts %v, want one on w0", got)
	}
	b.core.PollFailed(b.now, "w0", 2)
	b.core.UpdateDirectory(b.now, restartedMembers())
	for b.now.Sub(fenced) < longLeasesEnd {
		b.poll("w1", sched.Report{})
		b.core.MarkTracked(b.core.TrackedWorkers())
		if got := b.planOrders(sched.VerbStart); len(got) != 0 {
			t.Fatalf("starts %v %v after the first answer of the new incarnation, want none", got, b.now.Sub(fenced))
		}
		b.advance(200 * time.Millisecond)
	}
	b.poll("w1", sched.Report{})
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("starts %v once the longest lease has ended, want the task", got)
	}
}

// Guards against a lease of unknown length: the first answer of a new incarnation comes before calls for the former one are
// shut out, so starts have to wait for the answer to a poll with a higher fencing token.
func TestStartWaitsForFence(t *testing.T) {
	b := newLongLeaseHarness(t)
	former, _ := b.core.NextPoll(b.now, "w0")
	sent := b.now
	b.advance(time.Millisecond)
	b.core.HandleReport(sent, b.now, "w0", sched.Report{StartedAt: 2})
	b.list("w0", 2)
	b.core.MarkTracked(b.core.TrackedWorkers())
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("starts %v before a poll with a new fencing token is answered", got)
	}
	req, _ := b.core.NextPoll(b.now, "w0")
	if req.Fence <= former.Fence || req.Fence != b.core.Fence("w0") || req.LeaseUntil != 0 || req.AckedSeq != 0 {
		t.Errorf("poll %+v after one with the token %d, want a higher one, no lease and no acknowledgement", req, former.Fence)
	}
	b.core.HandleReport(b.now, b.now.Add(time.Millisecond), "w0", sched.Report{StartedAt: 2})
	b.advance(time.Millisecond)
	b.core.NextPoll(b.now, "w0")
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("starts %v after the answer, want one", got)
	}
	next := sched.New(sched.Options{Term: 2}, b.now)
	if next.Fence("w0") <= req.Fence {
		t.Errorf("token %d of the next holder isn't above %d", next.Fence("w0"), req.Fence)
	}
}

// Guards against two runs of a task at a time: a worker that has the longest lease by a call for its former incarnation is
// out of reach when the holder changes. A successor knows of the restart from the directory or from the former holder's
// record. For other workers it needn't wait as long.
func TestSuccessorWaitsForLongLease(t *testing.T) {
	for _, tt := range []struct {
		name      string
		directory []sched.Member // as the successor reads it
		restart   bool           // the former holder has noticed a restart
		later     time.Duration  // until the holder changes
		wait      time.Duration  // of tasks that were taken over, since the holder changed
	}{
		{"no restart", members(2), false, 0, formerLeasesEnd},
		{"in the directory", restartedMembers(), false, 0, maxUnconfirmed + longLeasesEnd},
		{"in the record", members(2)[1:], true, 0, maxUnconfirmed + longLeasesEnd},
		{"long ago", members(2)[1:], true, longLeasesEnd, formerLeasesEnd},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newLongLeaseHarness(t)
			b.planOrders(sched.VerbStart)
			records := b.storeChanges()
			if tt.restart {
				b.poll("w0", sched.Report{StartedAt: 2})
			}
			b.advance(tt.later)
			b.poll("w0", sched.Report{StartedAt: 1 + int64(map[bool]int{true: 1}[tt.restart])})
			b.core.Plan(b.now)
			tracked := b.core.TrackedWorkers()
			changed := b.now
			b.core = sched.New(sched.Options{WorkerLease: lease, MaxWorkerLease: maxLease, MaxUnconfirmed: maxUnconfirmed, Term: 2}, b.now)
			b.core.InheritWorkers(b.now, tracked)
			feed := oneTaskJob("feed", func(j *sched.Job) { j.Steps[0].LongRunning = true })
			if err := b.core.RestoreJob(b.now, "feed", feed, records["feed"]); err != nil {
				t.Fatal(err)
			}
			b.core.UpdateDirectory(b.now, tt.directory)
			b.core.MarkTracked(b.core.TrackedWorkers())
			b.advance(time.Millisecond)
			for {
				b.poll("w1", sched.Report{})
				b.core.MarkTracked(b.core.TrackedWorkers())
				if len(b.planOrders(sched.VerbStart)) > 0 {
					break
				}
				if b.advance(20 * time.Millisecond); b.now.Sub(changed) > time.Minute {
					t.Fatal("never started again")
				}
			}
			if waited := b.now.Sub(changed); waited < tt.wait || waited > tt.wait+100*time.Millisecond {
				t.Errorf("started again after %v, want %v", waited, tt.wait)
			}
		})
	}
}

// Guards against a task that runs again after it has succeeded: a poll is carried out late by a new incarnation, and
// acknowledges the end of a run that was started there after the poll was sent. The start has to carry a higher fencing
// token.
func TestStartFencesUnansweredAck(t *testing.T) {
	for _, tt := range []struct {
		name     string
		after    time.Duration // of the start, since the poll was sent
		answered bool          // the poll was answered before
		raised   bool
	}{
		{"right behind the poll", 10 * time.Millisecond, false, true},
		{"later", 300 * time.Millisecond, false, true},
		{"poll answered", 300 * time.Millisecond, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 1).openWorkers()
			for _, id := range []string{"a", "b"} {
				b.core.AddJob(b.now, oneTaskJob(id, nil))
			}
			orders := b.core.Plan(b.now)
			b.core.HandleOutcome(b.now, orders[0], sched.OutcomeDone)
			b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, orders[0], sched.EndDone)}})
			b.storeChanges()
			req, _ := b.core.NextPoll(b.now, "w0")
			if req.AckedSeq != 1 {
				t.Fatalf("ends up to %d are acknowledged, want 1", req.AckedSeq)
			}
			sent := b.now
			b.advance(tt.after)
			if tt.answered {
				b.core.HandleReport(sent, b.now, "w0", sched.Report{StartedAt: 1, Clock: b.now.Sub(epoch())})
			}
			if cause := b.core.CheckSend(b.now, orders[1]); cause != sched.CauseNone {
				t.Fatalf("the start isn't sent: %s", cause)
			}
			if raised := b.core.Fence("w0") > req.Fence; raised != tt.raised || b.core.IsForFormer("w0", req.Fence) {
				t.Errorf("token %d after a poll with %d, want a higher one: %t", b.core.Fence("w0"), req.Fence, tt.raised)
			}
		})
	}
}

// Guards against a holder that takes a worker for fenced by another one: the worker was out of contact, was removed, and is
// back with the highest fencing token that the holder itself had used.
func TestFenceOfRemovedWorker(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.poll("w0", sched.Report{StartedAt: 2})
	used := b.core.Fence("w0")
	b.core.PollFailed(b.now, "w0", 2)
	b.core.UpdateDirectory(b.now, members(2)[1:])
	for range 200 {
		b.advance(100 * time.Millisecond)
		b.core.Plan(b.now)
	}
	if _, known := b.core.NextPoll(b.now, "w0"); known {
		t.Fatal("the worker isn't removed")
	}
	if got := b.core.Fence("w0"); got < used {
		t.Errorf("token %d of a call whose answer is handled late, want %d or more", got, used)
	}
	b.core.UpdateDirectory(b.now, restartedMembers())
	if req, _ := b.core.NextPoll(b.now, "w0"); req.Fence < used {
		t.Errorf("token %d of the first poll, want %d or more", req.Fence, used)
	}
}
