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
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	feed := &Job{ID: "feed", Queue: "q", Service: "s", At: start, Steps: []Step{{Count: 2, Lasting: true, Image: "a", Target: 24 * time.Millisecond}}}
	former, next := New(Options{Term: 1}, start), New(Options{Term: 2}, start.Add(30*time.Second))
	former.Admit(start, feed)
	truth := func(at time.Time) float64 { return 0.5 + 0.24*math.Sin(2*math.Pi*at.Sub(start).Seconds()/20+1) }
	k := former.loadOf(former.jobs["feed"].rounds[0].stages[0])
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(200 * time.Millisecond) {
		k.learn(former.seconds(at), truth(at), 1, &former.interference.score)
		former.interference.age(former.seconds(at))
	}
	former.interference.factors("a").set("book", 1.2, 0.05)
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
	period := next.interference.period
	stage := next.jobs["feed"].rounds[0].stages[0]
	at := next.seconds(next.began.Add(200 * time.Millisecond))
	next.interference.learn(at, next.loadOf(stage), stage.spec.Image, 100*time.Millisecond, stage.spec.Target, []usage{{"book", 0.2}})
	if next.interference.period != period || angularFrequency[period] == 0 {
		t.Errorf("period %d after a reading, %d was handed on", next.interference.period, period)
	}
	if f := next.interference.factors("a").of("book"); math.Abs(f-1.2) > 0.1 {
		t.Errorf("factor %.2f after a reading, 1.20 was handed on", f)
	}
	for _, ahead := range []time.Duration{time.Second, 4 * time.Second, 9 * time.Second} {
		at := next.began.Add(ahead)
		next.loadOf(next.jobs["feed"].rounds[0].stages[0]).learn(next.seconds(at), truth(at)+0.05, 1, &next.interference.score)
		got := next.loadOf(next.jobs["feed"].rounds[0].stages[0]).load(next.seconds(at), next.interference.period)
		if math.Abs(got-truth(at)) > 0.06 {
			t.Errorf("load in %s: %.2f, want %.2f", ahead, got, truth(at))
		}
	}
}
