package sched_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// maxEndedJobBytes is the most memory that an ended job may take: its id and its state.
const maxEndedJobBytes = 300

// endJobs runs n jobs of the given number of tasks to their end, with their states stored.
func (b *harness) endJobs(n, tasks int) {
	seq := map[string]int64{}
	for i := range n {
		b.core.AddJob(b.now, &sched.Job{
			ID: fmt.Sprintf("%016x", i), Queue: "q", Service: "s", Spec: string(make([]byte, 300)), MaxAttempts: 2, AcceptedAt: b.now,
			Steps: []sched.Step{{Count: tasks, Size: wire.Size{CPU: 100, Mem: 100}, Estimate: time.Second}},
		})
		reports := map[string]sched.Report{}
		for _, o := range b.planOrders(sched.VerbStart) {
			w := o.Incarnation.ID
			seq[w]++
			rep := reports[w]
			rep.Finished = append(rep.Finished, finishedRun(seq[w], o, sched.EndDone))
			reports[w] = rep
		}
		for w, rep := range reports {
			b.poll(w, rep)
		}
		b.storeChanges()
		b.core.TakeEvents()
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// endedJobBytes returns the memory that each of n ended jobs of the given number of tasks takes.
func (b *harness) endedJobBytes(n, tasks int) int {
	before := heapBytes()
	b.endJobs(n, tasks)
	after := heapBytes()
	runtime.KeepAlive(b)
	return int(int64(after)-int64(before)) / n
}

// Guards against a holder that grows until its memory limit ends it because it remembers ended jobs with their tasks.
func TestEndedJobsTakeLittleMemory(t *testing.T) {
	const jobs = 2000
	for _, tasks := range []int{4, 13} {
		if got := newHarness(t, 1, 2).openWorkers().endedJobBytes(jobs, tasks); got > maxEndedJobBytes {
			t.Errorf("an ended job of %d tasks takes %d bytes, want at most %d", tasks, got, maxEndedJobBytes)
		}
	}
}

// Guards against an ended job that is no longer known once only its state is kept: it would be run again on a repeated
// submission, or its late runs would go on.
func TestEndedJobStaysKnown(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	job := oneTaskJob("j", nil)
	b.core.AddJob(b.now, job)
	o := b.planOrders(sched.VerbStart)[0]
	b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, o, sched.EndDone)}})
	b.storeChanges()
	b.checkState("j", sched.StateCompleted)

	b.core.AddJob(b.now, job)
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("a repeated submission started %v", got)
	}
	if !b.core.HasJob("j") || !b.core.CancelJob(b.now, "j") {
		t.Error("the job is not known")
	}
	if records := b.storeChanges(); len(records) != 0 {
		t.Errorf("a cancel after the end stored %d records, want none", len(records))
	}
	b.checkState("j", sched.StateCompleted)
	if n := b.core.PendingJobs("q"); n != 0 {
		t.Errorf("%d pending jobs, want none", n)
	}

	late := o
	late.Run += 5
	b.poll("w0", sched.Report{Running: []sched.RunStatus{runStatus(late)}})
	b.advance(time.Second)
	if got := b.planOrders(sched.VerbStop); len(got) != 1 || got[0].Run != late.Run {
		t.Errorf("stops %v, want one of the late run", got)
	}
	b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRun(2, late, sched.EndStopped)}})
	b.storeChanges()
	if req, _ := b.core.NextPoll(b.now, "w0"); req.AckedSeq != 2 {
		t.Errorf("ends up to %d are acknowledged, want 2", req.AckedSeq)
	}
	b.checkState("j", sched.StateCompleted)

	if ids := b.core.JobIDs(); len(ids) != 1 || ids[0] != "j" {
		t.Errorf("known jobs %v, want j", ids)
	}
	if got := b.core.ForgetJobs(b.now, time.Hour); len(got) != 0 {
		t.Errorf("forgot %v before the retention is over", got)
	}
	b.advance(time.Hour)
	if got := b.core.ForgetJobs(b.now, time.Hour); len(got) != 1 || b.core.HasJob("j") {
		t.Errorf("forgot %v after the retention, want j", got)
	}
}

// Guards against runs of a cancelled job that go on, and against a job that keeps its memory, when the final state is
// stored before the runs have ended.
func TestEndedJobWithRunsLeft(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) { j.OccurrenceCount, j.Interval, j.FirstDue = 3, time.Hour, epoch() }))
	o := b.planOrders(sched.VerbStart)[0]
	b.poll("w0", sched.Report{Running: []sched.RunStatus{runStatus(o)}})
	b.core.CancelJob(b.now, "j")
	b.storeChanges()
	b.checkState("j", sched.StateCancelled)
	b.advance(time.Second)
	if got := b.planOrders(sched.VerbStop); len(got) != 1 {
		t.Fatalf("stops %v, want one", got)
	}
	b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, o, sched.EndStopped)}})
	b.storeChanges()
	b.checkState("j", sched.StateCancelled)
	if got := b.planOrders(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v after the cancellation", got)
	}
	if req, _ := b.core.NextPoll(b.now, "w0"); req.AckedSeq != 1 {
		t.Errorf("ends up to %d are acknowledged, want 1", req.AckedSeq)
	}
}

// BenchmarkEndedJob measures the memory that an ended job takes while it is remembered.
func BenchmarkEndedJob(b *testing.B) {
	for _, tasks := range []int{4, 13} {
		b.Run(fmt.Sprintf("%dtasks", tasks), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				bytes = newHarness(&testing.T{}, 1, 2).openWorkers().endedJobBytes(2000, tasks)
			}
			b.ReportMetric(float64(bytes), "B/job")
		})
	}
}
