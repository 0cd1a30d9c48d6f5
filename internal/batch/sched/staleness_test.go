package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Times after which operators allow no more starts on a worker that has announced that it drains, and in a zone that
// has been evacuated.
const (
	drainLimit = 2 * time.Second
	evacLimit  = 5 * time.Second
)

// Guards against starts on a worker that announced seconds ago that it drains, or in a zone that was evacuated. The
// holder stays confirmed all the time, but its reads of the store come late.
func TestStaleReadBlocksStarts(t *testing.T) {
	for _, tt := range []struct {
		name string
		read func(*sched.Core, time.Time)
		most time.Duration
		want sched.UnsentCause
	}{
		{"directory", (*sched.Core).NoteDirectoryRead, drainLimit, sched.CauseStaleDirectory},
		{"intent", (*sched.Core).NoteIntentRead, evacLimit, sched.CauseStaleIntent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			tt.read(b.core, b.now)
			began := b.now
			wait := func(until time.Duration) {
				for b.now.Sub(began) < until {
					b.advance(100 * time.Millisecond)
					b.poll("w0", sched.Report{})
					b.poll("w1", sched.Report{})
				}
			}
			wait(tt.most - time.Second)
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			orders := b.core.Plan(b.now)
			if len(orders) != 1 {
				t.Fatalf("orders %v, want a start", orders)
			}
			o := orders[0]
			wait(tt.most)
			if got := b.core.CheckSend(b.now, o); got != tt.want {
				t.Errorf("the start is blocked by %q, want %q", got, tt.want)
			}
			b.core.HandleOutcome(b.now, o, sched.OutcomeUnsent)
			b.core.AddJob(b.now, oneTaskJob("k", nil))
			if got := b.planOrders(sched.VerbStart); len(got) != 0 {
				t.Errorf("starts %v with a read from %v ago, want none", got, b.now.Sub(began))
			}
			tt.read(b.core, began.Add(-time.Second))
			if got := b.planOrders(sched.VerbStart); len(got) != 0 {
				t.Errorf("starts %v after the answer to an older read, want none", got)
			}
			tt.read(b.core, b.now)
			if got := b.planOrders(sched.VerbStart); len(got) != 2 {
				t.Errorf("starts %v after a new read, want both tasks", got)
			}
		})
	}
}

// Guards against a stop of all work while no process reaches the store, so that no read succeeds and only peers confirm
// the holder. Once the store answers again, reads from before the outage are stale.
func TestStoreOutageBlocksNoStarts(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.NoteDirectoryRead(b.now)
	b.core.NoteIntentRead(b.now)
	for range 30 {
		b.now = b.now.Add(time.Second)
		b.core.ConfirmHolderByPeers(b.now)
		b.core.NextPoll(b.now, "w0")
		b.core.HandleReport(b.now, b.now, "w0", sched.Report{StartedAt: 1, Clock: b.now.Sub(epoch())})
	}
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	orders := b.core.Plan(b.now)
	if len(orders) != 1 {
		t.Fatalf("orders %v, want a start", orders)
	}
	if got := b.core.CheckSend(b.now, orders[0]); got != sched.CauseNone {
		t.Errorf("the start is blocked by %q during the outage", got)
	}
	b.core.ConfirmHolder(b.now)
	if got := b.core.CheckSend(b.now, orders[0]); got == sched.CauseNone {
		t.Error("the start is sent with a read from before the outage")
	}
}

// Guards against DRAIN: a holder short of processor time reads both the directory and the store's answers to its renewals
// late. The read's age counts up to the last confirmation only, so a start leaves up to 4.6 s after the read.
func TestStartLongAfterReadAndConfirmation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.NoteDirectoryRead(b.now)
	began := b.now
	b.advance(1500 * time.Millisecond) // the store's last confirmation, not by peers
	b.poll("w0", sched.Report{})
	b.now = b.now.Add(1200 * time.Millisecond)
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	for _, o := range b.core.Plan(b.now) {
		if cause := b.core.CheckSend(b.now, o); cause == sched.CauseNone {
			t.Errorf("a start is sent %v after the read of the directory; no start may come over %v after a worker drains", b.now.Sub(began), drainLimit)
		}
	}
}
