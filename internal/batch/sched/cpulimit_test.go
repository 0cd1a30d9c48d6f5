package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// inheritBestEffort lets a new holder take over n best-effort tasks of one job on worker w0, with their reports.
func inheritBestEffort(t *testing.T, n int) (b *harness, running []sched.RunStatus) {
	t.Helper()
	b = newHarness(t, 2, 1)
	job := bestEffortJob("f", "fill", 100)
	job.Steps[0].Count = n
	job.Steps[0].Size.Mem = 10
	if err := b.core.RestoreJob(b.now, "f", job, nil); err != nil {
		t.Fatal(err)
	}
	b.core.InheritWorkers(b.now, members(1))
	for i := range n {
		running = append(running, sched.RunStatus{Task: fmt.Sprintf("f.0.0.%d", i), Run: 1_000_001, CPUUsage: 100, Progress: 10})
	}
	return b, running
}

// Guards against a best-effort task that its former holder had paused and that stands still for good, as the new holder
// takes it for unlimited.
func TestPausedBestEffortOfFormerHolder(t *testing.T) {
	b, running := inheritBestEffort(t, 1)
	running[0].CPUUsage = 0
	b.poll("w0", sched.Report{Running: running})
	b.advance(300 * time.Millisecond)
	got := b.planOrders(sched.VerbThrottle)
	if len(got) != 1 || got[0].CPULimit != 100 || !got[0].Idle {
		t.Fatalf("throttles %v, want one to 100%% of an idle run", got)
	}
	b.advance(time.Second)
	running[0].CPUUsage = 100
	b.poll("w0", sched.Report{Running: running})
	if got := b.planOrders(sched.VerbThrottle); len(got) != 0 {
		t.Errorf("throttles %v once the limit is known, want none", got)
	}
}

// Guards against a new holder that sends an order to each of hundreds of tasks at once, and against paused tasks that wait
// for their orders behind those that run.
func TestLimitConfirmsBounded(t *testing.T) {
	b, running := inheritBestEffort(t, 60)
	paused := []string{"f.0.0.41", "f.0.0.59"}
	for i := range running {
		if slices.Contains(paused, running[i].Task) {
			running[i].CPUUsage = 0
		}
	}
	b.poll("w0", sched.Report{Running: running})
	b.advance(300 * time.Millisecond)
	first := throttles(b.core.Plan(b.now))
	if len(first) != 8 || first[0].Task.String() != paused[0] || first[1].Task.String() != paused[1] {
		t.Fatalf("throttles %v, want 8 of which the first two are to the paused tasks", first)
	}
	if more := throttles(b.core.Plan(b.now)); len(more) != 0 {
		t.Fatalf("%d more throttles while those are in flight, want none", len(more))
	}
	for _, o := range first {
		b.core.HandleOutcome(b.now, o, sched.OutcomeDone)
	}
	if more := throttles(b.core.Plan(b.now)); len(more) != 8 {
		t.Errorf("%d throttles after the first are answered, want 8", len(more))
	}
}

// Guards against a latency-critical task that is disturbed for longer, as the order to pause the best-effort task beside it,
// whose limit isn't known, waits for those that only confirm limits.
func TestPauseDoesNotWaitForConfirms(t *testing.T) {
	b, critical, bestEffort := newColocated(t)
	job := bestEffortJob("old", "calm", 1)
	job.Steps[0].Count, job.Steps[0].Size.Mem = 40, 1
	if err := b.core.RestoreJob(b.now, "old", job, nil); err != nil {
		t.Fatal(err)
	}
	var adopted []sched.RunStatus
	for i := range 40 {
		adopted = append(adopted, sched.RunStatus{Task: fmt.Sprintf("old.0.0.%d", i), Run: 1, CPUUsage: 1, Progress: 10})
	}
	for range 12 {
		b.advance(600 * time.Millisecond)
		s, f := runStatus(critical), runStatus(bestEffort)
		s.Progress, s.TailLatency, f.CPUUsage = 100, 90*time.Millisecond, 3000
		b.poll(critical.Incarnation.ID, sched.Report{Running: append([]sched.RunStatus{s, f}, adopted...)})
		b.advance(time.Millisecond)
		for _, o := range throttles(b.core.Plan(b.now)) {
			if o.Task == bestEffort.Task && o.CPULimit == 0 {
				return
			}
			if o.Task == bestEffort.Task {
				b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
			} // the others stay in flight
		}
	}
	t.Error("the best-effort task isn't paused")
}

// throttles returns the orders that set a CPU limit.
func throttles(orders []sched.Order) []sched.Order {
	return slices.DeleteFunc(orders, func(o sched.Order) bool { return o.Verb != sched.VerbThrottle })
}

// Guards against a best-effort task that stands still for good: the order that pauses it is carried out, and by the time
// its answer is given up the task is to run again.
func TestUnansweredPause(t *testing.T) {
	b, critical, bestEffort := newColocated(t)
	b.reportMeasurements(critical, bestEffort, 4*time.Millisecond, 3000)
	for range 4 {
		b.reportMeasurements(critical, bestEffort, 90*time.Millisecond, 3000)
	}
	pause := throttles(b.core.Plan(b.now))
	if len(pause) != 1 {
		t.Fatalf("throttles %v, want one", pause)
	}
	for range 12 {
		b.reportMeasurements(critical, bestEffort, 6*time.Millisecond, 0)
	}
	b.core.HandleOutcome(b.now, pause[0], sched.OutcomeUnknown)
	b.advance(time.Second)
	if got := throttles(b.core.Plan(b.now)); len(got) != 1 || got[0].CPULimit != 100 {
		t.Errorf("throttles %v after the unanswered one, want one to 100%%", got)
	}
}

// reportUntilPaused has the worker report a latency-critical task over its target until the best-effort one is to be paused,
// and returns that order, which has no outcome yet.
func (b *harness) reportUntilPaused(critical, bestEffort sched.Order) sched.Order {
	b.t.Helper()
	b.reportMeasurements(critical, bestEffort, 4*time.Millisecond, 3000)
	for range 8 {
		b.reportMeasurements(critical, bestEffort, 90*time.Millisecond, 3000)
		b.advance(time.Millisecond)
		for _, o := range throttles(b.core.Plan(b.now)) {
			if o.CPULimit == 0 {
				return o
			}
			b.core.HandleOutcome(b.now, o, sched.OutcomeDone)
		}
	}
	b.t.Fatal("the best-effort task isn't paused")
	return sched.Order{}
}

// Guards against a best-effort task that stands still although the newest answered order lets it run: the worker carries
// out an earlier, unanswered pause after it.
func TestPauseCarriedOutLate(t *testing.T) {
	b, critical, bestEffort := newColocated(t)
	pause := b.reportUntilPaused(critical, bestEffort)
	b.core.HandleOutcome(b.now, pause, sched.OutcomeUnknown)
	for range 8 {
		b.reportMeasurements(critical, bestEffort, 6*time.Millisecond, 3000)
		b.planOrders(sched.VerbThrottle)
	}
	orders := 0
	for range 6 {
		b.reportMeasurements(critical, bestEffort, 6*time.Millisecond, 0)
		orders += len(b.planOrders(sched.VerbThrottle))
	}
	if orders == 0 {
		t.Error("no order for a task that is paused by a late order")
	}
}

// Guards against a best-effort task that disturbs a latency-critical one for good: once its CPU limit isn't known, it must
// count as active, or the time over the target begins anew with each measurement and the task is never paused.
func TestUnknownLimitCountsAsActive(t *testing.T) {
	b, critical, bestEffort := newColocated(t)
	b.core.HandleOutcome(b.now, b.reportUntilPaused(critical, bestEffort), sched.OutcomeDone)
	limits := []int{}
	for range 20 {
		b.reportMeasurements(critical, bestEffort, 90*time.Millisecond, 3000)
		b.advance(time.Millisecond)
		for _, o := range throttles(b.core.Plan(b.now)) {
			limits = append(limits, o.CPULimit)
			b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
		}
	}
	if last := len(limits) - 1; last < 0 || limits[last] != 0 {
		t.Errorf("CPU limits %v over 12 s over the target, want 0%% at the end", limits)
	}
}
