package sched_test

import (
	"fmt"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// bench plays a core against workers that the test speaks for.
type bench struct {
	t    *testing.T
	core *sched.Core
	now  time.Time
}

const (
	lease = 5 * time.Second
	// unsure is how long a holder acts without a confirmation.
	unsure = 3 * time.Second
	// doubt is how long after a change of holder all that the former one has granted has ended: a lease by
	// a clock that is 2 % slow, and what a worker takes to notice.
	doubt = lease*100/98 + 100*time.Millisecond
)

func start() time.Time { return time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC) }

// newBench returns a core of a term with n workers of 16 cores that have been polled.
func newBench(t *testing.T, term int64, n int) *bench {
	t.Helper()
	b := &bench{t: t, now: start()}
	b.core = sched.New(sched.Options{Lease: lease, Sure: unsure, Term: term}, b.now)
	b.core.Roster(b.now, members(n))
	return b
}

func members(n int) []sched.Member {
	var all []sched.Member
	for i := range n {
		all = append(all, sched.Member{
			Life: sched.Life{ID: fmt.Sprintf("w%d", i), Born: 1}, Service: "s", Addr: fmt.Sprintf("h%d:1", i),
			Zone: "z", Rack: "r", Labels: []string{fmt.Sprintf("w%d", i)}, Size: wire.Size{CPU: 16000, Mem: 64000},
		})
	}
	return all
}

// open polls every worker twice, so that tasks may be placed there.
func (b *bench) open() *bench {
	b.core.TrackedStored(b.core.Tracked())
	for _, m := range b.core.Tracked() {
		b.poll(m.ID, sched.Report{})
	}
	return b
}

// after lets time pass, in which the holder stays confirmed.
func (b *bench) after(d time.Duration) {
	b.now = b.now.Add(d)
	b.core.Confirm(b.now)
}

// poll has a worker answer a poll of once, and the next one sent.
func (b *bench) poll(id string, rep sched.Report) {
	b.t.Helper()
	b.core.Poll(b.now, id)
	if rep.Born == 0 {
		rep.Born = 1
	}
	rep.Clock = b.now.Sub(start())
	sent := b.now
	b.after(time.Millisecond)
	b.core.Hear(sent, b.now, id, rep)
	b.core.Poll(b.now, id)
}

// plan returns the orders of a kind, each taken by its worker.
func (b *bench) plan(v sched.Verb) []sched.Order {
	b.t.Helper()
	b.after(time.Millisecond)
	var got []sched.Order
	for _, o := range b.core.Plan(b.now) {
		if o.Verb == v {
			got = append(got, o)
		}
		b.core.Answer(b.now, o, sched.OutcomeDone)
	}
	b.after(time.Millisecond)
	return got
}

// store has everything stored and returns the records by job.
func (b *bench) store() map[string][]byte {
	b.t.Helper()
	batch, err := b.core.Collect(1000)
	if err != nil {
		b.t.Fatal(err)
	}
	b.core.Committed(batch)
	all := map[string][]byte{}
	for _, r := range batch.Records {
		all[r.ID] = r.Data
	}
	return all
}

func one(id string, change func(*sched.Job)) *sched.Job {
	j := &sched.Job{ID: id, Queue: "q", Service: "s", Tries: 2, At: start(),
		Steps: []sched.Step{{Count: 1, Size: wire.Size{CPU: 1000, Mem: 1000}, Estimate: time.Second}}}
	if change != nil {
		change(j)
	}
	return j
}

func (b *bench) state(id string, want sched.State) {
	b.t.Helper()
	if got, _ := b.core.State(id); got != want {
		b.t.Errorf("job %s is %q, want %q", id, got, want)
	}
}

// other returns, of two workers, the one that an order isn't for.
func other(o sched.Order) string {
	return map[string]string{"w0": "w1", "w1": "w0"}[o.Life.ID]
}

func finished(seq int64, o sched.Order, how sched.End) sched.Finished {
	return sched.Finished{Seq: seq, Task: o.Task.String(), Run: o.Run, How: how}
}

func running(o sched.Order) sched.Running {
	return sched.Running{Task: o.Task.String(), Run: o.Run}
}

// A job's steps run one after the other, and it is shown as completed only once that is stored.
func TestSteps(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.core.Admit(b.now, one("j", func(j *sched.Job) {
		j.Steps = append(j.Steps, sched.Step{Count: 2, Size: wire.Size{CPU: 1000}, After: []int{0}})
	}))
	b.state("j", sched.StateQueued)
	first := b.plan(sched.VerbStart)
	if len(first) != 1 {
		t.Fatalf("%d starts, want 1", len(first))
	}
	b.state("j", sched.StateRunning)
	b.poll(first[0].Life.ID, sched.Report{Finished: []sched.Finished{finished(1, first[0], sched.EndDone)}})
	second := b.plan(sched.VerbStart)
	if len(second) != 2 {
		t.Fatalf("%d starts of the second step, want 2", len(second))
	}
	for i, o := range second {
		b.poll(o.Life.ID, sched.Report{Finished: []sched.Finished{finished(int64(i+2), o, sched.EndDone)}})
	}
	b.state("j", sched.StateRunning)
	b.store()
	b.state("j", sched.StateCompleted)
}

// A caller sees a task run twice at the same time. A start is answered, and a poll sent before
// that answer has overtaken the start on another connection, so its report doesn't show the
// run. Taking the run for ended places the task a second time.
func TestLookOvertakesStart(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.core.Admit(b.now, one("j", nil))
	orders := b.core.Plan(b.now)
	if len(orders) != 1 {
		t.Fatalf("%d orders, want 1", len(orders))
	}
	b.after(time.Millisecond)
	sent := b.now
	b.core.Poll(sent, "w0")
	b.after(time.Millisecond)
	b.core.Answer(b.now, orders[0], sched.OutcomeDone)
	b.after(time.Millisecond)
	b.core.Hear(sent, b.now, "w0", sched.Report{Born: 1, Clock: b.now.Sub(start())})
	if again := b.plan(sched.VerbStart); len(again) != 0 {
		t.Errorf("started again: %v", again)
	}
}

// A caller is told that a job has failed though its task failed once only. The holder has
// stored the failure and ends before the worker is told to forget it; its successor hears
// of the same end and counts it a second time.
func TestFailureCountedOnce(t *testing.T) {
	b := newBench(t, 1, 1).open()
	job := one("j", nil)
	b.core.Admit(b.now, job)
	o := b.plan(sched.VerbStart)[0]
	end := finished(1, o, sched.EndFailed)
	b.poll("w0", sched.Report{Finished: []sched.Finished{end}})
	data := b.store()["j"]

	next := newBench(t, 2, 1)
	if err := next.core.Restore(next.now, "j", job, data); err != nil {
		t.Fatal(err)
	}
	next.open()
	next.poll("w0", sched.Report{Finished: []sched.Finished{end}})
	next.store()
	if s, _ := next.core.State("j"); s.Final() {
		t.Errorf("job is %s after one failure of two allowed", s)
	}
	retry := next.plan(sched.VerbStart)
	if len(retry) != 1 || retry[0].Run <= o.Run {
		t.Fatalf("retry %v after run %d", retry, o.Run)
	}
	next.poll("w0", sched.Report{Finished: []sched.Finished{finished(2, retry[0], sched.EndFailed)}})
	next.store()
	next.state("j", sched.StateFailed)
}

// An insurer's job runs once more than its queue allows. Its task fails on two workers
// while the store turns the holder away; the successor hears the newer end first and takes
// the older one for counted.
func TestFailuresInAnyOrder(t *testing.T) {
	b := newBench(t, 2, 2)
	if err := b.core.Restore(b.now, "j", one("j", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.TrackedStored(b.core.Tracked())
	b.poll("w0", sched.Report{Finished: []sched.Finished{{Seq: 1, Task: "j.0.0.0", Run: 1_000_002, How: sched.EndFailed}}})
	b.poll("w1", sched.Report{Finished: []sched.Finished{{Seq: 1, Task: "j.0.0.0", Run: 1_000_001, How: sched.EndFailed}}})
	if got := b.plan(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v after two failures", got)
	}
	b.store()
	b.state("j", sched.StateFailed)
}

// A start isn't answered and may come to life seconds later. Until a stop for it is
// acknowledged and a later poll doesn't show it, the task must not be placed again.
func TestUnansweredStart(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.core.Admit(b.now, one("j", nil))
	o := b.core.Plan(b.now)[0]
	b.core.Answer(b.now, o, sched.OutcomeUnknown)
	b.after(time.Millisecond)
	b.poll(o.Life.ID, sched.Report{})
	if got := b.plan(sched.VerbStart); len(got) != 0 {
		t.Fatalf("placed again before the stop: %v", got)
	}
	b.after(time.Second)
	if got := b.plan(sched.VerbStop); len(got) != 1 {
		t.Fatalf("%d stops, want 1", len(got))
	}
	b.poll(o.Life.ID, sched.Report{})
	if got := b.plan(sched.VerbStart); len(got) != 1 || got[0].Run <= o.Run {
		t.Fatalf("after the stop: %v", got)
	}
}

// A cancelled job starts nothing and what runs of it is stopped; an order on its way then is
// stopped too.
func TestCancel(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.core.Admit(b.now, one("j", func(j *sched.Job) { j.Steps[0].Count = 3 }))
	starts := b.plan(sched.VerbStart)
	b.after(time.Second)
	b.core.Cancel(b.now, "j")
	if got := b.plan(sched.VerbStop); len(got) != len(starts) {
		t.Errorf("%d stops, want %d", len(got), len(starts))
	}
	if got := b.plan(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v after the cancel", got)
	}
	b.store()
	b.state("j", sched.StateCancelled)
}

// Tasks go nowhere where operators or the worker said no.
func TestClosedWorkers(t *testing.T) {
	for _, tt := range []struct {
		name  string
		close func(b *bench, all []sched.Member)
	}{
		{"domain out", func(b *bench, _ []sched.Member) { b.core.Out(map[string]bool{"z": true}) }},
		{"draining", func(b *bench, all []sched.Member) {
			all[0].Draining = true
			b.core.Roster(b.now, all)
		}},
		{"not listed", func(b *bench, _ []sched.Member) { b.core.Roster(b.now, nil) }},
		{"other service", func(b *bench, all []sched.Member) {
			all[0].Service = "other"
			b.core.Roster(b.now, all)
		}},
		{"out of contact", func(b *bench, _ []sched.Member) { b.core.Missed(b.now, "w0", 1) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 1, 1).open()
			tt.close(b, members(1))
			b.core.Admit(b.now, one("j", nil))
			if got := b.plan(sched.VerbStart); len(got) != 0 {
				t.Errorf("started %v", got)
			}
		})
	}
}

// Two books wait for the only place. The one that is due first has two steps of 2 s to go and 3 s
// left: begun first, it would be late all the same and bring the other past its time too.
func TestHopelessWaits(t *testing.T) {
	b := newBench(t, 1, 1).open()
	steps := func(n int) func(*sched.Job) {
		return func(j *sched.Job) {
			j.Aim = 3 * time.Second
			for i := range n {
				s := sched.Step{Count: 1, Size: wire.Size{CPU: 16000}, Estimate: 2 * time.Second}
				if i > 0 {
					s.After = []int{i - 1}
				}
				j.Steps = append(j.Steps[:i], s)
			}
		}
	}
	b.core.Admit(b.now, one("hopeless", steps(2)))
	b.after(500 * time.Millisecond)
	b.core.Admit(b.now, one("timely", func(j *sched.Job) { steps(1)(j); j.At = b.now }))
	got := b.plan(sched.VerbStart)
	if len(got) != 1 || got[0].Task.Job != "timely" {
		t.Errorf("started %v, want the job that can be on time", got)
	}
}
