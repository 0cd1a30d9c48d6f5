package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A worker fails all that it runs at once and is sound again seconds later. It is left out for so long that a lasting task for
// which only this worker has room stands still.
func TestSimultaneousFailuresTripOnce(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	const jobs = 12
	for i := range jobs {
		b.core.AddJob(b.now, oneTaskJob(fmt.Sprintf("j%d", i), nil))
	}
	var ends []sched.FinishedRun
	for i, o := range b.planOrders(sched.VerbStart) {
		ends = append(ends, finishedRow(int64(i+1), o, sched.EndFailed))
	}
	if len(ends) != jobs {
		t.Fatalf("%d starts, want %d", len(ends), jobs)
	}
	b.poll("w0", sched.Report{Finished: ends})
	feed := oneTaskJob("feed", func(j *sched.Job) { j.Steps[0].LongRunning = true })
	b.core.AddJob(b.now, feed)
	for waited := time.Duration(0); waited <= 4*time.Second; waited += 500 * time.Millisecond {
		b.poll("w0", sched.Report{Finished: ends})
		for _, o := range b.planOrders(sched.VerbStart) {
			if o.Task.Job == "feed" {
				return
			}
		}
		b.advance(500 * time.Millisecond)
	}
	t.Error("the lasting task doesn't run within 4s")
}
