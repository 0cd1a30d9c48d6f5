package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// newWaitingHarness returns a harness of 100 workers and a job of 1,000 small tasks.
func newWaitingHarness(t *testing.T) *harness {
	b := newHarness(t, 1, 100).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) {
		j.Steps[0].Count, j.Steps[0].Size = 1000, wire.Size{CPU: 100, Mem: 10}
	}))
	return b
}

// sendStarts plans and sends the orders.
func (b *harness) sendStarts() []sched.Order {
	orders := b.core.Plan(b.now)
	for _, o := range orders {
		b.core.CheckSend(b.now, o)
	}
	return orders
}

// Guards against bursts of starts that a busy holder sends while it has not read the answers to those before: each of
// them takes processor time from the answers, so that all are taken for lost.
func TestUnansweredStartsStayBounded(t *testing.T) {
	const (
		window  = 64 // starts that are sent before any answer
		reserve = 8  // starts that may be sent beside overdue ones
	)
	b := newWaitingHarness(t)
	sent := 0
	for range 12 { // the outcome of the first starts is known after 600 ms
		sent += len(b.sendStarts())
		b.advance(50 * time.Millisecond)
	}
	if sent < window || sent > window+reserve {
		t.Errorf("%d starts before the first is answered, want %d to %d", sent, window, window+reserve)
	}
}

// Guards against tasks that start late because starts on silent workers fill the window: once a start that was sent later
// is answered, they no longer do.
func TestSilentWorkersFreeTheWindow(t *testing.T) {
	const window = 64 // starts that are sent before any answer
	b := newWaitingHarness(t)
	b.sendStarts()
	b.advance(310 * time.Millisecond)
	later := b.sendStarts()
	if len(later) == 0 {
		t.Fatal("no start beside overdue ones")
	}
	b.advance(5 * time.Millisecond)
	b.core.HandleOutcome(b.now, later[0], sched.OutcomeDone)
	if n := len(b.sendStarts()); n < window/2 {
		t.Errorf("%d starts after a later one was answered, want %d", n, window/2)
	}
}

// Guards against a burst of starts by a window that grew while the holder had much processor time: when many tasks next
// wait at once, it may have little.
func TestUnusedWindowShrinks(t *testing.T) {
	const window = 64 // starts that are sent before any answer
	b := newWaitingHarness(t)
	n := 0
	for range 4 {
		orders := b.sendStarts()
		n = len(orders)
		b.advance(5 * time.Millisecond)
		for _, o := range orders {
			b.core.HandleOutcome(b.now, o, sched.OutcomeDone)
		}
	}
	if n < 4*window {
		t.Fatalf("a window of %d starts, want at least %d", n, 4*window)
	}
	b.core.CancelJob(b.now, "j")
	for range 100 {
		b.advance(100 * time.Millisecond)
		for _, o := range b.sendStarts() {
			b.core.HandleOutcome(b.now, o, sched.OutcomeDone)
		}
		for _, m := range b.core.TrackedWorkers() {
			b.poll(m.ID, sched.Report{})
		}
	}
	b.core.AddJob(b.now, oneTaskJob("k", func(j *sched.Job) {
		j.Steps[0].Count, j.Steps[0].Size = 1000, wire.Size{CPU: 100, Mem: 10}
	}))
	if n := len(b.sendStarts()); n != window {
		t.Errorf("%d starts at once 10 s later, want %d", n, window)
	}
}

// Guards against a window that never grows because each answer comes over a hop that takes longer than a prompt answer.
func TestWindowGrowsOverSlowHop(t *testing.T) {
	const window = 64 // starts that are sent before any answer
	b := newWaitingHarness(t)
	n := 0
	for range 4 {
		orders := b.sendStarts()
		n = len(orders)
		b.advance(60 * time.Millisecond)
		for _, o := range orders {
			b.core.HandleOutcome(b.now, o, sched.OutcomeDone)
		}
	}
	if n < 4*window {
		t.Errorf("%d starts in the last of 4 plans, want at least %d", n, 4*window)
	}
}
