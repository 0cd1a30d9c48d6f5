package sched

import (
	"math"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

// The holder is lost while watches are at their peak. Its successor has to know the loads at
// once: learned anew, they are told well only after some seconds, in which audits run beside
// watches that can't bear them.
func TestLoadsRestored(t *testing.T) {
	const (
		target = 24 * time.Millisecond
		rest   = 4 * time.Millisecond // tail without any load
		lag    = 0.3                  // seconds from what a reading covers to its arrival
	)
	tail := func(load float64) time.Duration { return time.Duration(float64(rest) / (1 - load)) }
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	feed := &Job{ID: "feed", Queue: "q", Service: "s", AcceptedAt: start, Steps: []Step{{Count: 2, LongRunning: true, Image: "a", TailTarget: target}}}
	former, next := New(Options{Term: 1}, start), New(Options{Term: 2}, start.Add(30*time.Second))
	former.AddJob(start, feed)
	truth := func(at time.Time) float64 { return 0.5 + 0.24*math.Sin(2*math.Pi*at.Sub(start).Seconds()/20+1) }
	k := former.loadOf(former.jobs["feed"].occurrences[0].steps[0])
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(200 * time.Millisecond) {
		former.interference.Observe(former.modelTime(at)+lag, k, "a", tail(truth(at)), target, interf.CPUUsage{})
	}
	known := former.interference.State()
	known.Pairs = append(known.Pairs, interf.Pair{LatencyCritical: "a", BestEffort: "book", Factor: 1.2, StdDev: 0.05})
	former.interference.Restore(former.modelTime(start.Add(30*time.Second)), known)
	data, err := former.EncodeModel()
	if err != nil {
		t.Fatal(err)
	}
	if err := next.RestoreJob(next.termStart, "feed", feed, nil); err != nil {
		t.Fatal(err)
	}
	if err := next.RestoreModel(data); err != nil {
		t.Fatal(err)
	}
	// One reading that is far off changes neither the period nor a factor that was sure.
	period := next.interference.Period()
	stage := next.jobs["feed"].occurrences[0].steps[0]
	at := next.modelTime(next.termStart.Add(200 * time.Millisecond))
	var use interf.CPUUsage
	use.Add("book", 0.2)
	next.interference.Observe(at, next.loadOf(stage), "a", 100*time.Millisecond, target, use)
	if got := next.interference.Period(); got != period || period == 0 {
		t.Errorf("period %.1f s after a reading, %.1f s was handed on", got, period)
	}
	if f := next.interference.Factors("a").Factor("book"); math.Abs(f-1.2) > 0.1 {
		t.Errorf("factor %.2f after a reading, 1.20 was handed on", f)
	}
	for _, ahead := range []time.Duration{time.Second, 4 * time.Second, 9 * time.Second} {
		at := next.termStart.Add(ahead)
		next.interference.Observe(next.modelTime(at)+lag, next.loadOf(stage), "a", tail(truth(at)+0.05), target, interf.CPUUsage{})
		got := next.interference.ExpectedLoad(next.loadOf(stage), next.modelTime(at))
		if math.Abs(got-truth(at)) > 0.06 {
			t.Errorf("load in %s: %.2f, want %.2f", ahead, got, truth(at))
		}
	}
}
