package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A shop asks how many jobs wait. Starts were ordered and never left, or weren't taken: the jobs counted as begun for good,
// and a queue full of work looked empty. A job has begun once a worker has one of its tasks.
func TestPendingUntilTaken(t *testing.T) {
	for _, tt := range []struct {
		name    string
		out     sched.Outcome
		shown   bool
		pending int
	}{
		{"never left", sched.OutcomeUnsent, false, 1},
		{"no room", sched.OutcomeNoResources, false, 1},
		{"no answer", sched.OutcomeUnknown, false, 1},
		{"no answer, and shown", sched.OutcomeUnknown, true, 0},
		{"taken", sched.OutcomeDone, false, 0},
		{"ended there before", sched.OutcomeRunEnded, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 1).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			o := b.core.Plan(b.now)[0]
			b.core.HandleOutcome(b.now, o, tt.out)
			if tt.shown {
				b.poll("w0", sched.Report{Running: []sched.RunStatus{runningRow(o)}})
			}
			if got := b.core.PendingJobs("q"); got != tt.pending {
				t.Errorf("%d wait, want %d", got, tt.pending)
			}
		})
	}
}

// More jobs change than one write takes, again and again. The ends of a worker were acknowledged
// only once nothing at all was left to store: for as long as that lasted every poll told
// all ends anew, and the holder had no time left for its work. An end is acknowledged as soon as its own job is stored.
func TestAcksDontWaitForAll(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("a", func(j *sched.Job) { j.Steps[0].RequiredLabel = "w0" }))
	for i := range 10 {
		b.core.AddJob(b.now, oneTaskJob(fmt.Sprintf("z%d", i), func(j *sched.Job) { j.Steps[0].RequiredLabel = "w1" }))
	}
	var ends []sched.FinishedRun
	for _, o := range b.planOrders(sched.VerbStart) {
		if o.Incarnation.ID == "w0" {
			b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRow(1, o, sched.EndDone)}})
			continue
		}
		ends = append(ends, finishedRow(int64(len(ends)+1), o, sched.EndDone))
	}
	b.poll("w1", sched.Report{Finished: ends})
	for i, want := range []int64{1, 6} {
		batch, err := b.core.CollectChanges(2 + 3*i)
		if err != nil {
			t.Fatal(err)
		}
		if l, _ := b.core.NextPoll(b.now, "w1"); i == 0 && l.AckedSeq != 0 {
			t.Errorf("ends of w1 up to %d are acknowledged, and none is stored", l.AckedSeq)
		}
		b.core.MarkCommitted(batch)
		id := fmt.Sprintf("w%d", i)
		if l, _ := b.core.NextPoll(b.now, id); l.AckedSeq != want {
			t.Errorf("ends of %s up to %d are acknowledged, want %d", id, l.AckedSeq, want)
		}
	}
}

// A worker tells an end with each poll until it is acknowledged. It is news once: logged and counted each time, it
// buries in the log what an engineer looks for, and takes the holder's time when it has least.
func TestEndReportedOnce(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	end := finishedRow(1, b.planOrders(sched.VerbStart)[0], sched.EndDone)
	for _, want := range []int{1, 0, 0} {
		b.advance(time.Millisecond)
		got := b.core.HandleReport(b.now, b.now, "w0", sched.Report{StartedAt: 1, Clock: b.now.Sub(epoch()), Finished: []sched.FinishedRun{end}})
		if len(got) != want {
			t.Errorf("news: %v, want %d", got, want)
		}
	}
}

// Jobs change faster than they can be stored. Those that came first in the order of their ids were
// stored again and again, the others never, and a cancel was not acknowledged for as long as that lasted: its caller
// gave up, and the next holder, which knew of no cancel, started the job.
func TestChangesAreStoredInTurn(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	for _, id := range []string{"a", "b", "c", "d"} {
		b.core.AddJob(b.now, oneTaskJob(id, func(j *sched.Job) { j.Steps[0].LongRunning = true }))
	}
	fail := func(seq int64) {
		for _, o := range b.planOrders(sched.VerbStart) {
			b.poll(o.Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRow(seq, o, sched.EndFailed)}})
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
	fail(5) // all of them change once more
	got = append(got, collect())
	b.core.CancelJob(b.now, "d")
	got = append(got, collect(), collect())
	if want := []string{"a", "b", "d", "c"}; !slices.Equal(got, want) {
		t.Errorf("stored in the order %v, want %v", got, want)
	}
}
