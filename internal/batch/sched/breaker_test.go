package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A worker fails all of its runs at once and is healthy again seconds later. If each failure extended the exclusion of
// the worker, a long-running task that fits on no other worker would be down for too long.
func TestSimultaneousFailuresTripOnce(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	const jobs = 12
	for i := range jobs {
		b.core.AddJob(b.now, oneTaskJob(fmt.Sprintf("j%d", i), nil))
	}
	var ends []sched.FinishedRun
	for i, o := range b.planOrders(sched.VerbStart) {
		ends = append(ends, finishedRun(int64(i+1), o, sched.EndFailed))
	}
	if len(ends) != jobs {
		t.Fatalf("%d starts, want %d", len(ends), jobs)
	}
	b.poll("w0", sched.Report{Finished: ends})
	job := oneTaskJob("feed", func(j *sched.Job) { j.Steps[0].LongRunning = true })
	b.core.AddJob(b.now, job)
	for waited := time.Duration(0); waited <= 4*time.Second; waited += 500 * time.Millisecond {
		b.poll("w0", sched.Report{Finished: ends})
		for _, o := range b.planOrders(sched.VerbStart) {
			if o.Task.Job == "feed" {
				return
			}
		}
		b.advance(500 * time.Millisecond)
	}
	t.Error("the long-running task is not started within 4 s")
}
