package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// BenchmarkPlan plans with 48 workers full of serving and filling tasks and 150 steps that
// wait, with a report between two plans as there is on a busy day.
//
// Per plan: 398 us when each try counted a worker's runs anew, 84 us with the outlook kept,
// 109 us with loads told ahead, which lasts for 200 ms.
func BenchmarkPlan(b *testing.B) {
	core := sched.New(sched.Options{Lease: lease, Sure: time.Hour, Term: 1}, start())
	core.Roster(start(), members(48))
	core.CrewStored(core.Crew())
	now := start()
	reports := map[string]*sched.Report{}
	for _, m := range core.Crew() {
		reports[m.ID] = &sched.Report{Born: 1}
	}
	hear := func(id string) {
		r := reports[id]
		r.Clock = now.Sub(start())
		core.Confirm(now)
		core.Look(now, id)
		core.Hear(now.Add(-time.Millisecond), now, id, *r)
		core.Look(now, id)
	}
	for id := range reports {
		hear(id)
	}
	take := func(orders []sched.Order) {
		for _, o := range orders {
			if o.Verb != sched.VerbStart {
				core.Answer(now, o, sched.OutcomeDone)
				continue
			}
			core.Answer(now, o, sched.OutcomeDone)
			row := sched.Running{Task: o.Task.String(), Run: o.Run, Part: 100, Usage: 1500, Tail: 12 * time.Millisecond}
			reports[o.Life.ID].Running = append(reports[o.Life.ID].Running, row)
		}
	}
	for i := range 40 {
		core.Admit(now, serving(fmt.Sprintf("s%d", i), fmt.Sprintf("s%d", i%5)))
	}
	take(core.Plan(now))
	for i := range 300 {
		core.Admit(now, filling(fmt.Sprintf("f%d", i), fmt.Sprintf("f%d", i%9), 1000+50*(i%30)))
	}
	for range 10 {
		now = now.Add(10 * time.Millisecond)
		take(core.Plan(now))
	}
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		hear(fmt.Sprintf("w%d", now.UnixMilli()/5%48))
		take(core.Plan(now))
	}
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
