package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Bounds that operators set: on starts after a worker's word that it leaves, and after the word that a failure domain
// is taken out.
const (
	drainLimit = 2 * time.Second
	evacLimit  = 5 * time.Second
)

// A task starts on a worker that told the store seconds ago that it leaves, or in a failure domain that was taken out.
// The holder is confirmed all the while, but its readings of what the store holds come late.
func TestStaleReadingBlocksStarts(t *testing.T) {
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
				t.Fatalf("planned %v, want a start", orders)
			}
			o := orders[0]
			wait(tt.most)
			if got := b.core.CheckSend(b.now, o); got != tt.want {
				t.Errorf("the start is barred by %q, want %q", got, tt.want)
			}
			b.core.HandleOutcome(b.now, o, sched.OutcomeUnsent)
			b.core.AddJob(b.now, oneTaskJob("k", nil))
			if got := b.planOrders(sched.VerbStart); len(got) != 0 {
				t.Errorf("placed %v by a reading of %v ago", got, b.now.Sub(began))
			}
			tt.read(b.core, began.Add(-time.Second))
			if got := b.planOrders(sched.VerbStart); len(got) != 0 {
				t.Errorf("placed %v after the answer to an older reading", got)
			}
			tt.read(b.core, b.now)
			if got := b.planOrders(sched.VerbStart); len(got) != 2 {
				t.Errorf("placed %v after a new reading, want both tasks", got)
			}
		})
	}
}

// Work stops in an outage of the store for all, in which no reading succeeds and only peers confirm the holder. Once
// the store answers again, what was held before it is out of date.
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
		t.Fatalf("planned %v, want a start", orders)
	}
	if got := b.core.CheckSend(b.now, orders[0]); got != sched.CauseNone {
		t.Errorf("the start is barred by %q", got)
	}
	b.core.ConfirmHolder(b.now)
	if got := b.core.CheckSend(b.now, orders[0]); got == sched.CauseNone {
		t.Error("the start leaves by a reading of before the outage")
	}
}
