package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// planBench drives a core whose workers are full of latency-critical and best-effort tasks. Workers report, tasks
// end, and as many new jobs are submitted as have ended.
type planBench struct {
	core          *sched.Core
	now           time.Time
	ids           []string                 // of the workers
	reports       map[string]*sched.Report // next report, by worker
	lastSeq       map[string]int64         // number of the newest end, by worker
	nextWorker    int                      // index in ids of the worker that reports next
	submitted     int                      // best-effort jobs submitted
	starts        int                      // starts planned
	starvedStarts int                      // of these, starts of starved jobs
	unreplaced    int                      // tasks that ended and were not replaced by a new job yet
	lateJobs      bool                     // best-effort jobs are submitted when they are already too late to be useful
}

// Load of the benchmark.
const (
	latencyCriticalPerWorker = 0.8 // latency-critical jobs for each worker
	bestEffortPerWorker      = 6   // best-effort jobs for each worker at the start; most of them wait
	plansPerReport           = 48  // plans between two reports of a worker
)

// Tail latencies of latency-critical tasks under low load, and under so much that few best-effort tasks can be
// placed beside them.
const (
	lowLoadTail  = 12 * time.Millisecond
	highLoadTail = 18 * time.Millisecond
)

// newPlanBench returns a planBench after 300 steps of warm-up.
func newPlanBench(workers int, late bool) *planBench {
	p := &planBench{
		lateJobs: late,
		core:     sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: time.Hour, Term: 1}, epoch()), now: epoch(),
		reports: map[string]*sched.Report{}, lastSeq: map[string]int64{},
	}
	p.core.UpdateDirectory(epoch(), members(workers))
	p.core.MarkTracked(p.core.TrackedWorkers())
	for _, m := range p.core.TrackedWorkers() {
		p.ids = append(p.ids, m.ID)
		p.reports[m.ID] = &sched.Report{StartedAt: 1}
		p.hearWorker(m.ID)
	}
	for i := range int(latencyCriticalPerWorker * float64(workers)) {
		p.core.AddJob(p.now, latencyCriticalJob(fmt.Sprintf("s%d", i), fmt.Sprintf("s%d", i%5)))
	}
	p.planOrders()
	for range min(bestEffortPerWorker*workers, 2000) {
		p.submitJob()
	}
	for range 300 {
		p.step()
	}
	return p
}

// submitJob submits a best-effort job.
func (p *planBench) submitJob() {
	j := bestEffortJob(fmt.Sprintf("f%d", p.submitted), fmt.Sprintf("f%d", p.submitted%9), 1000+50*(p.submitted%30))
	if p.lateJobs {
		j.AcceptedAt = j.AcceptedAt.Add(-time.Hour)
	}
	p.core.AddJob(p.now, j)
	p.submitted++
}

// hearWorker lets a worker report. Busy workers do so about every half second.
func (p *planBench) hearWorker(id string) {
	r := p.reports[id]
	r.Clock = p.now.Sub(epoch())
	p.core.ConfirmHolder(p.now)
	p.core.NextPoll(p.now, id)
	p.core.HandleReport(p.now.Add(-time.Millisecond), p.now, id, *r)
	p.core.NextPoll(p.now, id)
}

// endTask ends the oldest best-effort task of a worker.
func (p *planBench) endTask(id string) {
	r := p.reports[id]
	r.Finished = nil
	for i, status := range r.Running {
		if status.TailLatency > 0 {
			continue
		}
		p.lastSeq[id]++
		r.Running = append(r.Running[:i:i], r.Running[i+1:]...)
		r.Finished = []sched.FinishedRun{{Seq: p.lastSeq[id], Task: status.Task, Run: status.Run, End: sched.EndDone}}
		p.unreplaced++
		return
	}
}

// playEvents plays the reports and submissions between two plans.
func (p *planBench) playEvents() {
	p.now = p.now.Add(10 * time.Millisecond)
	for range max(1, len(p.ids)/plansPerReport) {
		id := p.ids[p.nextWorker%len(p.ids)]
		p.nextWorker++
		p.endTask(id)
		p.hearWorker(id)
	}
	for ; p.unreplaced >= 8; p.unreplaced -= 8 {
		p.submitJob()
	}
}

// planOrders plans and lets the workers carry out all orders.
func (p *planBench) planOrders() {
	for _, o := range p.core.Plan(p.now) {
		p.core.HandleOutcome(p.now, o, sched.OutcomeDone)
		if o.Verb != sched.VerbStart {
			continue
		}
		p.starts++
		if o.Starved {
			p.starvedStarts++
		}
		status := sched.RunStatus{Task: o.Task.String(), Run: o.Run, Progress: 100, CPUUsage: 1500}
		if o.Task.Job[0] == 's' {
			status.TailLatency = lowLoadTail
			if p.lateJobs {
				status.TailLatency = highLoadTail
			}
		}
		p.reports[o.Incarnation.ID].Running = append(p.reports[o.Incarnation.ID].Running, status)
	}
}

// step plays the events between two plans and one plan.
func (p *planBench) step() {
	p.playEvents()
	p.planOrders()
}

// BenchmarkPlan measures a plan with workers full of latency-critical and best-effort tasks and with jobs that wait.
// Reports, ends and new jobs between two plans are in proportion to the number of workers.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 3000, 28000} {
		b.Run(fmt.Sprintf("%dworkers", workers), func(b *testing.B) { benchmarkPlan(b, workers, false) })
	}
}

// BenchmarkPlanStarved is BenchmarkPlan with latency-critical tasks near their latency targets and best-effort jobs that
// are all late, of which hundreds are starved.
func BenchmarkPlanStarved(b *testing.B) {
	for _, workers := range []int{48, 350} {
		b.Run(fmt.Sprintf("%dworkers", workers), func(b *testing.B) { benchmarkPlan(b, workers, true) })
	}
}

func benchmarkPlan(b *testing.B, workers int, late bool) {
	p := newPlanBench(workers, late)
	p.starts, p.starvedStarts = 0, 0
	var planned time.Duration
	b.ResetTimer()
	for range b.N {
		p.playEvents()
		began := time.Now()
		p.planOrders()
		planned += time.Since(began)
	}
	b.ReportMetric(float64(planned.Microseconds())/float64(b.N), "us/plan")
	b.ReportMetric(float64(planned.Microseconds())/float64(max(p.starts, 1)), "us/start")
	b.ReportMetric(float64(p.starts)/float64(b.N), "starts/plan")
	b.ReportMetric(float64(p.starvedStarts)/float64(b.N), "starved/plan")
}

// latencyCriticalJob returns a latency-critical job of six tasks.
func latencyCriticalJob(id, image string) *sched.Job {
	return &sched.Job{ID: id, Queue: "serve", Service: "s", MaxAttempts: 2, AcceptedAt: epoch(), Steps: []sched.Step{{
		Count: 6, Size: wire.Size{CPU: 2800, Mem: 6400}, LongRunning: true, Image: image, TailTarget: 24 * time.Millisecond,
	}}}
}

// bestEffortJob returns a best-effort job of eight tasks.
func bestEffortJob(id, image string, cpu int) *sched.Job {
	return &sched.Job{ID: id, Queue: "fill", Service: "s", MaxAttempts: 2, AcceptedAt: epoch(), Priority: 2, DeadlineBase: time.Second, StretchFactor: 2,
		Steps: []sched.Step{{Count: 8, Size: wire.Size{CPU: cpu, Mem: 3200}, BestEffort: true, Image: image, Estimate: 2 * time.Second}}}
}

// BenchmarkInherit measures taking over the workers that a former holder tracked. 3,000 workers take 6 ms; sorting all
// workers again for each one took 1,470 ms.
func BenchmarkInherit(b *testing.B) {
	for _, n := range []int{350, 3000} {
		tracked := members(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				core := sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: time.Hour, Term: 1}, epoch())
				core.InheritWorkers(epoch(), tracked)
			}
		})
	}
}
