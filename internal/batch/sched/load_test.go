package sched

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The load of a serving step is told a second ahead, whether it swings, with which period, or
// is steady. The period isn't known at first, one reading in twenty is far off, and three
// steps with swings of their own share what is learned of it.
func TestCourse(t *testing.T) {
	for _, tt := range []struct {
		name   string
		period float64 // seconds
		swing  float64
	}{
		{"feeds, 10 s", 10, 0.24},
		{"watches, 20 s", 20, 0.24},
		{"between two of the periods tried", 13.6, 0.24},
		{"steady", 10, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			truth := func(step int, at float64) float64 {
				return 0.5 + tt.swing*math.Sin(2*math.Pi*at/tt.period+2*float64(step))
			}
			var p interference
			courses := []*loadForecast{newLoadForecast(0), newLoadForecast(0), newLoadForecast(0)}
			var n, square float64
			for at := 0.0; at < 40; at += 0.2 {
				for i, k := range courses {
					noise := 0.05 * rng.NormFloat64()
					if rng.IntN(20) == 0 {
						noise = 0.3
					}
					k.learn(at, truth(i, at)+noise, 1, &p.score)
					p.age(at)
					if at < 20 {
						continue
					}
					miss := k.load(at+1, p.period) - truth(i, at+1)
					n, square = n+1, square+miss*miss
				}
			}
			if miss := math.Sqrt(square / n); miss > 0.05 {
				t.Errorf("the load a second ahead is off by %.3f, of a swing of %.2f", miss, tt.swing)
			}
		})
	}
}

// The holder is lost while watches are at their peak. Its successor has to know the loads at
// once: learned anew, they are told well only after some seconds, in which audits run beside
// watches that can't bear them.
func TestLoadsHandedOn(t *testing.T) {
	const (
		target = 24 * time.Millisecond
		rest   = 4 * time.Millisecond // tail without any load
		lag    = 0.3                  // seconds from what a reading covers to its arrival
	)
	tail := func(load float64) time.Duration { return time.Duration(float64(rest) / (1 - load)) }
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	feed := &Job{ID: "feed", Queue: "q", Service: "s", At: start, Steps: []Step{{Count: 2, Lasting: true, Image: "a", Target: target}}}
	former, next := New(Options{Term: 1}, start), New(Options{Term: 2}, start.Add(30*time.Second))
	former.Admit(start, feed)
	truth := func(at time.Time) float64 { return 0.5 + 0.24*math.Sin(2*math.Pi*at.Sub(start).Seconds()/20+1) }
	k := former.loadOf(former.jobs["feed"].rounds[0].stages[0])
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(200 * time.Millisecond) {
		former.interference.learn(former.seconds(at)+lag, k, "a", tail(truth(at)), target, usage{})
	}
	known := former.interference.state()
	known.Pairs = append(known.Pairs, factorState{"a", "book", 1.2, 0.05})
	former.interference.restore(former.seconds(start.Add(30*time.Second)), known)
	data, err := former.Learned()
	if err != nil {
		t.Fatal(err)
	}
	if err := next.Restore(next.began, "feed", feed, nil); err != nil {
		t.Fatal(err)
	}
	if err := next.Relearn(data); err != nil {
		t.Fatal(err)
	}
	// One reading that is far off changes neither the period nor a factor that was sure.
	period := next.interference.swingPeriod()
	stage := next.jobs["feed"].rounds[0].stages[0]
	at := next.seconds(next.began.Add(200 * time.Millisecond))
	var use usage
	use.add("book", 0.2)
	next.interference.learn(at, next.loadOf(stage), "a", 100*time.Millisecond, target, use)
	if got := next.interference.swingPeriod(); got != period || period == 0 {
		t.Errorf("period %.1f s after a reading, %.1f s was handed on", got, period)
	}
	if f := next.interference.factors("a").of("book"); math.Abs(f-1.2) > 0.1 {
		t.Errorf("factor %.2f after a reading, 1.20 was handed on", f)
	}
	for _, ahead := range []time.Duration{time.Second, 4 * time.Second, 9 * time.Second} {
		at := next.began.Add(ahead)
		next.interference.learn(next.seconds(at)+lag, next.loadOf(stage), "a", tail(truth(at)+0.05), target, usage{})
		got := next.interference.expect(next.loadOf(stage), next.seconds(at))
		if math.Abs(got-truth(at)) > 0.06 {
			t.Errorf("load in %s: %.2f, want %.2f", ahead, got, truth(at))
		}
	}
}
