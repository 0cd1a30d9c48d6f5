package rack

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// newBenchCore returns a core with fenced workers and no tasks.
func newBenchCore(now time.Time, workers int) *Core {
	c := New(now, Options{Rack: "r", Zone: "z", Epoch: 1, LeaseTTL: time.Minute, MaxConfigAge: time.Minute, BucketOf: func(string) string { return "b" }})
	var addrs []string
	for i := range workers {
		addrs = append(addrs, fmt.Sprintf("w%05d", i))
	}
	c.SetWorkers(addrs)
	c.Tick(now, ZoneStatus{Usable: true, ConfirmedAt: now})
	for _, a := range addrs {
		c.HandleFenceResult(now, a, CommandResult{Report: wire.Report{Epoch: 1, Size: wire.Size{CPU: 60000, Mem: 250000}}})
	}
	return c
}

// benchTasks returns n tasks of one job.
func benchTasks(n int) []jobs.Task {
	var tasks []jobs.Task
	for i := range n {
		tasks = append(tasks, jobs.Task{Place: jobs.Placement{Job: "job", Index: i, No: uint64(i + 1)},
			Spec: jobs.Spec{ID: "job", N: n, Size: wire.Size{CPU: 3000, Mem: 4000}, Run: time.Minute}})
	}
	return tasks
}

// BenchmarkPlace measures how fast tasks are placed, in decisions per second on one CPU core, and the memory in
// bytes per task, with 20 tasks per worker.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{8, 64, 500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			tasks := benchTasks(20 * workers)
			var elapsed time.Duration
			var before, after runtime.MemStats
			for range b.N {
				c := newBenchCore(now, workers)
				c.HandleReply(now, "b", jobs.RackReply{OK: true})
				runtime.GC()
				runtime.ReadMemStats(&before)
				start := time.Now()
				c.HandleReply(now, "b", jobs.RackReply{OK: true, Run: tasks})
				actions := c.Tick(now, ZoneStatus{Usable: true, ConfirmedAt: now})
				elapsed += time.Since(start)
				if len(actions) < len(tasks) {
					b.Fatalf("%d of %d tasks were started", len(actions), len(tasks))
				}
				actions = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(b.N*len(tasks))/elapsed.Seconds(), "decisions/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(tasks)), "B/task")
		})
	}
}

// BenchmarkTick measures a tick and a report without anything to decide, with 20 running tasks per worker.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{8, 64, 500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			c := newBenchCore(now, workers)
			c.HandleReply(now, "b", jobs.RackReply{OK: true})
			c.HandleReply(now, "b", jobs.RackReply{OK: true, Run: benchTasks(20 * workers)})
			for _, a := range c.Tick(now, ZoneStatus{Usable: true, ConfirmedAt: now}) {
				if s, ok := a.(Start); ok {
					c.HandleStartResult(now, s.Placement, CommandResult{Report: wire.Report{Size: wire.Size{CPU: 60000, Mem: 250000}}})
				}
			}
			for b.Loop() {
				c.Tick(now, ZoneStatus{Usable: true, ConfirmedAt: now})
				c.BuildReport("b", true)
			}
		})
	}
}
