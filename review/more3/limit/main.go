// Command limit shows a fault that has no case: the holder is killed while the store is slow, and runners don't guard their capacity.
package main

import (
	"time"

	"bramleysail.example/bramleysail/review/world3"
)

const (
	runners   = 12
	rounds    = 2
	slowBy    = 200 * time.Millisecond // 50 times the usual 4 ms
	slowFor   = 4500 * time.Millisecond
	calm      = 6 * time.Second
	longTask  = 100000 // ms
	shortTask = 1000   // ms
	jobPeriod = 200 * time.Millisecond
)

func main() {
	s := world3.NewSite(3, runners, 8000, 32000, world3.SmallBounds)
	s.Fleet.Guards = false
	s.Start()
	// These tasks take seven eighths of all runners for the rest of the run.
	for range runners {
		j := &world3.Job{ID: world3.NewID(), Spec: "book", JobSteps: []world3.Step{{
			Count: 7, CPU: 1000, MemMb: 500, EstimateMs: longTask, TaskMs: longTask,
		}}}
		s.Fleet.Know(j)
		world3.Submit(s.Hosts, world3.Queue, j, s.Rec, 3)
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	go submit(s, stop)
	for range rounds {
		time.Sleep(calm)
		if !world3.Trouble() {
			continue
		}
		s.Store.Slow.Store(int64(slowBy))
		s.Rec.Note("the store is slow")
		began := time.Now()
		time.Sleep(500 * time.Millisecond)
		if h := s.Holder(); h != nil {
			h.Kill()
			time.Sleep(300 * time.Millisecond)
			if err := h.Start(); err != nil {
				s.Rec.Note("not started again: %v", err)
			}
		}
		time.Sleep(slowFor - time.Since(began))
		s.Store.Slow.Store(0)
		s.Rec.Note("the store is fast")
	}
	time.Sleep(calm)
	close(stop)
	s.Finish()
}

// submit hands in jobs of short tasks that the runners have room for.
func submit(s *world3.Site, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(jobPeriod):
		}
		j := &world3.Job{ID: world3.NewID(), Spec: "book", JobSteps: []world3.Step{{Count: 2, CPU: 1000, MemMb: 500, EstimateMs: shortTask, TaskMs: shortTask}}}
		s.Fleet.Know(j)
		go world3.Submit(s.Hosts, world3.Queue, j, s.Rec, 3)
	}
}
