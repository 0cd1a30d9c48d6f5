package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// newSuccessor returns the harness of a holder that has taken over a task and three workers. Its predecessor may still act
// if awaitRelease is set.
func newSuccessor(t *testing.T, awaitRelease bool) *harness {
	t.Helper()
	b := &harness{t: t, now: epoch()}
	b.core = sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: maxUnconfirmed, Term: 2, AwaitRelease: awaitRelease}, b.now)
	b.core.ConfirmHolder(b.now)
	if err := b.core.RestoreJob(b.now, "old", oneTaskJob("old", func(j *sched.Job) { j.Steps[0].LongRunning = true }), nil); err != nil {
		t.Fatal(err)
	}
	b.core.InheritWorkers(b.now, members(3))
	b.core.UpdateDirectory(b.now, members(3))
	return b
}

// advanceInContact lets time pass in which the given workers answer polls with a report, and fails if a task is started.
func (b *harness) advanceInContact(d time.Duration, rep sched.Report, ids ...string) {
	b.t.Helper()
	for end := b.now.Add(d); b.now.Before(end); b.advance(500 * time.Millisecond) {
		for _, id := range ids {
			b.poll(id, rep)
		}
		if got := b.planOrders(sched.VerbStart); len(got) != 0 {
			b.t.Fatalf("starts %v, want none", got)
		}
	}
}

// Guards against a task that runs twice: its former holder goes on renewing the lease of a worker that the new holder
// doesn't reach, as its followers confirm it.
func TestUnseenTaskAwaitsRelease(t *testing.T) {
	b := newSuccessor(t, true)
	b.advanceInContact(time.Minute, sched.Report{}, "w0", "w1")
	b.core.ReleaseFormerHolders(b.now)
	b.advanceInContact(formerLeasesEnd-time.Second, sched.Report{}, "w0", "w1")
	b.advance(time.Second)
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("starts %v once the former leases have ended, want the task", got)
	}
}

// Guards against a task that waits for the release of a former holder though all workers have answered the new one: they
// are fenced.
func TestSeenWorkersNeedNoRelease(t *testing.T) {
	b := newSuccessor(t, true)
	for _, id := range []string{"w0", "w1", "w2"} {
		b.poll(id, sched.Report{})
	}
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("starts %v, want the task", got)
	}
}

// Guards against a task that stands still until the release of a former holder: its worker is lost after it has answered
// the new holder, which has fenced it.
func TestFencedWorkerExpiresWithoutRelease(t *testing.T) {
	b := newSuccessor(t, true)
	b.poll("w0", sched.Report{})
	b.poll("w1", sched.Report{})
	b.poll("w2", sched.Report{Running: []sched.RunStatus{{Task: "old.0.0.0", Run: 1_000_001}}})
	b.core.PollFailed(b.now, "w2", 1)
	b.advanceInContact(lease-time.Second, sched.Report{}, "w0", "w1")
	b.advance(2 * time.Second)
	b.poll("w0", sched.Report{})
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("starts %v once the lease has expired, want the task", got)
	}
}

// Guards against a task that runs twice: its holder is confirmed by its followers, and a successor beside the store has
// renewed the lease of a worker that this holder doesn't reach. That the former leases have ended is certain only once the
// store has confirmed this holder after that.
func TestFormerLeasesEndNeedsStore(t *testing.T) {
	b := newSuccessor(t, false)
	b.poll("w0", sched.Report{})
	for end := b.now.Add(time.Minute); b.now.Before(end); b.now = b.now.Add(500 * time.Millisecond) {
		b.core.ConfirmHolderByPeers(b.now)
		b.core.NextPoll(b.now, "w0")
		b.core.HandleReport(b.now, b.now, "w0", sched.Report{StartedAt: 1, Clock: b.now.Sub(epoch())})
		b.core.NextPoll(b.now, "w0")
		if got := b.core.Plan(b.now); len(got) != 0 {
			t.Fatalf("orders %v without the store's confirmation", got)
		}
	}
	b.poll("w0", sched.Report{})
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("starts %v once the store has confirmed the holder, want the task", got)
	}
}
