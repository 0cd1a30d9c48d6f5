package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// longRunningJob returns a job with one long-running task of some CPU, which may run on any worker or, if label isn't empty, on
// those with the label.
func longRunningJob(id string, cpu int, label string) *sched.Job {
	return oneTaskJob(id, func(j *sched.Job) {
		j.Steps[0].LongRunning, j.Steps[0].Size, j.Steps[0].RequiredLabel = true, wire.Size{CPU: cpu, Mem: 1000}, label
	})
}

// shortJob returns a job with one task of a quarter of a worker.
func shortJob(id string, at time.Time) *sched.Job {
	return oneTaskJob(id, func(j *sched.Job) { j.Steps[0].Size, j.AcceptedAt = wire.Size{CPU: 4000, Mem: 4000}, at })
}

// drainingMembers returns n workers of which those with the given ids drain.
func drainingMembers(n int, remaining time.Duration, ids ...string) []sched.Member {
	all := members(n)
	for i := range all {
		if slices.Contains(ids, all[i].ID) {
			all[i].Draining, all[i].DrainRemaining = true, remaining
		}
	}
	return all
}

// Guards against long-running tasks that stay on a worker until it leaves, as it has announced: all other workers are full of
// short tasks then, and the tasks stand still until the worker's lease has expired and a worker has room for them.
func TestMovedBeforeWorkerLeaves(t *testing.T) {
	for _, tt := range []struct {
		name     string
		cpu      int // of the long-running task on each leaving worker
		leaving  int // workers that leave at the same time
		notice   time.Duration
		interval time.Duration // between short tasks: more come in than fit
	}{
		{"one worker", 10000, 1, 5 * time.Second, 50 * time.Millisecond},
		{"two workers", 10000, 2, 5 * time.Second, 50 * time.Millisecond},
		{"task as large as a worker", 16000, 1, 5 * time.Second, 50 * time.Millisecond},
		{"two workers, short notice", 10000, 2, 3 * time.Second, 30 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const (
				workers   = 4
				tick      = 10 * time.Millisecond
				announced = 2 * time.Second
				stopTime  = 200 * time.Millisecond
				duration  = time.Second // of a short task
			)
			b := newHarness(t, 1, workers).openWorkers()
			runs := newTimedRuns(b)
			for i := range tt.leaving {
				b.core.AddJob(b.now, longRunningJob(fmt.Sprintf("long%d", i), tt.cpu, ""))
			}
			origin := map[string]string{}
			for _, o := range b.planOrders(sched.VerbStart) {
				origin[o.Task.Job] = o.Incarnation.ID
				runs.start(o, time.Hour)
			}
			directory := drainingMembers(workers, tt.notice, slices.Collect(maps.Values(origin))...)
			moved := map[string]string{}
			for n := 0; b.now.Sub(epoch()) < announced+tt.notice; n++ {
				now := b.now.Sub(epoch())
				if n%int(tt.interval/tick) == 0 {
					b.core.AddJob(b.now, shortJob(fmt.Sprintf("short%d", n), b.now))
				}
				if now >= announced {
					b.core.UpdateDirectory(b.now, directory)
				}
				for _, o := range b.core.Plan(b.now) {
					b.core.HandleOutcome(b.now, o, sched.OutcomeDone)
					switch {
					case o.Verb == sched.VerbStop:
						runs.stop(o, stopTime)
					case strings.HasPrefix(o.Task.Job, "long"):
						moved[o.Task.Job] = o.Incarnation.ID
						runs.start(o, time.Hour)
					default:
						runs.start(o, duration)
					}
				}
				runs.poll(func() bool { return now%time.Second < tick })
				b.storeChanges()
				b.advance(tick)
			}
			for job, from := range origin {
				if to := moved[job]; to == "" || to == from {
					t.Errorf("%s runs on %s, which has left, and was started on %q since, want another worker", job, from, to)
				}
			}
		})
	}
}

// Guards against a long-running task of a lost worker that stands still for longer than its worker's lease: when the lease has
// expired, all other workers are full of short tasks, and the task has to wait for them to end as well.
func TestRestartedWhenLeaseExpires(t *testing.T) {
	const (
		workers  = 4
		tick     = 10 * time.Millisecond
		lostAt   = 2 * time.Second
		interval = 50 * time.Millisecond // between short tasks: more come in than fit
		duration = time.Second           // of a short task
		end      = lostAt + 2*lease
	)
	b := newHarness(t, 1, workers).openWorkers()
	runs := newTimedRuns(b)
	b.core.AddJob(b.now, longRunningJob("long", 10000, ""))
	first := b.planOrders(sched.VerbStart)[0]
	lost := first.Incarnation.ID
	runs.start(first, time.Hour)
	for n := 0; b.now.Sub(epoch()) < end; n++ {
		now := b.now.Sub(epoch())
		if n%int(interval/tick) == 0 {
			b.core.AddJob(b.now, shortJob(fmt.Sprintf("short%d", n), b.now))
		}
		if now >= lostAt {
			b.core.PollFailed(b.now, lost, 1)
			delete(runs.runs, lost)
		}
		restarted := false
		for _, o := range b.planOrders(sched.VerbStart) {
			restarted = restarted || o.Task.Job == "long"
			runs.start(o, duration)
		}
		if released := b.core.TakeEvents().Released; len(released) > 0 {
			if !restarted {
				t.Errorf("%s isn't started by the plan that releases its lost run", released[0].Task)
			}
			return
		}
		runs.poll(func() bool { return now%time.Second < tick })
		b.storeChanges()
		b.advance(tick)
	}
	t.Fatal("the lost run wasn't released")
}

// Guards against a moved task that loses its destination to a job that comes in while its run is being stopped.
func TestRelocatedTaskKeepsDestination(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	b.core.AddJob(b.now, longRunningJob("moved", 10000, ""))
	first := b.planOrders(sched.VerbStart)[0]
	leaving, other := first.Incarnation.ID, otherWorker(first)
	b.poll(leaving, sched.Report{Running: []sched.RunStatus{runStatus(first)}})
	b.poll(other, sched.Report{})
	b.core.UpdateDirectory(b.now, drainingMembers(2, 500*time.Millisecond, leaving))
	if stops := b.planOrders(sched.VerbStop); len(stops) != 1 {
		t.Fatalf("stops %v, want that of the task on the draining worker", stops)
	}
	b.core.AddJob(b.now, longRunningJob("new", 10000, ""))
	if starts := b.planOrders(sched.VerbStart); len(starts) != 0 {
		t.Errorf("started %v while the task is being moved, want none", starts)
	}
	b.poll(leaving, sched.Report{Finished: []sched.FinishedRun{finishedRun(1, first, sched.EndStopped)}})
	starts := b.planOrders(sched.VerbStart)
	if len(starts) != 1 || starts[0].Task.Job != "moved" || starts[0].Incarnation.ID != other {
		t.Errorf("started %v after the stop, want the moved task on %s", starts, other)
	}
}

// Guards against resources that stay reserved for a task which isn't moved any more: nothing else could ever use them.
func TestRelocationGivenUp(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(b *harness) // after which the task isn't moved to w1
	}{
		{"job cancelled", func(b *harness) { b.core.CancelJob(b.now, "moved") }},
		{"worker doesn't drain any more", func(b *harness) { b.core.UpdateDirectory(b.now, members(2)) }},
		{"worker has left", func(b *harness) { b.core.PollFailed(b.now, "w0", 1) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, longRunningJob("moved", 10000, "w0"))
			first := b.planOrders(sched.VerbStart)[0]
			b.poll("w0", sched.Report{Running: []sched.RunStatus{runStatus(first)}})
			// The label is shared from now on.
			directory := drainingMembers(2, time.Second, "w0")
			directory[1].Labels = []string{"w0", "w1"}
			b.core.UpdateDirectory(b.now, directory)
			b.planOrders(sched.VerbStop)
			b.core.AddJob(b.now, longRunningJob("new", 10000, "w1"))
			if starts := b.planOrders(sched.VerbStart); len(starts) != 0 {
				t.Fatalf("started %v on the destination, want none while it is reserved", starts)
			}
			tt.change(b)
			if starts := b.planOrders(sched.VerbStart); len(starts) != 1 || starts[0].Task.Job != "new" {
				t.Errorf("started %v, want the new job", starts)
			}
		})
	}
}

// Guards against new long-running jobs that take the resources which the tasks of a draining worker will need: announced 5 s
// before, the departure then ends these tasks.
func TestNewJobsLeaveRoomForDepartingTasks(t *testing.T) {
	for _, tt := range []struct {
		name        string
		longRunning bool // the job that comes in
		wantStart   bool
	}{
		{"long-running job", true, false},
		{"job that ends before the departure", false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			b.core.AddJob(b.now, longRunningJob("departing", 10000, ""))
			first := b.planOrders(sched.VerbStart)[0]
			b.poll(first.Incarnation.ID, sched.Report{Running: []sched.RunStatus{runStatus(first)}})
			b.core.UpdateDirectory(b.now, drainingMembers(2, 5*time.Second, first.Incarnation.ID))
			b.planOrders(sched.VerbStop)
			b.core.AddJob(b.now, oneTaskJob("new", func(j *sched.Job) {
				j.Steps[0].LongRunning, j.Steps[0].Size = tt.longRunning, wire.Size{CPU: 10000, Mem: 1000}
			}))
			if starts := b.planOrders(sched.VerbStart); (len(starts) == 1) != tt.wantStart {
				t.Errorf("started %v on the only worker for the departing task, want a start: %v", starts, tt.wantStart)
			}
		})
	}
}

// Guards against an interrupted task that stands still while resources are reserved for tasks that still run.
func TestInterruptedTaskBeforeDepartingOnes(t *testing.T) {
	for _, tt := range []struct {
		name string
		left time.Duration // until the draining worker may leave
		busy bool          // the destination is full of a short task
	}{
		{"reserved against long-running tasks", 5 * time.Second, false},
		{"held against all", 1500 * time.Millisecond, true},
		{"reserved against long-running tasks, short task there", 5 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 3).openWorkers()
			b.core.AddJob(b.now, longRunningJob("departing", 10000, "w0"))
			b.core.AddJob(b.now, longRunningJob("failing", 10000, "w1"))
			orders := map[string]sched.Order{}
			for _, o := range b.planOrders(sched.VerbStart) {
				orders[o.Task.Job] = o
				b.poll(o.Incarnation.ID, sched.Report{Running: []sched.RunStatus{runStatus(o)}})
			}
			var short sched.Order
			if tt.busy {
				b.core.AddJob(b.now, oneTaskJob("short", func(j *sched.Job) {
					j.Steps[0].Size, j.Steps[0].RequiredLabel = wire.Size{CPU: 16000, Mem: 1000}, "w2"
				}))
				short = b.planOrders(sched.VerbStart)[0]
			}
			// From now on both tasks may run on w2, and only there.
			directory := drainingMembers(3, tt.left, "w0")
			directory[1].Labels = []string{"none"}
			directory[2].Labels = []string{"w0", "w1", "w2"}
			b.core.UpdateDirectory(b.now, directory)
			if stops := b.planOrders(sched.VerbStop); len(stops) != 0 {
				t.Fatalf("stops %v, want none", stops)
			}
			b.poll("w1", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, orders["failing"], sched.EndStopped)}})
			starts := b.planOrders(sched.VerbStart)
			if tt.busy {
				b.poll("w2", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, short, sched.EndDone)}})
				starts = b.planOrders(sched.VerbStart)
			}
			if len(starts) != 1 || starts[0].Task.Job != "failing" {
				t.Errorf("started %v, want the interrupted task", starts)
			}
		})
	}
}
