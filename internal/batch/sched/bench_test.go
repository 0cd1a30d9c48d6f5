package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// planner plays a holder's work on workers full of serving and filling tasks: reports come in, tasks
// end, and as many new jobs come as have ended.
type planner struct {
	core    *sched.Core
	now     time.Time
	ids     []string
	reports map[string]*sched.Report
	seq     map[string]int64
	turn    int // of the worker that is heard next
	jobs    int
	starts  int
	starved int  // of these, of starved jobs
	ended   int  // tasks that ended and were not replaced by a new job yet
	late    bool // filling jobs come too late to be worth anything
}

// Load of the benchmark, for each worker.
const (
	lastingEach = 0.8 // serving jobs
	waitingEach = 6   // filling jobs at the start, of which most wait
	heardEach   = 48  // one worker in so many is heard between two plans
)

// Tails of serving tasks without much load, and with so much that few filling tasks find a place beside them.
const (
	calmTail = 12 * time.Millisecond
	busyTail = 18 * time.Millisecond
)

func newPlanner(workers int, late bool) *planner {
	p := &planner{
		late: late,
		core: sched.New(sched.Options{Lease: lease, Sure: time.Hour, Term: 1}, start()), now: start(),
		reports: map[string]*sched.Report{}, seq: map[string]int64{},
	}
	p.core.Roster(start(), members(workers))
	p.core.TrackedStored(p.core.Tracked())
	for _, m := range p.core.Tracked() {
		p.ids = append(p.ids, m.ID)
		p.reports[m.ID] = &sched.Report{Born: 1}
		p.hear(m.ID)
	}
	for i := range int(lastingEach * float64(workers)) {
		p.core.Admit(p.now, serving(fmt.Sprintf("s%d", i), fmt.Sprintf("s%d", i%5)))
	}
	p.plan()
	for range min(waitingEach*workers, 2000) {
		p.submit()
	}
	for range 300 {
		p.step()
	}
	return p
}

func (p *planner) submit() {
	j := filling(fmt.Sprintf("f%d", p.jobs), fmt.Sprintf("f%d", p.jobs%9), 1000+50*(p.jobs%30))
	if p.late {
		j.At = j.At.Add(-time.Hour)
	}
	p.core.Admit(p.now, j)
	p.jobs++
}

// hear has a worker report, as on a busy day every half second or so.
func (p *planner) hear(id string) {
	r := p.reports[id]
	r.Clock = p.now.Sub(start())
	p.core.Confirm(p.now)
	p.core.Poll(p.now, id)
	p.core.Hear(p.now.Add(-time.Millisecond), p.now, id, *r)
	p.core.Poll(p.now, id)
}

// end has the oldest filling task of a worker end.
func (p *planner) end(id string) {
	r := p.reports[id]
	r.Finished = nil
	for i, row := range r.Running {
		if row.Tail > 0 {
			continue
		}
		p.seq[id]++
		r.Running = append(r.Running[:i:i], r.Running[i+1:]...)
		r.Finished = []sched.Finished{{Seq: p.seq[id], Task: row.Task, Run: row.Run, How: sched.EndDone}}
		p.ended++
		return
	}
}

// events are what a holder hears between two plans.
func (p *planner) events() {
	p.now = p.now.Add(10 * time.Millisecond)
	for range max(1, len(p.ids)/heardEach) {
		id := p.ids[p.turn%len(p.ids)]
		p.turn++
		p.end(id)
		p.hear(id)
	}
	for ; p.ended >= 8; p.ended -= 8 {
		p.submit()
	}
}

func (p *planner) plan() {
	for _, o := range p.core.Plan(p.now) {
		p.core.Answer(p.now, o, sched.OutcomeDone)
		if o.Verb != sched.VerbStart {
			continue
		}
		p.starts++
		if o.Starved {
			p.starved++
		}
		row := sched.Running{Task: o.Task.String(), Run: o.Run, Part: 100, Usage: 1500}
		if o.Task.Job[0] == 's' {
			row.Tail = calmTail
			if p.late {
				row.Tail = busyTail
			}
		}
		p.reports[o.Life.ID].Running = append(p.reports[o.Life.ID].Running, row)
	}
}

func (p *planner) step() {
	p.events()
	p.plan()
}

// BenchmarkPlan plans with workers full of serving and filling tasks and with jobs that wait, with reports,
// ends and new jobs between two plans in proportion to the workers.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{48, 350, 3000, 28000} {
		b.Run(fmt.Sprintf("%dworkers", workers), func(b *testing.B) { benchmarkPlan(b, workers, false) })
	}
}

// BenchmarkPlanStarved plans as BenchmarkPlan does with serving tasks near their targets and filling jobs that are all late, of
// which hundreds are starved.
func BenchmarkPlanStarved(b *testing.B) {
	for _, workers := range []int{48, 350} {
		b.Run(fmt.Sprintf("%dworkers", workers), func(b *testing.B) { benchmarkPlan(b, workers, true) })
	}
}

func benchmarkPlan(b *testing.B, workers int, late bool) {
	p := newPlanner(workers, late)
	p.starts, p.starved = 0, 0
	var planned time.Duration
	b.ResetTimer()
	for range b.N {
		p.events()
		began := time.Now()
		p.plan()
		planned += time.Since(began)
	}
	b.ReportMetric(float64(planned.Microseconds())/float64(b.N), "us/plan")
	b.ReportMetric(float64(planned.Microseconds())/float64(max(p.starts, 1)), "us/start")
	b.ReportMetric(float64(p.starts)/float64(b.N), "starts/plan")
	b.ReportMetric(float64(p.starved)/float64(b.N), "starved/plan")
}

func serving(id, image string) *sched.Job {
	return &sched.Job{ID: id, Queue: "serve", Service: "s", Tries: 2, At: start(), Steps: []sched.Step{{
		Count: 6, Size: wire.Size{CPU: 2800, Mem: 6400}, Lasting: true, Image: image, Target: 24 * time.Millisecond,
	}}}
}

func filling(id, image string, cpu int) *sched.Job {
	return &sched.Job{ID: id, Queue: "fill", Service: "s", Tries: 2, At: start(), Priority: 2, Aim: time.Second, Stretch: 2,
		Steps: []sched.Step{{Count: 8, Size: wire.Size{CPU: cpu, Mem: 3200}, Fills: true, Image: image, Estimate: 2 * time.Second}}}
}

// BenchmarkInherit takes over workers that a former holder may have given work to: 3,000 took 1,470 ms when each
// had all of them sorted anew, and take 6 ms.
func BenchmarkInherit(b *testing.B) {
	for _, n := range []int{350, 3000} {
		crew := members(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				core := sched.New(sched.Options{Lease: lease, Sure: time.Hour, Term: 1}, start())
				core.Inherit(start(), crew)
			}
		})
	}
}
