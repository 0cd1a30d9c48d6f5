package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// A filling task whose image would disturb the serving tasks of every worker stands still for good, with processors idle.
func TestBestEffortTaskDoesNotStarve(t *testing.T) {
	b, feeds := newBenchNearTarget(t, 1)
	row := feeds["w0"]
	book := bestEffortJob("f", "fill", 3000)
	book.Steps[0].Count = 2
	b.core.AddJob(b.now, book)
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Fatalf("started %v where it brings a serving task over its target", got)
	}
	for waited := time.Duration(0); waited < 3*time.Second; waited += 200 * time.Millisecond {
		b.advance(200 * time.Millisecond)
		b.poll("w0", sched.Report{Running: []sched.RunStatus{row}})
		got := b.planOrders(sched.VerbStart)
		if len(got) == 0 {
			continue
		}
		if len(got) != 1 {
			t.Fatalf("started %v, want one task that keeps the job going", got)
		}
		b.poll("w0", sched.Report{Running: []sched.RunStatus{row}, Finished: []sched.FinishedRun{finishedRow(1, got[0], sched.EndDone)}})
		if next := b.planOrders(sched.VerbStart); len(next) != 1 {
			t.Errorf("started %v as that task has ended, want the next one", next)
		}
		return
	}
	t.Error("no task of the job runs within 3s")
}

// A task that was placed where it disturbs a serving one works at full speed until the next reading, and the feed's users
// wait meanwhile.
func TestStarvedTaskIsThrottledAtOnce(t *testing.T) {
	b, feeds := newBenchNearTarget(t, 1)
	row := feeds["w0"]
	b.core.AddJob(b.now, bestEffortJob("f", "fill", 6000))
	b.planOrders(sched.VerbStart)
	b.advance(2 * time.Second)
	b.poll("w0", sched.Report{Running: []sched.RunStatus{row}})
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Fatalf("started %v, want one task", got)
	}
	b.advance(300 * time.Millisecond)
	if got := b.planOrders(sched.VerbThrottle); len(got) != 1 || got[0].CPULimit == 100 {
		t.Errorf("orders %v, want a lower pace", got)
	}
}

// Hopeless jobs that are kept going take the processors of jobs that can be on time.
func TestStarvedTaskYieldsToTimelyJob(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	book := func(id string, aim time.Duration) *sched.Job {
		j := bestEffortJob(id, "fill", 3000)
		j.Steps[0].Count, j.DeadlineBase, j.AcceptedAt = 5, aim, b.now
		return j
	}
	b.core.AddJob(b.now, book("first", time.Minute))
	var rep sched.Report
	var ends []sched.FinishedRun
	for i, o := range b.planOrders(sched.VerbStart) {
		rep.Running = append(rep.Running, runningRow(o))
		ends = append(ends, finishedRow(int64(i+1), o, sched.EndDone))
	}
	if len(ends) != 5 {
		t.Fatalf("%d tasks of the first book started, want 5", len(ends))
	}
	wait := func(d time.Duration) []sched.Order {
		b.advance(d)
		b.poll("w0", rep)
		return b.planOrders(sched.VerbStart)
	}
	late := book("late", 0)
	late.StretchFactor, late.AcceptedAt = 0, epoch().Add(-time.Hour)
	b.core.AddJob(b.now, late)
	b.core.AddJob(b.now, book("timely", time.Minute))
	for range 3 {
		for _, o := range wait(time.Second) {
			if o.Task.Job == "late" {
				t.Fatalf("started %v while a job that can be on time waits", o)
			}
		}
	}
	b.core.CancelJob(b.now, "timely")
	var hopeless []sched.Order
	for range 3 {
		hopeless = append(hopeless, wait(time.Second)...)
		for _, o := range hopeless {
			rep.Running = append(rep.Running[:5:5], runningRow(o))
		}
	}
	if len(hopeless) != 1 || hopeless[0].Task.Job != "late" {
		t.Fatalf("started %v, want one task of the late job", hopeless)
	}
	rep = sched.Report{Running: rep.Running[5:], Finished: ends}
	b.core.CancelJob(b.now, "first")
	b.core.AddJob(b.now, book("next", time.Minute))
	next := 0
	for _, o := range wait(10 * time.Millisecond) {
		if o.Task.Job == "next" {
			next++
		}
	}
	if next != 5 {
		t.Errorf("%d tasks of the next book started, want 5", next)
	}
}

// newBenchNearTarget returns a bench of n workers whose feeds are at three quarters of their target, with their rows by worker.
func newBenchNearTarget(t *testing.T, n int) (b *harness, feeds map[string]sched.RunStatus) {
	t.Helper()
	b = newHarness(t, 1, n).openWorkers()
	for i := range n {
		feed := servingJob(fmt.Sprintf("s%d", i), "serve")
		feed.Steps[0].Count, feed.Steps[0].RequiredLabel = 1, fmt.Sprintf("w%d", i)
		b.core.AddJob(b.now, feed)
	}
	feeds = map[string]sched.RunStatus{}
	for _, o := range b.planOrders(sched.VerbStart) {
		row := runningRow(o)
		row.Progress, row.TailLatency = 100, 18*time.Millisecond
		feeds[o.Incarnation.ID] = row
	}
	for range 10 {
		b.advance(600 * time.Millisecond)
		for id, row := range feeds {
			b.poll(id, sched.Report{Running: []sched.RunStatus{row}})
		}
	}
	return b, feeds
}

// The next step of a job that was at work until now is taken for starved, as if the job had waited since it was handed in.
func TestNextStepIsNotStarved(t *testing.T) {
	b, feeds := newBenchNearTarget(t, 1)
	book := bestEffortJob("f", "fill", 3000)
	book.Steps = append([]sched.Step{{Count: 1, Size: wire.Size{CPU: 100, Mem: 100}, Estimate: time.Second}}, book.Steps...)
	book.Steps[1].DependsOn = []int{0}
	b.core.AddJob(b.now, book)
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 {
		t.Fatalf("started %v, want the first step", got)
	}
	for range 5 {
		b.advance(600 * time.Millisecond)
		b.poll("w0", sched.Report{Running: []sched.RunStatus{feeds["w0"], runningRow(got[0])}})
		b.planOrders(sched.VerbStart)
	}
	b.poll("w0", sched.Report{Running: []sched.RunStatus{feeds["w0"]}, Finished: []sched.FinishedRun{finishedRow(1, got[0], sched.EndDone)}})
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v where they bring a serving task over its target, of a job that was at work until now", got)
	}
}

// A starved job's last task is stopped again and again for a worker on which it disturbs as much.
func TestStarvedTaskIsNotMovedToEqualInterference(t *testing.T) {
	b, feeds := newBenchNearTarget(t, 2)
	book := bestEffortJob("f", "fill", 6000)
	book.Steps[0].Count, book.Steps[0].Checkpointed = 1, true
	b.core.AddJob(b.now, book)
	b.planOrders(sched.VerbStart)
	b.advance(2 * time.Second)
	for id, row := range feeds {
		b.poll(id, sched.Report{Running: []sched.RunStatus{row}})
	}
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 {
		t.Fatalf("started %v, want one task", got)
	}
	at := got[0].Incarnation.ID
	better := feeds[otherWorker(got[0])]
	better.TailLatency = 17 * time.Millisecond
	feeds[otherWorker(got[0])] = better
	for range 20 {
		b.advance(200 * time.Millisecond)
		for id, row := range feeds {
			rep := sched.Report{Running: []sched.RunStatus{row}}
			if id == at {
				rep.Running = append(rep.Running, runningRow(got[0]))
			}
			b.poll(id, rep)
		}
		if stops := b.planOrders(sched.VerbStop); len(stops) != 0 {
			t.Fatalf("stopped %v", stops)
		}
	}
}

// Starved tasks that stand still hold the memory of a worker, and a task that lasts finds none for as long.
func TestStarvedTasksArePreempted(t *testing.T) {
	b, feeds := newBenchNearTarget(t, 1)
	rep := sched.Report{Running: []sched.RunStatus{feeds["w0"]}}
	for i := range 30 {
		book := bestEffortJob(fmt.Sprintf("f%d", i), "fill", 6000)
		book.Steps[0].Count = 1
		b.core.AddJob(b.now, book)
	}
	b.planOrders(sched.VerbStart)
	b.advance(2 * time.Second)
	b.poll("w0", rep)
	starved := b.planOrders(sched.VerbStart)
	if len(starved) == 0 {
		t.Fatal("nothing started")
	}
	for _, o := range starved {
		rep.Running = append(rep.Running, runningRow(o))
	}
	b.advance(400 * time.Millisecond)
	b.poll("w0", rep)
	b.core.AddJob(b.now, oneTaskJob("lasting", func(j *sched.Job) { j.Steps[0].LongRunning, j.Steps[0].Size.Mem = true, 6000 }))
	b.planOrders(sched.VerbStart)
	stops := b.planOrders(sched.VerbStop)
	if len(stops) != 2 {
		t.Fatalf("stopped %v, want the two tasks of 3200 MiB each that make room for one of 6000", stops)
	}
	b.advance(50 * time.Millisecond)
	if more := b.planOrders(sched.VerbStop); len(more) != 0 {
		t.Errorf("stopped %v besides", more)
	}
	for i, o := range stops {
		rep.Finished = append(rep.Finished, finishedRow(int64(i+1), o, sched.EndStopped))
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
	if len(started) != 1 || started[0].Task.Job != "lasting" {
		t.Errorf("started %v, want the task that lasts", started)
	}
}

// A job that can be on time for long and finds no place for all of its tasks keeps all late jobs from having anything running.
func TestTimelyJobDoesNotStarveOthers(t *testing.T) {
	b, feeds := newBenchNearTarget(t, 1)
	rep := sched.Report{Running: []sched.RunStatus{feeds["w0"]}}
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
			rep.Running = append(rep.Running, runningRow(o))
		}
	}
	t.Error("nothing of the late job runs within 10s")
}
