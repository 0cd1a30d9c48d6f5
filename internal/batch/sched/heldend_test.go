package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// holdEnd returns a worker whose reports begin with an end that can't be handled: its run was released as the worker's lease
// expired, and the task's next start is in flight. It returns that start, and the end.
func (b *harness) holdEnd(id string) (sched.Order, sched.FinishedRun) {
	b.t.Helper()
	b.core.AddJob(b.now, oneTaskJob("held", nil))
	o := b.planOrders(sched.VerbStart)[0]
	if o.Incarnation.ID != id {
		b.t.Fatalf("the task started on %s, want %s", o.Incarnation.ID, id)
	}
	end := finishedRun(1, o, sched.EndDone)
	b.loseContact(id, end)
	b.core.UpdateDirectory(b.now, members(2))
	again := b.core.Plan(b.now)
	if len(again) != 1 {
		b.t.Fatalf("orders %v, want a start on the other worker", again)
	}
	b.core.NoteDirectoryRead(b.now)
	b.core.NoteIntentRead(b.now)
	if cause := b.core.CheckSend(b.now, again[0]); cause != sched.CauseNone {
		b.t.Fatal(cause)
	}
	return again[0], end
}

// Guards against a task that is done twice: its end stands in a report behind one that can't be handled yet, so the run is
// neither listed as active nor known to have ended, and is taken for missing.
func TestEndBehindHeldEnd(t *testing.T) {
	for _, tt := range []struct {
		name    string
		outcome sched.Outcome // of the start
		gang    bool          // the run is one of a gang of two
	}{
		{"answered start", sched.OutcomeDone, false},
		{"unanswered start", sched.OutcomeUnknown, false},
		{"gang", sched.OutcomeDone, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			again, held := b.holdEnd("w0")
			b.poll("w0", sched.Report{Finished: []sched.FinishedRun{held}})
			b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) {
				j.Steps[0].RequiredLabel = "w0"
				if tt.gang {
					j.Steps[0].Count, j.Steps[0].Gang = 2, true
				}
			}))
			b.advance(time.Millisecond)
			starts := b.core.Plan(b.now)
			if len(starts) == 0 {
				t.Fatal("no start")
			}
			for _, o := range starts {
				b.core.HandleOutcome(b.now, o, tt.outcome)
			}
			ends := []sched.FinishedRun{held}
			for i, o := range starts {
				ends = append(ends, finishedRun(int64(2+i), o, sched.EndDone))
			}
			for range 4 {
				b.advance(time.Second)
				b.core.NextPoll(b.now, "w1")
				b.poll("w1", sched.Report{})
				b.core.NoteDirectoryRead(b.now)
				b.core.NoteIntentRead(b.now)
				b.poll("w0", sched.Report{Finished: ends})
				for _, o := range b.core.Plan(b.now) {
					switch o.Verb {
					case sched.VerbStart:
						t.Errorf("start %v while the end of its task's run is listed and not handled", o)
					case sched.VerbStop:
						b.core.HandleOutcome(b.now, o, sched.OutcomeRunEnded)
					}
				}
			}
			b.core.HandleOutcome(b.now, again, sched.OutcomeDone)
			b.poll("w0", sched.Report{Finished: ends})
			b.checkDoneOnce("w0", "j", int64(len(ends)))
		})
	}
}
