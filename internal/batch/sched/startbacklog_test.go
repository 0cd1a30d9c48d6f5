package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// playSlowStarts submits a job of the given number of tasks, lets each start take as long as a plan's interval, and returns
// for how much of ten seconds further jobs were refused, and whether the last was.
func playSlowStarts(t *testing.T, workers, tasks int) (refused time.Duration, last bool) {
	const interval = 300 * time.Millisecond
	b := newHarness(t, 1, workers).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("large", func(j *sched.Job) { j.Steps[0].Count = tasks }))
	small := oneTaskJob("small", func(j *sched.Job) { j.DeadlineBase = 10 * time.Second })
	for range 10 * time.Second / interval {
		orders := b.core.Plan(b.now)
		b.advance(interval)
		for _, o := range orders {
			b.core.HandleOutcome(b.now, o, sched.OutcomeDone)
		}
		for _, m := range b.core.TrackedWorkers() {
			b.core.NextPoll(b.now, m.ID)
		}
		if last = b.core.AdmissionDelay(b.now, small) > 0; last {
			refused += interval
		}
	}
	return refused, last
}

// Guards against a holder that refuses jobs because workers are full: it could start more tasks, and jobs wait for others
// to end.
func TestFullWorkersDontRefuse(t *testing.T) {
	if refused, _ := playSlowStarts(t, 8, 1000); refused > 0 {
		t.Errorf("jobs were refused for %s, want never", refused)
	}
}

// Guards against a holder that goes on accepting jobs although workers have room for more tasks than it can start, and
// against one that goes on refusing them once it has started all.
func TestSlowStartsRefuse(t *testing.T) {
	if refused, last := playSlowStarts(t, 100, 300); refused == 0 || last {
		t.Errorf("jobs were refused for %s, at last: %t; want some, and none at last", refused, last)
	}
}

// Guards against a holder that refuses jobs because of tasks that no worker has room for, while the start limiter holds a
// few others back for a moment.
func TestBacklogWithoutRoomDoesntRefuse(t *testing.T) {
	const (
		interval = 100 * time.Millisecond // between plans; the answers of starts take as long, which leaves the window as it is
		window   = 64                     // starts of a plan
	)
	b := newHarness(t, 1, 20).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("no room", func(j *sched.Job) {
		j.Priority = 1
		j.Steps[0].Count, j.Steps[0].Size.CPU = 9000, 17000
	}))
	b.core.Plan(b.now)
	small := func(id string, n int) *sched.Job {
		return oneTaskJob(id, func(j *sched.Job) {
			j.AcceptedAt, j.DeadlineBase = b.now, 10*time.Second
			j.Steps[0].Count, j.Steps[0].Size = n, wire.Size{CPU: 10, Mem: 10}
		})
	}
	b.core.AddJob(b.now, small("first", 2*window))
	for i := range 50 {
		b.core.AddJob(b.now, small(fmt.Sprintf("small%d", i), window))
		orders := b.core.Plan(b.now)
		if len(orders) != window {
			t.Fatalf("plan %d starts %d tasks, want %d", i, len(orders), window)
		}
		b.advance(interval)
		for _, o := range orders {
			b.core.HandleOutcome(b.now, o, sched.OutcomeDone)
		}
		for _, m := range b.core.TrackedWorkers() {
			b.core.NextPoll(b.now, m.ID)
		}
		if delay := b.core.AdmissionDelay(b.now, small("new", 1)); delay > 0 {
			t.Fatalf("after plan %d a job was refused for %s", i, delay)
		}
	}
}
