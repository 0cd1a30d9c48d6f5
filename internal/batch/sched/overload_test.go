package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// timedRuns are runs that end with success by themselves, as their workers report.
type timedRuns struct {
	b    *harness
	runs map[string][]timedRun // by worker
	seq  map[string]int64
}

type timedRun struct {
	endsAt time.Time
	order  sched.Order
}

func newTimedRuns(b *harness) *timedRuns {
	return &timedRuns{b: b, runs: map[string][]timedRun{}, seq: map[string]int64{}}
}

// start has the run of a start go on for some time.
func (r *timedRuns) start(o sched.Order, lasts time.Duration) {
	r.runs[o.Incarnation.ID] = append(r.runs[o.Incarnation.ID], timedRun{r.b.now.Add(lasts), o})
}

// poll has each worker report on which runs have ended, and others as well while all says so.
func (r *timedRuns) poll(all func() bool) {
	for id, runs := range r.runs {
		var rep sched.Report
		var rest []timedRun
		for _, e := range runs {
			if e.endsAt.After(r.b.now) {
				rest = append(rest, e)
				rep.Running = append(rep.Running, runningRow(e.order))
				continue
			}
			r.seq[id]++
			rep.Finished = append(rep.Finished, finishedRow(r.seq[id], e.order, sched.EndDone))
		}
		r.runs[id] = rest
		if len(rep.Finished) > 0 || all() {
			r.b.poll(id, rep)
		}
	}
}

// Under more load than the workers carry, a job takes places that another needs to end in time, and each begins so late
// that nearly none is on time. What the workers carry has to be served on time, whatever comes beyond it.
func TestOverload(t *testing.T) {
	const (
		workers  = 4
		tasks    = 8 // of each of two steps, one core and one second each
		jobs     = 240
		capacity = workers * 16.0 / (2 * tasks) // jobs a second
		step     = 10 * time.Millisecond
	)
	for _, load := range []float64{0.8, 1.3, 1.7} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			b := newHarness(t, 1, workers).openWorkers()
			runs := newTimedRuns(b)
			came := map[string]time.Time{}
			onTime := 0
			every := time.Duration(float64(time.Second) / (load * capacity))
			for n := 0; n < jobs || b.now.Sub(epoch()) < time.Duration(jobs)*every+10*time.Second; {
				for n < jobs && b.now.Sub(epoch()) >= time.Duration(n)*every {
					j := oneTaskJob(fmt.Sprintf("j%d", n), func(j *sched.Job) {
						s := sched.Step{Count: tasks, Size: wire.Size{CPU: 1000, Mem: 100}, Estimate: time.Second}
						j.Steps = []sched.Step{s, s}
						j.Steps[1].DependsOn = []int{0}
						j.AcceptedAt, j.DeadlineBase, j.StretchFactor = b.now, 500*time.Millisecond, 1.5
					})
					came[j.ID] = b.now
					b.core.AddJob(b.now, j)
					n++
				}
				for _, o := range b.planOrders(sched.VerbStart) {
					runs.start(o, time.Second)
				}
				runs.poll(func() bool { return b.now.Sub(epoch())%time.Second < step })
				b.storeChanges()
				for id, at := range came {
					if s, _ := b.core.JobState(id); s == sched.StateCompleted {
						if b.now.Sub(at) <= 3500*time.Millisecond {
							onTime++
						}
						delete(came, id)
					}
				}
				b.advance(step)
			}
			// Nine tenths of what the workers carry, as some of it goes to jobs that end late.
			want := int(0.9 * jobs * min(1, 1/load))
			if onTime < want {
				t.Errorf("%d of %d jobs on time, want %d", onTime, jobs, want)
			}
		})
	}
}
