package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Guards against a best-effort job that never runs because its image would interfere with the latency-critical tasks of
// every worker, while CPU is unused.
func TestBestEffortTaskDoesNotStarve(t *testing.T) {
	b, critical := newHarnessNearTarget(t, 1)
	status := critical["w0"]
	job := bestEffortJob("f", "fill", 3000)
	job.Steps[0].Count = 2
	b.core.AddJob(b.now, job)
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Fatalf("started %v where it pushes a latency-critical task over its target", got)
	}
	for waited := time.Duration(0); waited < 3*time.Second; waited += 200 * time.Millisecond {
		b.advance(200 * time.Millisecond)
		b.poll("w0", sched.Report{Running: []sched.RunStatus{status}})
		got := b.planOrders(sched.VerbStart)
		if len(got) == 0 {
			continue
		}
		if len(got) != 1 {
			t.Fatalf("started %v, want one task of the starved job", got)
		}
		b.poll("w0", sched.Report{Running: []sched.RunStatus{status}, Finished: []sched.FinishedRun{finishedRun(1, got[0], sched.EndDone)}})
		if next := b.planOrders(sched.VerbStart); len(next) != 1 {
			t.Errorf("started %v after that task had ended, want the next one", next)
		}
		return
	}
	t.Error("no task of the job runs within 3s")
}

// Guards against a starved job's task that runs unthrottled beside a latency-critical one until the next measurement, while
// that one misses its target.
func TestStarvedTaskIsThrottledAtOnce(t *testing.T) {
	b, critical := newHarnessNearTarget(t, 1)
	status := critical["w0"]
	b.core.AddJob(b.now, bestEffortJob("f", "fill", 6000))
	b.planOrders(sched.VerbStart)
	b.advance(2 * time.Second)
	b.poll("w0", sched.Report{Running: []sched.RunStatus{status}})
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Fatalf("started %v, want one task", got)
	}
	b.advance(300 * time.Millisecond)
	if got := b.planOrders(sched.VerbThrottle); len(got) != 1 || got[0].CPULimit == 100 {
		t.Errorf("orders %v, want a lower CPU limit", got)
	}
}

// Guards against tasks of starved jobs that can't be on time any more taking the CPU of jobs that can.
func TestStarvedTaskYieldsToTimelyJob(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	newJob := func(id string, deadline time.Duration) *sched.Job {
		j := bestEffortJob(id, "fill", 3000)
		j.Steps[0].Count, j.DeadlineBase, j.AcceptedAt = 5, deadline, b.now
		return j
	}
	b.core.AddJob(b.now, newJob("first", time.Minute))
	var rep sched.Report
	var ends []sched.FinishedRun
	for i, o := range b.planOrders(sched.VerbStart) {
		rep.Running = append(rep.Running, runStatus(o))
		ends = append(ends, finishedRun(int64(i+1), o, sched.EndDone))
	}
	if len(ends) != 5 {
		t.Fatalf("%d tasks of the first job started, want 5", len(ends))
	}
	planAfter := func(d time.Duration) []sched.Order {
		b.advance(d)
		b.poll("w0", rep)
		return b.planOrders(sched.VerbStart)
	}
	late := newJob("late", 0)
	late.StretchFactor, late.AcceptedAt = 0, epoch().Add(-time.Hour)
	b.core.AddJob(b.now, late)
	b.core.AddJob(b.now, newJob("timely", time.Minute))
	for range 3 {
		for _, o := range planAfter(time.Second) {
			if o.Task.Job == "late" {
				t.Fatalf("started %v while a job that can be on time is unplaced", o)
			}
		}
	}
	b.core.CancelJob(b.now, "timely")
	var lateStarts []sched.Order
	for range 3 {
		lateStarts = append(lateStarts, planAfter(time.Second)...)
		for _, o := range lateStarts {
			rep.Running = append(rep.Running[:5:5], runStatus(o))
		}
	}
	if len(lateStarts) != 1 || lateStarts[0].Task.Job != "late" {
		t.Fatalf("started %v, want one task of the late job", lateStarts)
	}
	rep = sched.Report{Running: rep.Running[5:], Finished: ends}
	b.core.CancelJob(b.now, "first")
	b.core.AddJob(b.now, newJob("next", time.Minute))
	next := 0
	for _, o := range planAfter(10 * time.Millisecond) {
		if o.Task.Job == "next" {
			next++
		}
	}
	if next != 5 {
		t.Errorf("%d tasks of the next job started, want 5", next)
	}
}

// newHarnessNearTarget returns a harness with n workers, each with a latency-critical task at three quarters of its target,
// and the statuses of these tasks by worker.
func newHarnessNearTarget(t *testing.T, n int) (b *harness, critical map[string]sched.RunStatus) {
	t.Helper()
	b = newHarness(t, 1, n).openWorkers()
	for i := range n {
		job := latencyCriticalJob(fmt.Sprintf("s%d", i), "serve")
		job.Steps[0].Count, job.Steps[0].RequiredLabel = 1, fmt.Sprintf("w%d", i)
		b.core.AddJob(b.now, job)
	}
	critical = map[string]sched.RunStatus{}
	for _, o := range b.planOrders(sched.VerbStart) {
		status := runStatus(o)
		status.Progress, status.TailLatency = 100, 18*time.Millisecond
		critical[o.Incarnation.ID] = status
	}
	for range 10 {
		b.advance(600 * time.Millisecond)
		for id, status := range critical {
			b.poll(id, sched.Report{Running: []sched.RunStatus{status}})
		}
	}
	return b, critical
}

// Guards against counting a job as starved when its next step begins to wait, as if the job had waited since it was
// accepted, although a task of it ran until now.
func TestNextStepIsNotStarved(t *testing.T) {
	b, critical := newHarnessNearTarget(t, 1)
	job := bestEffortJob("f", "fill", 3000)
	job.Steps = append([]sched.Step{{Count: 1, Size: wire.Size{CPU: 100, Mem: 100}, Estimate: time.Second}}, job.Steps...)
	job.Steps[1].DependsOn = []int{0}
	b.core.AddJob(b.now, job)
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 {
		t.Fatalf("started %v, want the first step", got)
	}
	for range 5 {
		b.advance(600 * time.Millisecond)
		b.poll("w0", sched.Report{Running: []sched.RunStatus{critical["w0"], runStatus(got[0])}})
		b.planOrders(sched.VerbStart)
	}
	b.poll("w0", sched.Report{Running: []sched.RunStatus{critical["w0"]}, Finished: []sched.FinishedRun{finishedRun(1, got[0], sched.EndDone)}})
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v where they push a latency-critical task over its target, for a job that had a task running until now", got)
	}
}

// Guards against stopping a starved job's last task again and again to move it to a worker on which it interferes as much.
func TestStarvedTaskIsNotMovedToEqualInterference(t *testing.T) {
	b, critical := newHarnessNearTarget(t, 2)
	job := bestEffortJob("f", "fill", 6000)
	job.Steps[0].Count, job.Steps[0].Checkpointed = 1, true
	b.core.AddJob(b.now, job)
	b.planOrders(sched.VerbStart)
	b.advance(2 * time.Second)
	for id, status := range critical {
		b.poll(id, sched.Report{Running: []sched.RunStatus{status}})
	}
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 {
		t.Fatalf("started %v, want one task", got)
	}
	worker := got[0].Incarnation.ID
	better := critical[otherWorker(got[0])]
	better.TailLatency = 17 * time.Millisecond
	critical[otherWorker(got[0])] = better
	for range 20 {
		b.advance(200 * time.Millisecond)
		for id, status := range critical {
			rep := sched.Report{Running: []sched.RunStatus{status}}
			if id == worker {
				rep.Running = append(rep.Running, runStatus(got[0]))
			}
			b.poll(id, rep)
		}
		if stops := b.planOrders(sched.VerbStop); len(stops) != 0 {
			t.Fatalf("stopped %v, want no stops", stops)
		}
	}
}

// Guards against paused tasks of starved jobs that hold a worker's memory, so that a long-running task finds none.
func TestStarvedTasksArePreempted(t *testing.T) {
	b, critical := newHarnessNearTarget(t, 1)
	rep := sched.Report{Running: []sched.RunStatus{critical["w0"]}}
	for i := range 30 {
		job := bestEffortJob(fmt.Sprintf("f%d", i), "fill", 6000)
		job.Steps[0].Count = 1
		b.core.AddJob(b.now, job)
	}
	b.planOrders(sched.VerbStart)
	b.advance(2 * time.Second)
	b.poll("w0", rep)
	starved := b.planOrders(sched.VerbStart)
	if len(starved) == 0 {
		t.Fatal("nothing started")
	}
	for _, o := range starved {
		rep.Running = append(rep.Running, runStatus(o))
	}
	b.advance(400 * time.Millisecond)
	b.poll("w0", rep)
	b.core.AddJob(b.now, oneTaskJob("long-running", func(j *sched.Job) { j.Steps[0].LongRunning, j.Steps[0].Size.Mem = true, 6000 }))
	b.planOrders(sched.VerbStart)
	stops := b.planOrders(sched.VerbStop)
	if len(stops) != 2 {
		t.Fatalf("stopped %v, want the two tasks of 3200 MiB each that free memory for one of 6000", stops)
	}
	b.advance(50 * time.Millisecond)
	if more := b.planOrders(sched.VerbStop); len(more) != 0 {
		t.Errorf("stopped %v as well, want no more stops", more)
	}
	for i, o := range stops {
		rep.Finished = append(rep.Finished, finishedRun(int64(i+1), o, sched.EndStopped))
	}
	left := rep.Running[:0:0]
	for _, r := range rep.Running {
		if r.Task != stops[0].Task.String() && r.Task != stops[1].Task.String() {
			left = append(left, r)
		}
	}
	rep.Running = left
	b.poll("w0", rep)
	started := b.planOrders(sched.VerbStart)
	if len(started) != 1 || started[0].Task.Job != "long-running" {
		t.Errorf("started %v, want the long-running task", started)
	}
}

// Guards against a job that can be on time for long, but finds no worker for some of its tasks, keeping all late jobs from
// running.
func TestTimelyJobDoesNotStarveOthers(t *testing.T) {
	b, critical := newHarnessNearTarget(t, 1)
	rep := sched.Report{Running: []sched.RunStatus{critical["w0"]}}
	late := bestEffortJob("late", "fill", 3000)
	late.AcceptedAt = b.now.Add(-time.Hour)
	b.core.AddJob(b.now, late)
	timely := bestEffortJob("timely", "fill", 3000)
	timely.AcceptedAt, timely.DeadlineBase = b.now, time.Minute
	b.core.AddJob(b.now, timely)
	for range 50 {
		b.advance(200 * time.Millisecond)
		b.poll("w0", rep)
		for _, o := range b.planOrders(sched.VerbStart) {
			if o.Task.Job == "late" {
				return
			}
			rep.Running = append(rep.Running, runStatus(o))
		}
	}
	t.Error("nothing of the late job runs within 10s")
}
