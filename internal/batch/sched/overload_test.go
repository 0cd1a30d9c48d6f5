package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// timedRuns simulates workers whose runs succeed after a fixed time.
type timedRuns struct {
	b    *harness
	runs map[string][]timedRun // active runs by worker id
	seq  map[string]int64      // sequence number of the last end by worker id
}

// timedRun is a run that succeeds at a given time.
type timedRun struct {
	endsAt time.Time
	order  sched.Order // start order of the run
}

func newTimedRuns(b *harness) *timedRuns {
	return &timedRuns{b: b, runs: map[string][]timedRun{}, seq: map[string]int64{}}
}

// start adds the run of a start order, which succeeds after the given duration.
func (r *timedRuns) start(o sched.Order, duration time.Duration) {
	r.runs[o.Incarnation.ID] = append(r.runs[o.Incarnation.ID], timedRun{r.b.now.Add(duration), o})
}

// stop ends the run of a stop order after the given duration.
func (r *timedRuns) stop(o sched.Order, after time.Duration) {
	runs := r.runs[o.Incarnation.ID]
	for i := range runs {
		if runs[i].order.Task == o.Task && runs[i].order.Run == o.Run {
			runs[i].endsAt = r.b.now.Add(after)
		}
	}
}

// poll delivers the reports of the workers on which a run has ended. If all returns true, it delivers the reports of all
// workers that have had a run.
func (r *timedRuns) poll(all func() bool) {
	for id, runs := range r.runs {
		var rep sched.Report
		var active []timedRun
		for _, e := range runs {
			if e.endsAt.After(r.b.now) {
				active = append(active, e)
				rep.Running = append(rep.Running, runStatus(e.order))
				continue
			}
			r.seq[id]++
			rep.Finished = append(rep.Finished, finishedRun(r.seq[id], e.order, sched.EndDone))
		}
		r.runs[id] = active
		if len(rep.Finished) > 0 || all() {
			r.b.poll(id, rep)
		}
	}
}

// Guards against a collapse under overload: jobs take capacity that other jobs need to finish on time, and all of them
// start so late that almost none is on time. Jobs up to the capacity of the workers must finish on time at any load.
func TestOverload(t *testing.T) {
	const (
		workers  = 4
		tasks    = 8 // in each of two steps; each task takes one core for one second
		jobs     = 240
		capacity = workers * 16.0 / (2 * tasks) // jobs per second
		tick     = 10 * time.Millisecond
	)
	for _, load := range []float64{0.8, 1.3, 1.7} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			b := newHarness(t, 1, workers).openWorkers()
			runs := newTimedRuns(b)
			submittedAt := map[string]time.Time{}
			onTime := 0
			interval := time.Duration(float64(time.Second) / (load * capacity))
			for n := 0; n < jobs || b.now.Sub(epoch()) < time.Duration(jobs)*interval+10*time.Second; {
				for n < jobs && b.now.Sub(epoch()) >= time.Duration(n)*interval {
					j := oneTaskJob(fmt.Sprintf("j%d", n), func(j *sched.Job) {
						s := sched.Step{Count: tasks, Size: wire.Size{CPU: 1000, Mem: 100}, Estimate: time.Second}
						j.Steps = []sched.Step{s, s}
						j.Steps[1].DependsOn = []int{0}
						j.AcceptedAt, j.DeadlineBase, j.StretchFactor = b.now, 500*time.Millisecond, 1.5
					})
					submittedAt[j.ID] = b.now
					b.core.AddJob(b.now, j)
					n++
				}
				for _, o := range b.planOrders(sched.VerbStart) {
					runs.start(o, time.Second)
				}
				runs.poll(func() bool { return b.now.Sub(epoch())%time.Second < tick })
				b.storeChanges()
				for id, at := range submittedAt {
					if s, _ := b.core.JobState(id); s == sched.StateCompleted {
						if b.now.Sub(at) <= 3500*time.Millisecond {
							onTime++
						}
						delete(submittedAt, id)
					}
				}
				b.advance(tick)
			}
			// The limit is nine tenths of the capacity, as some of it goes to jobs that finish late.
			want := int(0.9 * jobs * min(1, 1/load))
			if onTime < want {
				t.Errorf("%d of %d jobs on time, want at least %d", onTime, jobs, want)
			}
		})
	}
}
