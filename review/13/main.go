// Command 13 is case 13: runners crash and start again as another kind.
package main

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/review/world3"
)

const (
	runners   = 24
	rounds    = 3
	crashed   = 3               // an eighth of the runners
	downFor   = 2 * time.Second // of 4.5 s
	pause     = 8 * time.Second
	jobPeriod = 250 * time.Millisecond
)

func main() {
	s := world3.NewSite(3, runners, 8000, 32000, world3.SmallBounds)
	for i, r := range s.Fleet.Runners {
		if i%2 == 0 {
			r.Kind = "b"
		}
	}
	s.Fleet.OnStart = func(r *world3.Runner, task string, number int64, _ *world3.Job, step world3.Step) {
		if step.Requirements != "" && !slices.Contains([]string{r.Kind, r.Rack}, step.Requirements) {
			s.Rec.Broken("ROUTE: %s run %d, which requires %q, is started on %s of kind %q", task, number, step.Requirements, r.ID, r.Kind)
		}
	}
	s.Start()
	stop := make(chan struct{})
	go submit(s, stop)
	time.Sleep(5 * time.Second)
	for round := range rounds {
		if world3.Trouble() {
			// Two positions apart are runners of the same kind.
			down := []*world3.Runner{}
			for i := range crashed {
				down = append(down, s.Fleet.Runners[2*(round*crashed+i)])
			}
			for _, r := range down {
				r.Crash()
			}
			time.Sleep(downFor)
			for _, r := range down {
				if err := r.Restart("a"); err != nil {
					s.Rec.Note("runner not started again: %v", err)
				}
			}
		}
		time.Sleep(pause)
	}
	close(stop)
	s.Finish()
}

// submit hands in jobs whose tasks require kind b, more than these runners have room for.
func submit(s *world3.Site, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(jobPeriod):
		}
		j := &world3.Job{ID: world3.NewID(), Spec: "book", JobSteps: []world3.Step{{
			Count: 8, CPU: 2000, MemMb: 1000, EstimateMs: 1500, Requirements: "b", TaskMs: 1500,
		}}}
		s.Fleet.Know(j)
		go world3.Submit(s.Hosts, world3.Queue, j, s.Rec, 3)
	}
}
