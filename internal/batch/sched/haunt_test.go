package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A check-in runs twice. An order isn't answered, its worker starts anew, gets the check-in and is cut off. The order is
// carried out late, in the new life: its time is of the former life's clock, which is far ahead, so
// that it prolongs the lease of all that runs there beyond what this holder has granted.
func TestOrderOfFormerLifeProlongsLease(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.after(doubt)
	b.look("w0", sched.Report{})
	b.core.Missed(b.now, "w1", 1)
	b.core.Admit(b.now, one("j", nil))
	o := b.core.Plan(b.now)[0]
	ordered := b.now
	b.core.Answer(b.now, o, sched.OutcomeUnknown)
	b.look("w0", sched.Report{Born: 2})
	b.core.CrewStored(b.core.Crew())
	b.core.Admit(b.now, one("k", nil))
	k := b.plan(sched.VerbStart)
	if len(k) != 1 || k[0].Life.ID != "w0" {
		t.Fatalf("placed %v, want one on w0", k)
	}
	b.look("w0", sched.Report{Born: 2, Running: []sched.Running{running(k[0])}})
	b.core.Missed(b.now, "w0", 2)
	for b.now.Sub(ordered) < 12*time.Second+lease {
		b.look("w1", sched.Report{})
		b.core.CrewStored(b.core.Crew())
		if got := b.plan(sched.VerbStart); len(got) != 0 {
			t.Fatalf("placed %v, %v after the order", got, b.now.Sub(ordered))
		}
		b.after(200 * time.Millisecond)
	}
	b.after(5 * time.Second)
	b.look("w1", sched.Report{})
	if got := b.plan(sched.VerbStart); len(got) != 2 {
		t.Errorf("placed %v once the order can't be carried out any more, want both tasks", got)
	}
}
