package drive_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A burst leaves a holder behind its work. It stays behind for good though the load that follows fits its processor: starts
// are given up unanswered, and the same tasks are stopped and begun anew again and again.
func TestBacklogDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			workers = 150
			burst   = 1500 // tasks
			every   = 100 * time.Millisecond
			steady  = 8 // tasks of a job each time
			jobs    = 200
			drained = 100 // jobs after which the burst has to be worked off
			limit   = 3 * time.Second
		)
		f := newFleet(t, 0, workers, source(1), seconds(time.Second))
		f.add(1, strongTurn, strongCarries)
		time.Sleep(4 * time.Second)
		if r := f.submit("burst", step(burst)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		late := make(chan string, jobs)
		for i := range jobs {
			id := fmt.Sprintf("j%d", i)
			go func() {
				f.submit(id, step(steady))
				for began := time.Now(); f.state(id).State != sched.StateCompleted; time.Sleep(every) {
					if time.Since(began) > limit {
						late <- id
						return
					}
				}
				late <- ""
			}()
			time.Sleep(every)
			if i == drained {
				for range i {
					<-late // of the burst's time: whatever it was
				}
			}
		}
		n := 0
		for range jobs - drained {
			if id := <-late; id != "" {
				n++
			}
		}
		if most := (jobs - drained) / 20; n > most {
			t.Errorf("%d of %d jobs take over %s long after the burst, want at most %d", n, jobs-drained, limit, most)
		}
		f.stop()
		for _, fault := range f.crew.Faults() {
			t.Error(fault)
		}
	})
}
