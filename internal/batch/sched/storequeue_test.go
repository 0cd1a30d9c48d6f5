package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A job counts as started once a worker has started one of its tasks. If jobs whose start was never sent or was refused
// count as started for good, a queue full of waiting jobs looks empty to callers.
func TestPendingUntilStarted(t *testing.T) {
	for _, tt := range []struct {
		name     string
		out      sched.Outcome
		reported bool // the next report shows the run
		pending  int  // jobs that have not started
	}{
		{"never sent", sched.OutcomeUnsent, false, 1},
		{"no resources", sched.OutcomeNoResources, false, 1},
		{"no answer", sched.OutcomeUnknown, false, 1},
		{"no answer, run reported", sched.OutcomeUnknown, true, 0},
		{"started", sched.OutcomeDone, false, 0},
		{"run ended before", sched.OutcomeRunEnded, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 1).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			o := b.core.Plan(b.now)[0]
			b.core.HandleOutcome(b.now, o, tt.out)
			if tt.reported {
				b.poll("w0", sched.Report{Running: []sched.RunStatus{runStatus(o)}})
			}
			if got := b.core.PendingJobs("q"); got != tt.pending {
				t.Errorf("%d pending jobs, want %d", got, tt.pending)
			}
		})
	}
}

// An end is acknowledged as soon as its own job is stored. If ends are acknowledged only once nothing at all
// is left to store, and more jobs keep changing than one write takes, every poll reports all ends again and the
// holder has no time left for its work.
func TestAcksDontWaitForAll(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("a", func(j *sched.Job) { j.Steps[0].RequiredLabel = "w0" }))
	for i := range 10 {
		b.core.AddJob(b.now, oneTaskJob(fmt.Sprintf("z%d", i), func(j *sched.Job) { j.Steps[0].RequiredLabel = "w1" }))
	}
	var ends []sched.FinishedRun
	for _, o := range b.planOrders(sched.VerbStart) {
		if o.Incarnation.ID == "w0" {
			b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, o, sched.EndDone)}})
			continue
		}
		ends = append(ends, finishedRun(int64(len(ends)+1), o, sched.EndDone))
	}
	b.poll("w1", sched.Report{Finished: ends})
	for i, want := range []int64{1, 6} {
		batch, err := b.core.CollectChanges(2 + 3*i)
		if err != nil {
			t.Fatal(err)
		}
		if l, _ := b.core.NextPoll(b.now, "w1"); i == 0 && l.AckedSeq != 0 {
			t.Errorf("ends of w1 are acknowledged up to %d before any is stored", l.AckedSeq)
		}
		b.core.MarkCommitted(batch)
		id := fmt.Sprintf("w%d", i)
		if l, _ := b.core.NextPoll(b.now, id); l.AckedSeq != want {
			t.Errorf("ends of %s are acknowledged up to %d, want %d", id, l.AckedSeq, want)
		}
	}
}

// A worker reports an end with each poll until it is acknowledged. HandleReport must return it as new only once. Logged and
// counted each time, ends bury other log lines and take the holder's time when it has least.
func TestEndReportedOnce(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	end := finishedRun(1, b.planOrders(sched.VerbStart)[0], sched.EndDone)
	for _, want := range []int{1, 0, 0} {
		b.advance(time.Millisecond)
		got := b.core.HandleReport(b.now, b.now, "w0", sched.Report{StartedAt: 1, Clock: b.now.Sub(epoch()), Finished: []sched.FinishedRun{end}})
		if len(got) != want {
			t.Errorf("new ends: %v, want %d", got, want)
		}
	}
}

// Changed jobs are stored in turn, and those for which a caller waits come first. If jobs change faster than they can be
// stored and are stored in the order of their ids, the first ones are stored again and again and the others never.
// A cancel then isn't acknowledged, its caller gives up, and the next holder, which doesn't know of it, starts the job.
func TestChangesAreStoredInTurn(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	for _, id := range []string{"a", "b", "c", "d"} {
		b.core.AddJob(b.now, oneTaskJob(id, func(j *sched.Job) { j.Steps[0].LongRunning = true }))
	}
	fail := func(seq int64) {
		for _, o := range b.planOrders(sched.VerbStart) {
			b.poll(o.Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRun(seq, o, sched.EndFailed)}})
			seq++
		}
	}
	fail(1)
	collect := func() string {
		batch, err := b.core.CollectChanges(1)
		if err != nil {
			t.Fatal(err)
		}
		b.core.MarkCommitted(batch)
		if len(batch.Records) != 1 {
			t.Fatalf("%d records collected, want one", len(batch.Records))
		}
		return batch.Records[0].ID
	}
	var got []string
	got = append(got, collect())
	fail(5) // all jobs change once more
	got = append(got, collect())
	b.core.CancelJob(b.now, "d")
	got = append(got, collect(), collect())
	if want := []string{"a", "b", "d", "c"}; !slices.Equal(got, want) {
		t.Errorf("stored in the order %v, want %v", got, want)
	}
}
