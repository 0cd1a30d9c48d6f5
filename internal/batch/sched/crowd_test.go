package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// endingRuns are runs that end with success by themselves, as their workers report.
type endingRuns struct {
	b    *bench
	runs map[string][]endingRun // by worker
	seq  map[string]int64
}

type endingRun struct {
	at    time.Time
	order sched.Order
}

func newEndingRuns(b *bench) *endingRuns {
	return &endingRuns{b: b, runs: map[string][]endingRun{}, seq: map[string]int64{}}
}

// start has the run of a start go on for some time.
func (r *endingRuns) start(o sched.Order, lasts time.Duration) {
	r.runs[o.Life.ID] = append(r.runs[o.Life.ID], endingRun{r.b.now.Add(lasts), o})
}

// poll has each worker report on which runs have ended, and others as well while all says so.
func (r *endingRuns) poll(all func() bool) {
	for id, runs := range r.runs {
		var rep sched.Report
		var rest []endingRun
		for _, e := range runs {
			if e.at.After(r.b.now) {
				rest = append(rest, e)
				rep.Running = append(rep.Running, running(e.order))
				continue
			}
			r.seq[id]++
			rep.Finished = append(rep.Finished, finished(r.seq[id], e.order, sched.EndDone))
		}
		r.runs[id] = rest
		if len(rep.Finished) > 0 || all() {
			r.b.poll(id, rep)
		}
	}
}

// Under more load than the workers carry, a job takes places that another needs to end in time, and each begins so late
// that nearly none is on time. What the workers carry has to be served on time, whatever comes beyond it.
func TestCrowd(t *testing.T) {
	const (
		workers  = 4
		tasks    = 8 // of each of two steps, one core and one second each
		jobs     = 240
		capacity = workers * 16.0 / (2 * tasks) // jobs a second
		step     = 10 * time.Millisecond
	)
	for _, load := range []float64{0.8, 1.3, 1.7} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			b := newBench(t, 1, workers).open()
			runs := newEndingRuns(b)
			came := map[string]time.Time{}
			onTime := 0
			every := time.Duration(float64(time.Second) / (load * capacity))
			for n := 0; n < jobs || b.now.Sub(start()) < time.Duration(jobs)*every+10*time.Second; {
				for n < jobs && b.now.Sub(start()) >= time.Duration(n)*every {
					j := one(fmt.Sprintf("j%d", n), func(j *sched.Job) {
						s := sched.Step{Count: tasks, Size: wire.Size{CPU: 1000, Mem: 100}, Estimate: time.Second}
						j.Steps = []sched.Step{s, s}
						j.Steps[1].After = []int{0}
						j.At, j.Aim, j.Stretch = b.now, 500*time.Millisecond, 1.5
					})
					came[j.ID] = b.now
					b.core.Admit(b.now, j)
					n++
				}
				for _, o := range b.plan(sched.VerbStart) {
					runs.start(o, time.Second)
				}
				runs.poll(func() bool { return b.now.Sub(start())%time.Second < step })
				b.store()
				for id, at := range came {
					if s, _ := b.core.State(id); s == sched.StateCompleted {
						if b.now.Sub(at) <= 3500*time.Millisecond {
							onTime++
						}
						delete(came, id)
					}
				}
				b.after(step)
			}
			// Nine tenths of what the workers carry, as some of it goes to jobs that end late.
			want := int(0.9 * jobs * min(1, 1/load))
			if onTime < want {
				t.Errorf("%d of %d jobs on time, want %d", onTime, jobs, want)
			}
		})
	}
}
