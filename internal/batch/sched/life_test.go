package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A worker starts anew while ends of its former life wait to be stored. Those numbers mean nothing to the new life: acknowledged
// by them, it would forget ends that nobody has heard of.
func TestOwedByFormerLife(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.core.Admit(b.now, one("a", nil))
	b.core.Admit(b.now, one("b", nil))
	var ends []sched.Finished
	for i, o := range b.plan(sched.VerbStart) {
		ends = append(ends, finished(int64(40+i), o, sched.EndDone))
	}
	b.poll("w0", sched.Report{Finished: ends})
	b.poll("w0", sched.Report{Born: 2})
	batch, err := b.core.Collect(1)
	if err != nil {
		t.Fatal(err)
	}
	b.core.Committed(batch)
	if l, _ := b.core.Poll(b.now, "w0"); l.Acked != 0 {
		t.Errorf("ends up to %d of the new life are acknowledged, and it has told none", l.Acked)
	}
}

// A worker starts anew, and its clock with it. A start that carries the lease of the former life's clock would
// let it run for as long as workers allow, past what this holder counts with.
func TestLeaseOfFormerLife(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.after(time.Minute)
	b.poll("w0", sched.Report{})
	b.core.Hear(b.now, b.now, "w0", sched.Report{Born: 2, Clock: time.Second})
	b.core.Poll(b.now, "w0")
	b.core.TrackedStored(b.core.Tracked())
	b.core.Admit(b.now, one("a", nil))
	got := b.plan(sched.VerbStart)
	if len(got) != 1 || got[0].Until > time.Second+lease {
		t.Errorf("started %v, want one with a lease until %v at most", got, time.Second+lease)
	}
}

// A start isn't answered, and the stop that follows is, by the worker's first life; then it starts anew. The
// start may still come, to a life that knows of no stop: the task isn't started elsewhere before that is
// impossible, or the new life has taken the stop too.
func TestStopByFormerLife(t *testing.T) {
	for _, tt := range []struct {
		name  string
		again bool // the new life takes the stop
	}{{"new life out of reach", false}, {"new life takes the stop", true}} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 1, 2).open()
			b.core.Admit(b.now, one("j", nil))
			o := b.core.Plan(b.now)[0]
			b.core.Answer(b.now, o, sched.OutcomeUnknown)
			ordered := b.now
			other := other(o)
			b.after(time.Millisecond)
			b.poll(o.Life.ID, sched.Report{})
			b.after(400 * time.Millisecond)
			if got := b.plan(sched.VerbStop); len(got) != 1 {
				t.Fatalf("stops: %v", got)
			}
			all := members(2)
			for i := range all {
				if all[i].ID == o.Life.ID {
					all[i].Born = 2
				}
			}
			b.core.Roster(b.now, all)
			if tt.again {
				b.poll(o.Life.ID, sched.Report{Born: 2})
				if got := b.plan(sched.VerbStart); len(got) != 0 {
					t.Fatalf("started %v before the new life has taken the stop", got)
				}
				b.after(400 * time.Millisecond)
				if got := b.plan(sched.VerbStop); len(got) != 1 || got[0].Life.Born != 2 {
					t.Fatalf("stops for the new life: %v", got)
				}
				b.poll(o.Life.ID, sched.Report{Born: 2})
				if got := b.plan(sched.VerbStart); len(got) != 1 {
					t.Errorf("started %v after the stop, want the task", got)
				}
				return
			}
			for b.now.Sub(ordered) < 12*time.Second+lease {
				b.poll(other, sched.Report{})
				if got := b.plan(sched.VerbStart); len(got) != 0 {
					t.Fatalf("placed again %s after the order", b.now.Sub(ordered))
				}
				b.after(100 * time.Millisecond)
			}
		})
	}
}

// A worker starts anew under its id, and its feeds stand still for 20 s: once because the new life can't be reached,
// once because it is lost soon after it was given feeds of its own. What an unanswered order may
// still bring to life there was waited for, though every order had been answered.
func TestRebornIsNotWaitedFor(t *testing.T) {
	feed := func(j *sched.Job) { j.Steps[0].Lasting = true }
	for _, tt := range []struct {
		name string
		lose func(b *bench, id string) // has the worker start anew, and be lost
	}{
		{"new life out of reach", func(b *bench, id string) {}},
		{"new life reached and lost", func(b *bench, id string) {
			b.poll(id, sched.Report{Born: 2})
			b.core.TrackedStored(b.core.Tracked())
			if got := b.plan(sched.VerbStart); len(got) != 1 || got[0].Life.ID != id {
				b.t.Fatalf("started %v, want the feed again in the new life", got)
			}
			b.core.Missed(b.now, id, 2)
			b.after(doubt + 100*time.Millisecond)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 1, 2).open()
			b.core.Admit(b.now, one("feed", feed))
			o := b.plan(sched.VerbStart)[0]
			b.poll(o.Life.ID, sched.Report{Running: []sched.Running{running(o)}})
			all := members(2)
			for i := range all {
				if all[i].ID == o.Life.ID {
					all[i].Born = 2
				}
			}
			b.core.Roster(b.now, all)
			tt.lose(b, o.Life.ID)
			b.poll(other(o), sched.Report{})
			for _, got := range b.plan(sched.VerbStart) {
				if got.Task.Job == "feed" {
					return
				}
			}
			t.Error("the feed isn't started on the other worker")
		})
	}
}

// A check-in runs twice. Its worker starts anew while the ends of its former life are being
// stored; the acknowledgement of these makes it forget the new life's ends unheard.
func TestAckOfFormerLife(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.poll("w0", sched.Report{Finished: []sched.Finished{{Seq: 40, Task: "x.0.0.0", Run: 1, How: sched.EndDone}}})
	batch, err := b.core.Collect(10)
	if err != nil {
		t.Fatal(err)
	}
	b.poll("w0", sched.Report{Born: 2})
	b.core.Committed(batch)
	if l, _ := b.core.Poll(b.now, "w0"); l.Acked != 0 {
		t.Errorf("ends up to %d of the new life acknowledged unheard", l.Acked)
	}
}

// A worker that has crashed and started again under its id runs nothing of before: its tasks
// are placed anew at once, but for one whose order was never answered, which may come to
// life in the new life.
func TestRebirth(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.core.Admit(b.now, one("j", nil))
	b.core.Admit(b.now, one("k", nil))
	orders := b.core.Plan(b.now)
	b.core.Answer(b.now, orders[0], sched.OutcomeDone)
	b.core.Answer(b.now, orders[1], sched.OutcomeUnknown)
	b.after(time.Second)
	all := members(1)
	all[0].Born = 2
	b.core.Roster(b.now, all)
	b.core.TrackedStored(b.core.Tracked())
	b.poll("w0", sched.Report{Born: 2})
	again := b.plan(sched.VerbStart)
	if len(again) != 1 || again[0].Task != orders[0].Task {
		t.Fatalf("placed %v, want %v", again, orders[0].Task)
	}
}

// A check-in runs twice. Its order isn't answered, the worker starts anew and is cut off; the
// order's time is of the former life's clock, so the new life carries it out seconds after
// every lease has lapsed by our count.
func TestOrderOfFormerLife(t *testing.T) {
	for _, hold := range []time.Duration{lease, 2 * lease} {
		t.Run(fmt.Sprint(hold), func(t *testing.T) {
			b := &bench{t: t, now: start()}
			b.core = sched.New(sched.Options{Lease: lease, Hold: hold, Sure: unsure, Term: 1}, b.now)
			b.core.Roster(b.now, members(2))
			b.open()
			b.after(doubt)
			b.poll("w0", sched.Report{})
			b.poll("w1", sched.Report{})
			b.core.Admit(b.now, one("j", nil))
			o := b.core.Plan(b.now)[0]
			b.core.Answer(b.now, o, sched.OutcomeUnknown)
			ordered := b.now
			other := other(o)
			b.poll(o.Life.ID, sched.Report{Born: 2})
			b.core.Missed(b.now, o.Life.ID, 2)
			for b.now.Sub(ordered) < 12*time.Second+hold*100/98 {
				b.poll(other, sched.Report{})
				if got := b.plan(sched.VerbStart); len(got) != 0 {
					t.Fatalf("placed again %s after the order", b.now.Sub(ordered))
				}
				b.after(100 * time.Millisecond)
			}
		})
	}
}

// A check-in runs twice. Its worker starts anew, carries out an order in its new life and ends
// it before it is polled; the former life's lease has lapsed by then, so the end is passed
// over as of before a lapse, and acknowledged.
func TestLapseOfFormerLife(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.core.Admit(b.now, one("j", nil))
	o := b.plan(sched.VerbStart)[0]
	b.core.Missed(b.now, "w0", 1)
	b.after(doubt + lease)
	all := members(1)
	all[0].Born = 2
	b.core.Roster(b.now, all)
	b.plan(sched.VerbStart)
	b.poll("w0", sched.Report{Born: 2, Finished: []sched.Finished{finished(1, o, sched.EndDone)}})
	b.store()
	b.state("j", sched.StateCompleted)
}

// A book is finished twice. Its worker is cut off, starts anew behind the cut under the same id, and
// carries out an order that was meant for its former life; the book is done there before the cut
// heals. The first poll after it must not acknowledge ends by the former life's numbers: the
// worker would forget the success before anybody heard of it.
func TestAckAfterBrokenContact(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.core.Admit(b.now, one("j", nil))
	o := b.plan(sched.VerbStart)[0]
	b.poll(o.Life.ID, sched.Report{Finished: []sched.Finished{finished(1, o, sched.EndFailed)}})
	b.store()
	l, _ := b.core.Poll(b.now, o.Life.ID)
	if l.Acked != 1 {
		t.Fatalf("acknowledged up to %d, want 1", l.Acked)
	}
	b.core.Missed(b.now, o.Life.ID, 1)
	if l, _ = b.core.Poll(b.now, o.Life.ID); l.Acked != 0 {
		t.Errorf("after a poll without an answer, ends up to %d are acknowledged to whoever answers next", l.Acked)
	}
	b.poll(o.Life.ID, sched.Report{})
	if l, _ = b.core.Poll(b.now, o.Life.ID); l.Acked != 1 {
		t.Errorf("with the same life again, ends up to %d are acknowledged, want 1", l.Acked)
	}
}
