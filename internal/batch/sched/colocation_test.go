package sched_test

import (
	"math"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// reportMeasurements has a worker report the tail latency of its latency-critical task and the CPU use (millicores) of its
// best-effort one.
func (b *harness) reportMeasurements(critical, bestEffort sched.Order, tail time.Duration, cpuUsage float64) {
	b.t.Helper()
	b.advance(600 * time.Millisecond)
	s, f := runStatus(critical), runStatus(bestEffort)
	s.Progress, s.TailLatency = 100, tail
	f.CPUUsage = cpuUsage
	b.poll(critical.Incarnation.ID, sched.Report{Running: []sched.RunStatus{s, f}})
}

// newColocated starts a latency-critical task and a best-effort one on the only worker.
func newColocated(t *testing.T) (b *harness, critical, bestEffort sched.Order) {
	t.Helper()
	b = newHarness(t, 1, 1).openWorkers()
	j := latencyCriticalJob("s", "serve")
	j.Steps[0].Count = 1
	b.core.AddJob(b.now, j)
	critical = b.planOrders(sched.VerbStart)[0]
	k := bestEffortJob("f", "fill", 3000)
	k.Steps[0].Count = 1
	b.core.AddJob(b.now, k)
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 {
		t.Fatalf("%d best-effort tasks placed, want 1", len(got))
	}
	return b, critical, got[0]
}

// Guards against a latency-critical task that stays over its target for many seconds. A best-effort task pushes it over its
// target right after a measurement, and a noisy one below the target in between must not restart the count: the best-effort
// task is paused within 2.7 s of that first measurement.
func TestOverTargetPausesBestEffort(t *testing.T) {
	b, critical, bestEffort := newColocated(t)
	b.reportMeasurements(critical, bestEffort, 4*time.Millisecond, 3000)
	firstMeasurement := b.now
	limit := 100
	for i, tail := range []int{80, 90, 20, 85, 90, 80, 90} {
		b.reportMeasurements(critical, bestEffort, time.Duration(tail)*time.Millisecond, 3000)
		for _, o := range b.planOrders(sched.VerbThrottle) {
			limit = o.CPULimit
		}
		if limit == 0 {
			return
		}
		if b.now.Sub(firstMeasurement) > 2700*time.Millisecond {
			t.Fatalf("CPU limit %d%% after %d measurements over the target, want 0", limit, i+1)
		}
	}
	t.Fatalf("CPU limit %d%% after all measurements, want 0", limit)
}

// A latency-critical task stays over its target although the best-effort task beside it was paused, because the worker
// carries out an earlier, unanswered throttle order afterwards. The measured CPU use shows it, and the CPU limit is sent
// again.
func TestCPULimitResent(t *testing.T) {
	b, critical, bestEffort := newColocated(t)
	b.reportMeasurements(critical, bestEffort, 4*time.Millisecond, 3000)
	for range 6 {
		b.reportMeasurements(critical, bestEffort, 90*time.Millisecond, 3000)
		b.planOrders(sched.VerbThrottle)
	}
	for range 3 {
		b.reportMeasurements(critical, bestEffort, 90*time.Millisecond, 0)
		b.planOrders(sched.VerbThrottle)
	}
	b.advance(2 * time.Second)
	b.reportMeasurements(critical, bestEffort, 90*time.Millisecond, 3000)
	got := b.planOrders(sched.VerbThrottle)
	if len(got) != 1 || got[0].CPULimit > 20 {
		t.Errorf("orders %v, want a CPU limit of at most 20%% sent again", got)
	}
}

// A latency-critical task that is over its target by its own load, with no best-effort task active, doesn't pause
// best-effort tasks for good. Once it is well below its target, their CPU limit is lifted.
func TestCPULimitRestored(t *testing.T) {
	b, critical, bestEffort := newColocated(t)
	b.reportMeasurements(critical, bestEffort, 4*time.Millisecond, 3000)
	for range 6 {
		b.reportMeasurements(critical, bestEffort, 90*time.Millisecond, 3000)
		b.planOrders(sched.VerbThrottle)
	}
	limit := 0
	for range 12 {
		b.reportMeasurements(critical, bestEffort, 6*time.Millisecond, 0)
		for _, o := range b.planOrders(sched.VerbThrottle) {
			limit = o.CPULimit
		}
	}
	if limit != 100 {
		t.Errorf("CPU limit %d%% with the tail latency far below the target, want 100%%", limit)
	}
}

// Latency-critical tasks of one image share workers. A best-effort image that interferes with one of two latency-critical
// images, both under some load, is placed beside the other.
func TestPlacedWhereLeastInterference(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	for _, j := range []*sched.Job{latencyCriticalJob("s1", "a"), latencyCriticalJob("s2", "b"), latencyCriticalJob("s3", "a"), latencyCriticalJob("s4", "b")} {
		j.Steps[0].Count = 2
		b.core.AddJob(b.now, j)
	}
	workers := map[string]string{}
	critical := map[string][]sched.Order{}
	for _, o := range b.planOrders(sched.VerbStart) {
		image := map[string]string{"s1": "a", "s2": "b", "s3": "a", "s4": "b"}[o.Task.Job]
		if w, ok := workers[image]; ok && w != o.Incarnation.ID {
			t.Fatalf("image %s on two workers", image)
		}
		workers[image] = o.Incarnation.ID
		critical[image] = append(critical[image], o)
	}
	if workers["a"] == workers["b"] {
		t.Fatal("both images on one worker")
	}
	// Both images are measured beside the best-effort one: it interferes with a, and not with b.
	last := map[string]sched.Report{}
	for image, tail := range map[string]time.Duration{"a": 60 * time.Millisecond, "b": 6 * time.Millisecond} {
		rows := func(tail time.Duration) []sched.RunStatus {
			var all []sched.RunStatus
			for _, s := range critical[image] {
				status := runStatus(s)
				status.Progress, status.TailLatency = 100, tail
				all = append(all, status)
			}
			return all
		}
		b.advance(600 * time.Millisecond)
		b.poll(workers[image], sched.Report{Running: rows(5 * time.Millisecond)})
		probe := bestEffortJob("p"+image, "x", 3000)
		probe.Steps[0].Count = 1
		probe.Steps[0].RequiredLabel = workers[image]
		b.core.AddJob(b.now, probe)
		o := b.planOrders(sched.VerbStart)[0]
		for range 40 {
			b.advance(600 * time.Millisecond)
			status := runStatus(o)
			status.CPUUsage = 3000
			b.poll(workers[image], sched.Report{Running: append(rows(tail), status)})
		}
		done := sched.Report{Running: rows(16 * time.Millisecond), Finished: []sched.FinishedRun{finishedRun(1, o, sched.EndDone)}}
		for range 10 {
			b.advance(600 * time.Millisecond)
			b.poll(workers[image], done)
		}
		last[workers[image]] = done
	}
	for id, rep := range last {
		b.poll(id, rep)
	}
	next := bestEffortJob("n", "x", 1500)
	next.Steps[0].Count = 1
	b.core.AddJob(b.now, next)
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 || got[0].Incarnation.ID != workers["b"] {
		t.Errorf("placed %v, want on %s", got, workers["b"])
	}
}

// The load of a latency-critical task has a period of 10 s. The best-effort task beside it has to be throttled as the load
// rises, not once the target is missed: after the first periods, hardly any measurement is over the target, and the
// best-effort task's CPU limit is high on average.
func TestThrottledAheadOfPeak(t *testing.T) {
	b, critical, bestEffort := newColocated(t)
	const (
		period = 10.0 // seconds
		factor = 1.2
		size   = 3000.0 / 16000
	)
	limit, over, limits, n := 100, 0, 0, 0
	for b.now.Sub(epoch()) < 70*time.Second {
		at := b.now.Sub(epoch()).Seconds() + 0.6
		pressure := 0.48 + 0.24*math.Sin(2*math.Pi*(at-0.3)/period) + factor*size*float64(limit)/100
		tail := time.Duration(float64(4*time.Millisecond) / (1 - min(pressure, 0.99)))
		b.reportMeasurements(critical, bestEffort, tail, 3000*float64(limit)/100)
		for _, o := range b.planOrders(sched.VerbThrottle) {
			limit = o.CPULimit
		}
		if b.now.Sub(epoch()) < 30*time.Second {
			continue
		}
		n++
		limits += limit
		if tail > 24*time.Millisecond {
			over++
		}
	}
	if over*20 > n {
		t.Errorf("over the target in %d of %d measurements, want at most one in 20", over, n)
	}
	if limits < 60*n {
		t.Errorf("average CPU limit of the best-effort task is %d%%, want at least 60%%", limits/n)
	}
}

// Guards against a best-effort task that is paused during a load peak and stays on its worker, although another worker has
// the resources by then: its job is as late as this one task. It has to be resumed there from its checkpoint.
func TestThrottledTaskMoves(t *testing.T) {
	for _, tt := range []struct {
		name         string
		checkpointed bool // the task saves checkpoints
		want         int  // stops within a second and a half
	}{
		{"with checkpoints", true, 1},
		{"would lose its progress", false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			// The only task on the second worker leaves no memory free there.
			b.core.AddJob(b.now, oneTaskJob("big", func(j *sched.Job) { j.Steps[0].Size, j.Steps[0].RequiredLabel = wire.Size{CPU: 1000, Mem: 64000}, "w1" }))
			big := b.planOrders(sched.VerbStart)[0]
			criticalJob := latencyCriticalJob("s", "serve")
			criticalJob.Steps[0].Count = 1
			b.core.AddJob(b.now, criticalJob)
			critical := b.planOrders(sched.VerbStart)[0]
			job := bestEffortJob("f", "fill", 3000)
			job.Steps[0].Count, job.Steps[0].Checkpointed = 1, tt.checkpointed
			b.core.AddJob(b.now, job)
			bestEffort := b.planOrders(sched.VerbStart)[0]
			for range 8 {
				b.reportMeasurements(critical, bestEffort, 4*time.Millisecond, 3000)
			}
			for range 5 {
				b.reportMeasurements(critical, bestEffort, 90*time.Millisecond, 3000)
				if got := b.planOrders(sched.VerbStop); len(got) > 0 {
					t.Fatalf("stopped without another feasible worker: %v", got)
				}
			}
			b.poll(big.Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRun(1, big, sched.EndDone)}})
			var stops []sched.Order
			for range 2 {
				b.reportMeasurements(critical, bestEffort, 90*time.Millisecond, 0)
				stops = append(stops, b.planOrders(sched.VerbStop)...)
			}
			if len(stops) != tt.want {
				t.Fatalf("stops: %v, want %d", stops, tt.want)
			}
			if tt.want == 0 {
				return
			}
			end := finishedRun(1, bestEffort, sched.EndStopped)
			end.Checkpoint = "half"
			s := runStatus(critical)
			s.Progress, s.TailLatency = 100, 20*time.Millisecond
			b.poll(critical.Incarnation.ID, sched.Report{Running: []sched.RunStatus{s}, Finished: []sched.FinishedRun{end}})
			restarts := b.planOrders(sched.VerbStart)
			if len(restarts) != 1 || restarts[0].Incarnation.ID != big.Incarnation.ID || restarts[0].Checkpoint != "half" {
				t.Errorf("restarts: %v, want one on the other worker from the checkpoint", restarts)
			}
		})
	}
}
