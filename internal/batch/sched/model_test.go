package sched

import (
	"math"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

// The next holder has to know the loads of latency-critical tasks at once. Learned anew, they are known well only after
// some seconds. If the holder is lost while the load is at its peak, best-effort tasks meanwhile run beside
// latency-critical tasks that can't tolerate them.
func TestLoadsRestored(t *testing.T) {
	const (
		target = 24 * time.Millisecond
		idle   = 4 * time.Millisecond // tail latency without any load
		lag    = 0.3                  // seconds from the time that a measurement covers to its arrival
	)
	tail := func(load float64) time.Duration { return time.Duration(float64(idle) / (1 - load)) }
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	feed := &Job{ID: "feed", Queue: "q", Service: "s", AcceptedAt: start, Steps: []Step{{Count: 2, LongRunning: true, Image: "a", TailTarget: target}}}
	former, next := New(Options{Term: 1}, start), New(Options{Term: 2}, start.Add(30*time.Second))
	former.AddJob(start, feed)
	truth := func(at time.Time) float64 { return 0.5 + 0.24*math.Sin(2*math.Pi*at.Sub(start).Seconds()/20+1) }
	load := former.loadOf(former.jobs["feed"].occurrences[0].steps[0])
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(200 * time.Millisecond) {
		former.interference.Observe(former.modelTime(at)+lag, load, "a", tail(truth(at)), target, interf.CPUUsage{})
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
	// One measurement that is far off changes neither the period nor a factor that is known well.
	period := next.interference.Period()
	step := next.jobs["feed"].occurrences[0].steps[0]
	at := next.modelTime(next.termStart.Add(200 * time.Millisecond))
	var use interf.CPUUsage
	use.Add("book", 0.2)
	next.interference.Observe(at, next.loadOf(step), "a", 100*time.Millisecond, target, use)
	if got := next.interference.Period(); got != period || period == 0 {
		t.Errorf("period %.1f s after one outlier, want the restored %.1f s", got, period)
	}
	if f := next.interference.Factors("a").Factor("book"); math.Abs(f-1.2) > 0.1 {
		t.Errorf("factor %.2f after one outlier, want about the restored 1.20", f)
	}
	for _, ahead := range []time.Duration{time.Second, 4 * time.Second, 9 * time.Second} {
		at := next.termStart.Add(ahead)
		next.interference.Observe(next.modelTime(at)+lag, next.loadOf(step), "a", tail(truth(at)+0.05), target, interf.CPUUsage{})
		got := next.interference.ExpectedLoad(next.loadOf(step), next.modelTime(at))
		if math.Abs(got-truth(at)) > 0.06 {
			t.Errorf("load %s ahead: %.2f, want %.2f", ahead, got, truth(at))
		}
	}
}
