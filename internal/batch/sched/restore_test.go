package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against a task that runs twice after a change of holder: the new holder renews the lease of a worker while it loads
// the jobs, doesn't hear of the worker's runs afterwards, and starts the task elsewhere once the former holder's leases are
// over.
func TestLeaseRenewedWhileRestoring(t *testing.T) {
	b := &harness{t: t, now: epoch()}
	b.core = sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: maxUnconfirmed, Term: 2}, b.now)
	b.core.ConfirmHolder(b.now)
	b.core.BeginRestore()
	b.core.InheritWorkers(b.now, members(2))
	running := sched.Report{Running: []sched.RunStatus{{Task: "j.0.0.0", Run: 1_000_001}}}
	var renewedAt time.Time
	for range 4 {
		b.poll("w0", running)
		b.poll("w1", sched.Report{})
		renewedAt = b.now
		b.advance(time.Second)
	}
	if err := b.core.RestoreJob(b.now, "j", oneTaskJob("j", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.UpdateDirectory(b.now, members(2))
	b.core.EndRestore()
	for b.now.Before(renewedAt.Add(lease)) {
		b.core.PollFailed(b.now, "w0", 1)
		b.core.NextPoll(b.now, "w0")
		b.poll("w1", sched.Report{})
		if got := b.planOrders(sched.VerbStart); len(got) > 0 {
			t.Fatalf("starts %v at %v, while w0 may run the task until %v", got, b.now.Sub(epoch()), renewedAt.Add(lease).Sub(epoch()))
		}
		b.advance(200 * time.Millisecond)
	}
	b.advance(time.Second)
	b.poll("w1", sched.Report{})
	b.core.NoteDirectoryRead(b.now)
	b.core.NoteIntentRead(b.now)
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("starts %v once the lease has expired, want one", got)
	}
}

// Guards against the ends that workers report while the state is loaded: handled without their jobs, they would be
// acknowledged uncounted.
func TestReportsWhileRestoring(t *testing.T) {
	b := &harness{t: t, now: epoch()}
	b.core = sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: maxUnconfirmed, Term: 2}, b.now)
	b.core.ConfirmHolder(b.now)
	b.core.BeginRestore()
	b.core.InheritWorkers(b.now, members(1))
	done := sched.Report{Finished: []sched.FinishedRun{{Seq: 1, Task: "j.0.0.0", Run: 1_000_001, End: sched.EndDone}}}
	b.poll("w0", done)
	b.storeChanges()
	if req, _ := b.core.NextPoll(b.now, "w0"); req.AckedSeq != 0 || req.LeaseUntil == 0 {
		t.Errorf("poll %+v, want one that renews the lease and acknowledges nothing", req)
	}
	if err := b.core.RestoreJob(b.now, "j", oneTaskJob("j", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.EndRestore()
	b.core.UpdateDirectory(b.now, members(1))
	b.poll("w0", done)
	b.checkDoneOnce("w0", "j", 1)
}
