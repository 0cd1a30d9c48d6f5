package drive

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Guards against a worker that never gets a task again: it is forgotten and listed again while a commit is in flight, so
// the list of tracked workers equals the stored one and is not stored, and nobody marks the new entry tracked.
func TestRelistedWorkerIsTracked(t *testing.T) {
	now := time.Now()
	members := benchMembers(2)
	for i := range members {
		members[i].Size = wire.Size{CPU: 1000, Mem: 1000}
	}
	h := &Holder{
		core:       sched.New(sched.Options{WorkerLease: 5 * time.Second, MaxUnconfirmed: 3 * time.Second}, now),
		commitWake: make(chan struct{}, 1), planWake: make(chan struct{}, 1),
	}
	commit := func() {
		t.Helper()
		c, err := h.collectCommit()
		if err != nil {
			t.Fatal(err)
		}
		if c != nil {
			h.finishCommit(c)
		}
	}
	h.core.UpdateDirectory(now, members)
	commit()
	now = now.Add(time.Minute) // all leases have expired
	h.core.ConfirmHolder(now)
	h.core.UpdateDirectory(now, members[:1]) // w1 is forgotten
	h.core.UpdateDirectory(now, members)
	for _, m := range members {
		for range 2 {
			h.core.HandleReport(now, now, m.ID, sched.Report{StartedAt: 1, Clock: time.Minute})
			h.core.NextPoll(now, m.ID)
		}
	}
	commit()
	h.core.AddJob(now, &sched.Job{ID: "j", Service: "s", AcceptedAt: now, Steps: []sched.Step{{Count: 2, Size: members[0].Size}}})
	if orders := h.core.Plan(now); len(orders) != 2 {
		t.Errorf("%d starts, want one on each worker", len(orders))
	}
}
