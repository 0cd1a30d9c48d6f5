package sched_test

import (
	"math"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// reportMeasurements has a worker report its serving task's tail beside a filling task's use.
func (b *harness) reportMeasurements(serve, fill sched.Order, tail time.Duration, use float64) {
	b.t.Helper()
	b.advance(600 * time.Millisecond)
	s, f := runningRow(serve), runningRow(fill)
	s.Progress, s.TailLatency = 100, tail
	f.CPUUsage = use
	b.poll(serve.Incarnation.ID, sched.Report{Running: []sched.RunStatus{s, f}})
}

// newColocated starts a serving task and a filling one on the only worker.
func newColocated(t *testing.T) (b *harness, serve, fill sched.Order) {
	t.Helper()
	b = newHarness(t, 1, 1).openWorkers()
	j := servingJob("s", "serve")
	j.Steps[0].Count = 1
	b.core.AddJob(b.now, j)
	serve = b.planOrders(sched.VerbStart)[0]
	k := bestEffortJob("f", "fill", 3000)
	k.Steps[0].Count = 1
	b.core.AddJob(b.now, k)
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 {
		t.Fatalf("%d filling tasks placed, want 1", len(got))
	}
	return b, serve, got[0]
}

// A sponsor's feed answers late for many seconds. A photo book beside it brings it over its
// target right after a reading, and one rough reading below it in between must not begin the
// wait anew: 2.7 s after that reading the book stands still.
func TestOverTargetPausesBestEffort(t *testing.T) {
	b, serve, fill := newColocated(t)
	b.reportMeasurements(serve, fill, 4*time.Millisecond, 3000)
	began := b.now
	pace := 100
	for i, tail := range []int{80, 90, 20, 85, 90, 80, 90} {
		b.reportMeasurements(serve, fill, time.Duration(tail)*time.Millisecond, 3000)
		for _, o := range b.planOrders(sched.VerbThrottle) {
			pace = o.CPULimit
		}
		if pace == 0 {
			return
		}
		if b.now.Sub(began) > 2700*time.Millisecond {
			t.Fatalf("at %d%% after %d readings over the target", pace, i+1)
		}
	}
	t.Fatalf("at %d%% in the end", pace)
}

// A feed stays late though the book beside it was stopped: an earlier order for the book's pace,
// left unanswered, is carried out after the stop. Its use shows that, and it's ordered anew.
func TestCPULimitResent(t *testing.T) {
	b, serve, fill := newColocated(t)
	b.reportMeasurements(serve, fill, 4*time.Millisecond, 3000)
	for range 6 {
		b.reportMeasurements(serve, fill, 90*time.Millisecond, 3000)
		b.planOrders(sched.VerbThrottle)
	}
	for range 3 {
		b.reportMeasurements(serve, fill, 90*time.Millisecond, 0)
		b.planOrders(sched.VerbThrottle)
	}
	b.advance(2 * time.Second)
	b.reportMeasurements(serve, fill, 90*time.Millisecond, 3000)
	got := b.planOrders(sched.VerbThrottle)
	if len(got) != 1 || got[0].CPULimit > 20 {
		t.Errorf("orders %v, want the pace anew", got)
	}
}

// A feed that is over its target by its own load, with nothing at work beside it, doesn't keep
// filling tasks away for good, and one that is well below lets them work at full speed again.
func TestCPULimitRestored(t *testing.T) {
	b, serve, fill := newColocated(t)
	b.reportMeasurements(serve, fill, 4*time.Millisecond, 3000)
	for range 6 {
		b.reportMeasurements(serve, fill, 90*time.Millisecond, 3000)
		b.planOrders(sched.VerbThrottle)
	}
	pace := 0
	for range 12 {
		b.reportMeasurements(serve, fill, 6*time.Millisecond, 0)
		for _, o := range b.planOrders(sched.VerbThrottle) {
			pace = o.CPULimit
		}
	}
	if pace != 100 {
		t.Errorf("at %d%% with the tail far below the target", pace)
	}
}

// Serving tasks of one image share workers, and a filling image that disturbs one of two
// serving images, both under some load, is placed beside the other.
func TestPlacedWhereLeastInterference(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	for _, j := range []*sched.Job{servingJob("s1", "a"), servingJob("s2", "b"), servingJob("s3", "a"), servingJob("s4", "b")} {
		j.Steps[0].Count = 2
		b.core.AddJob(b.now, j)
	}
	at := map[string]string{}
	serves := map[string][]sched.Order{}
	for _, o := range b.planOrders(sched.VerbStart) {
		image := map[string]string{"s1": "a", "s2": "b", "s3": "a", "s4": "b"}[o.Task.Job]
		if w, ok := at[image]; ok && w != o.Incarnation.ID {
			t.Fatalf("image %s on two workers", image)
		}
		at[image] = o.Incarnation.ID
		serves[image] = append(serves[image], o)
	}
	if at["a"] == at["b"] {
		t.Fatal("both images on one worker")
	}
	// Both images are seen beside the filling one: it disturbs a, and doesn't b.
	last := map[string]sched.Report{}
	for image, tail := range map[string]time.Duration{"a": 60 * time.Millisecond, "b": 6 * time.Millisecond} {
		rows := func(tail time.Duration) []sched.RunStatus {
			var all []sched.RunStatus
			for _, s := range serves[image] {
				row := runningRow(s)
				row.Progress, row.TailLatency = 100, tail
				all = append(all, row)
			}
			return all
		}
		b.advance(600 * time.Millisecond)
		b.poll(at[image], sched.Report{Running: rows(5 * time.Millisecond)})
		probe := bestEffortJob("p"+image, "x", 3000)
		probe.Steps[0].Count = 1
		probe.Steps[0].RequiredLabel = at[image]
		b.core.AddJob(b.now, probe)
		o := b.planOrders(sched.VerbStart)[0]
		for range 40 {
			b.advance(600 * time.Millisecond)
			row := runningRow(o)
			row.CPUUsage = 3000
			b.poll(at[image], sched.Report{Running: append(rows(tail), row)})
		}
		done := sched.Report{Running: rows(16 * time.Millisecond), Finished: []sched.FinishedRun{finishedRow(1, o, sched.EndDone)}}
		for range 10 {
			b.advance(600 * time.Millisecond)
			b.poll(at[image], done)
		}
		last[at[image]] = done
	}
	for id, rep := range last {
		b.poll(id, rep)
	}
	next := bestEffortJob("n", "x", 1500)
	next.Steps[0].Count = 1
	b.core.AddJob(b.now, next)
	got := b.planOrders(sched.VerbStart)
	if len(got) != 1 || got[0].Incarnation.ID != at["b"] {
		t.Errorf("placed %v, want on %s", got, at["b"])
	}
}

// A feed's users come and go within ten seconds. The book beside it is to be slowed as their load
// rises, not once the feed is late: after the first swings, the feed is late in hardly any
// reading, and the book works most of the time.
func TestThrottledAheadOfPeak(t *testing.T) {
	b, serve, fill := newColocated(t)
	const (
		swing  = 10.0 // seconds
		factor = 1.2
		size   = 3000.0 / 16000
	)
	pace, late, worked, n := 100, 0, 0, 0
	for b.now.Sub(epoch()) < 70*time.Second {
		at := b.now.Sub(epoch()).Seconds() + 0.6
		p := 0.48 + 0.24*math.Sin(2*math.Pi*(at-0.3)/swing) + factor*size*float64(pace)/100
		tail := time.Duration(float64(4*time.Millisecond) / (1 - min(p, 0.99)))
		b.reportMeasurements(serve, fill, tail, 3000*float64(pace)/100)
		for _, o := range b.planOrders(sched.VerbThrottle) {
			pace = o.CPULimit
		}
		if b.now.Sub(epoch()) < 30*time.Second {
			continue
		}
		n++
		worked += pace
		if tail > 24*time.Millisecond {
			late++
		}
	}
	if late*20 > n {
		t.Errorf("late in %d of %d readings", late, n)
	}
	if worked < 60*n {
		t.Errorf("the book worked at %d%% on average", worked/n)
	}
}

// A book's task is stopped at a feed's peak and stays there for the whole of it, though another
// worker has room by then: the book is as late as this one task. It is to be resumed there
// with what it has saved.
func TestThrottledTaskMoves(t *testing.T) {
	for _, tt := range []struct {
		name  string
		saves bool
		want  int // stops within a second and a half
	}{
		{"saves its progress", true, 1},
		{"would begin anew", false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 2).openWorkers()
			// The only task on the second worker leaves no memory there.
			b.core.AddJob(b.now, oneTaskJob("big", func(j *sched.Job) { j.Steps[0].Size, j.Steps[0].RequiredLabel = wire.Size{CPU: 1000, Mem: 64000}, "w1" }))
			big := b.planOrders(sched.VerbStart)[0]
			feed := servingJob("s", "serve")
			feed.Steps[0].Count = 1
			b.core.AddJob(b.now, feed)
			serve := b.planOrders(sched.VerbStart)[0]
			book := bestEffortJob("f", "fill", 3000)
			book.Steps[0].Count, book.Steps[0].Checkpointed = 1, tt.saves
			b.core.AddJob(b.now, book)
			fill := b.planOrders(sched.VerbStart)[0]
			for range 8 {
				b.reportMeasurements(serve, fill, 4*time.Millisecond, 3000)
			}
			for range 5 {
				b.reportMeasurements(serve, fill, 90*time.Millisecond, 3000)
				if got := b.planOrders(sched.VerbStop); len(got) > 0 {
					t.Fatalf("stopped without another place: %v", got)
				}
			}
			b.poll(big.Incarnation.ID, sched.Report{Finished: []sched.FinishedRun{finishedRow(1, big, sched.EndDone)}})
			var stops []sched.Order
			for range 2 {
				b.reportMeasurements(serve, fill, 90*time.Millisecond, 0)
				stops = append(stops, b.planOrders(sched.VerbStop)...)
			}
			if len(stops) != tt.want {
				t.Fatalf("stops: %v, want %d", stops, tt.want)
			}
			if tt.want == 0 {
				return
			}
			end := finishedRow(1, fill, sched.EndStopped)
			end.Checkpoint = "half"
			s := runningRow(serve)
			s.Progress, s.TailLatency = 100, 20*time.Millisecond
			b.poll(serve.Incarnation.ID, sched.Report{Running: []sched.RunStatus{s}, Finished: []sched.FinishedRun{end}})
			again := b.planOrders(sched.VerbStart)
			if len(again) != 1 || again[0].Incarnation.ID != big.Incarnation.ID || again[0].Checkpoint != "half" {
				t.Errorf("started anew: %v", again)
			}
		})
	}
}
