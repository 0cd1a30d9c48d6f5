package sched_test

import (
	"fmt"
	"slices"
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

// newBench returns a core of a term with n workers of 16 cores that have been looked at.
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

// open looks at every worker twice, so that tasks may be placed there.
func (b *bench) open() *bench {
	b.core.CrewStored(b.core.Crew())
	for _, m := range b.core.Crew() {
		b.look(m.ID, sched.Report{})
	}
	return b
}

// after lets time pass, in which the holder stays confirmed.
func (b *bench) after(d time.Duration) {
	b.now = b.now.Add(d)
	b.core.Confirm(b.now)
}

// look has a worker answer a look at once, and the next one sent.
func (b *bench) look(id string, rep sched.Report) {
	b.t.Helper()
	b.core.Look(b.now, id)
	if rep.Born == 0 {
		rep.Born = 1
	}
	rep.Clock = b.now.Sub(start())
	sent := b.now
	b.after(time.Millisecond)
	b.core.Hear(sent, b.now, id, rep)
	b.core.Look(b.now, id)
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
	b.look(first[0].Life.ID, sched.Report{Finished: []sched.Finished{finished(1, first[0], sched.EndDone)}})
	second := b.plan(sched.VerbStart)
	if len(second) != 2 {
		t.Fatalf("%d starts of the second step, want 2", len(second))
	}
	for i, o := range second {
		b.look(o.Life.ID, sched.Report{Finished: []sched.Finished{finished(int64(i+2), o, sched.EndDone)}})
	}
	b.state("j", sched.StateRunning)
	b.store()
	b.state("j", sched.StateCompleted)
}

// A caller sees a task run twice at the same time. A start is answered, and a look sent before
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
	b.core.Look(sent, "w0")
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
	b.look("w0", sched.Report{Finished: []sched.Finished{end}})
	data := b.store()["j"]

	next := newBench(t, 2, 1)
	if err := next.core.Restore(next.now, "j", job, data); err != nil {
		t.Fatal(err)
	}
	next.open()
	next.look("w0", sched.Report{Finished: []sched.Finished{end}})
	next.store()
	if s, _ := next.core.State("j"); s.Final() {
		t.Errorf("job is %s after one failure of two allowed", s)
	}
	retry := next.plan(sched.VerbStart)
	if len(retry) != 1 || retry[0].Run <= o.Run {
		t.Fatalf("retry %v after run %d", retry, o.Run)
	}
	next.look("w0", sched.Report{Finished: []sched.Finished{finished(2, retry[0], sched.EndFailed)}})
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
	b.core.CrewStored(b.core.Crew())
	b.look("w0", sched.Report{Finished: []sched.Finished{{Seq: 1, Task: "j.0.0.0", Run: 1_000_002, How: sched.EndFailed}}})
	b.look("w1", sched.Report{Finished: []sched.Finished{{Seq: 1, Task: "j.0.0.0", Run: 1_000_001, How: sched.EndFailed}}})
	if got := b.plan(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v after two failures", got)
	}
	b.store()
	b.state("j", sched.StateFailed)
}

// A start isn't answered and may come to life seconds later. Until a stop for it is
// acknowledged and a later look doesn't show it, the task must not be placed again.
func TestUnansweredStart(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.core.Admit(b.now, one("j", nil))
	o := b.core.Plan(b.now)[0]
	b.core.Answer(b.now, o, sched.OutcomeUnknown)
	b.after(time.Millisecond)
	b.look(o.Life.ID, sched.Report{})
	if got := b.plan(sched.VerbStart); len(got) != 0 {
		t.Fatalf("placed again before the stop: %v", got)
	}
	b.after(time.Second)
	if got := b.plan(sched.VerbStop); len(got) != 1 {
		t.Fatalf("%d stops, want 1", len(got))
	}
	b.look(o.Life.ID, sched.Report{})
	if got := b.plan(sched.VerbStart); len(got) != 1 || got[0].Run <= o.Run {
		t.Fatalf("after the stop: %v", got)
	}
}

// A worker is cut off and runs on. Its tasks are placed anew only when its lease has surely
// run out, also by a clock that is 2 % slow, and what it tells of them afterwards counts no more.
func TestLapse(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.core.Admit(b.now, one("j", nil))
	b.look("w0", sched.Report{})
	b.look("w1", sched.Report{})
	o := b.plan(sched.VerbStart)[0]
	granted := b.now
	other := other(o)
	b.core.Missed(b.now, o.Life.ID, 1)
	b.look(other, sched.Report{})
	for b.now.Sub(granted) < lease*100/98 {
		b.look(other, sched.Report{})
		if got := b.plan(sched.VerbStart); len(got) != 0 {
			t.Fatalf("placed again %s after the lease was granted for %s", b.now.Sub(granted), lease)
		}
		b.after(100 * time.Millisecond)
	}
	b.after(doubt - lease) // what a former holder may have granted has to end too
	again := b.plan(sched.VerbStart)
	if len(again) != 1 || again[0].Life.ID != other {
		t.Fatalf("after the lapse: %v", again)
	}
	b.look(o.Life.ID, sched.Report{Finished: []sched.Finished{finished(1, o, sched.EndDone)}})
	b.store()
	b.state("j", sched.StateRunning)
}

// A worker loses power. Until a look at it fails, it still gets starts, each with a new lease: its feeds
// waited until the last of these leases must have run out, and stood still for longer than operators
// allow. What the looks have granted bounds the wait, also when the store confirms the holder late.
func TestStartsDontProlongLapse(t *testing.T) {
	for _, age := range []time.Duration{0, 240 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run(age.String(), func(t *testing.T) {
			b := newBench(t, 1, 2).open()
			b.core.Admit(b.now, one("feed", func(j *sched.Job) { j.Steps[0].Lasting = true }))
			o := b.plan(sched.VerbStart)[0]
			b.look(o.Life.ID, sched.Report{Running: []sched.Running{running(o)}})
			b.now = b.now.Add(age)
			b.core.Look(b.now, o.Life.ID)
			lost := b.now
			b.after(2050 * time.Millisecond)
			b.now = b.now.Add(age)
			b.core.Admit(b.now, one("book", func(j *sched.Job) { j.Steps[0].Label = o.Life.ID }))
			for _, s := range b.core.Plan(b.now) {
				b.core.Answer(b.now, s, sched.OutcomeUnknown)
			}
			b.core.Missed(b.now, o.Life.ID, 1)
			b.after(doubt + 100*time.Millisecond - b.now.Sub(lost))
			b.look(other(o), sched.Report{})
			for _, got := range b.plan(sched.VerbStart) {
				if got.Task.Job == "feed" {
					return
				}
			}
			t.Error("the feed isn't started once the lease of before the loss has run out")
		})
	}
}

// A shop asks how many jobs wait. Starts were ordered and never left, or weren't taken: the jobs counted as begun for good,
// and a queue full of work looked empty. A job has begun once a worker has one of its tasks.
func TestPendingUntilTaken(t *testing.T) {
	for _, tt := range []struct {
		name    string
		out     sched.Outcome
		shown   bool
		pending int
	}{
		{"never left", sched.OutcomeUnsent, false, 1},
		{"no room", sched.OutcomeRoom, false, 1},
		{"no answer", sched.OutcomeUnknown, false, 1},
		{"no answer, and shown", sched.OutcomeUnknown, true, 0},
		{"taken", sched.OutcomeDone, false, 0},
		{"ended there before", sched.OutcomeOld, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 1, 1).open()
			b.core.Admit(b.now, one("j", nil))
			o := b.core.Plan(b.now)[0]
			b.core.Answer(b.now, o, tt.out)
			if tt.shown {
				b.look("w0", sched.Report{Running: []sched.Running{running(o)}})
			}
			if got := b.core.Pending("q"); got != tt.pending {
				t.Errorf("%d wait, want %d", got, tt.pending)
			}
		})
	}
}

// A worker starts anew while ends of its former life wait to be stored. Those numbers mean nothing to the new life: acknowledged
// by them, it would forget ends that nobody has heard of.
func TestOwedByFormerLife(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.core.Admit(b.now, one("a", nil))
	b.core.Admit(b.now, one("b", nil))
	var ends []sched.Finished
	for i, o := range b.plan(sched.VerbStart) {
		ends = append(ends, finished(int64(40+i), o, sched.EndDone))
	}
	b.look("w0", sched.Report{Finished: ends})
	b.look("w0", sched.Report{Born: 2})
	batch, err := b.core.Collect(1)
	if err != nil {
		t.Fatal(err)
	}
	b.core.Committed(batch)
	if l, _ := b.core.Look(b.now, "w0"); l.Acked != 0 {
		t.Errorf("ends up to %d of the new life are acknowledged, and it has told none", l.Acked)
	}
}

// A worker starts anew, and its clock with it. A start that carries the lease of the former life's clock would
// let it run for as long as workers allow, past what this holder counts with.
func TestLeaseOfFormerLife(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.after(time.Minute)
	b.look("w0", sched.Report{})
	b.core.Hear(b.now, b.now, "w0", sched.Report{Born: 2, Clock: time.Second})
	b.core.Look(b.now, "w0")
	b.core.CrewStored(b.core.Crew())
	b.core.Admit(b.now, one("a", nil))
	got := b.plan(sched.VerbStart)
	if len(got) != 1 || got[0].Until > time.Second+lease {
		t.Errorf("started %v, want one with a lease until %v at most", got, time.Second+lease)
	}
}

// A start isn't answered, and the stop that follows is, by the worker's first life; then it starts anew. The
// start may still come, to a life that knows of no stop: the task isn't started elsewhere before that is
// impossible, or the new life has taken the stop too.
func TestStopByFormerLife(t *testing.T) {
	for _, tt := range []struct {
		name  string
		again bool // the new life takes the stop
	}{{"new life out of reach", false}, {"new life takes the stop", true}} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 1, 2).open()
			b.core.Admit(b.now, one("j", nil))
			o := b.core.Plan(b.now)[0]
			b.core.Answer(b.now, o, sched.OutcomeUnknown)
			ordered := b.now
			other := other(o)
			b.after(time.Millisecond)
			b.look(o.Life.ID, sched.Report{})
			b.after(400 * time.Millisecond)
			if got := b.plan(sched.VerbStop); len(got) != 1 {
				t.Fatalf("stops: %v", got)
			}
			all := members(2)
			for i := range all {
				if all[i].ID == o.Life.ID {
					all[i].Born = 2
				}
			}
			b.core.Roster(b.now, all)
			if tt.again {
				b.look(o.Life.ID, sched.Report{Born: 2})
				if got := b.plan(sched.VerbStart); len(got) != 0 {
					t.Fatalf("started %v before the new life has taken the stop", got)
				}
				b.after(400 * time.Millisecond)
				if got := b.plan(sched.VerbStop); len(got) != 1 || got[0].Life.Born != 2 {
					t.Fatalf("stops for the new life: %v", got)
				}
				b.look(o.Life.ID, sched.Report{Born: 2})
				if got := b.plan(sched.VerbStart); len(got) != 1 {
					t.Errorf("started %v after the stop, want the task", got)
				}
				return
			}
			for b.now.Sub(ordered) < 12*time.Second+lease {
				b.look(other, sched.Report{})
				if got := b.plan(sched.VerbStart); len(got) != 0 {
					t.Fatalf("placed again %s after the order", b.now.Sub(ordered))
				}
				b.after(100 * time.Millisecond)
			}
		})
	}
}

// A worker starts anew under its id, and its feeds stand still for 20 s: once because the new life can't be reached,
// once because it is lost soon after it was given feeds of its own. What an unanswered order may
// still bring to life there was waited for, though every order had been answered.
func TestRebornIsNotWaitedFor(t *testing.T) {
	feed := func(j *sched.Job) { j.Steps[0].Lasting = true }
	for _, tt := range []struct {
		name string
		lose func(b *bench, id string) // has the worker start anew, and be lost
	}{
		{"new life out of reach", func(b *bench, id string) {}},
		{"new life reached and lost", func(b *bench, id string) {
			b.look(id, sched.Report{Born: 2})
			b.core.CrewStored(b.core.Crew())
			if got := b.plan(sched.VerbStart); len(got) != 1 || got[0].Life.ID != id {
				b.t.Fatalf("started %v, want the feed again in the new life", got)
			}
			b.core.Missed(b.now, id, 2)
			b.after(doubt + 100*time.Millisecond)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 1, 2).open()
			b.core.Admit(b.now, one("feed", feed))
			o := b.plan(sched.VerbStart)[0]
			b.look(o.Life.ID, sched.Report{Running: []sched.Running{running(o)}})
			all := members(2)
			for i := range all {
				if all[i].ID == o.Life.ID {
					all[i].Born = 2
				}
			}
			b.core.Roster(b.now, all)
			tt.lose(b, o.Life.ID)
			b.look(other(o), sched.Report{})
			for _, got := range b.plan(sched.VerbStart) {
				if got.Task.Job == "feed" {
					return
				}
			}
			t.Error("the feed isn't started on the other worker")
		})
	}
}

// The store takes the holder's key away, another holder takes over and renews a worker's lease; the former one
// doesn't reach that worker and, confirmed a moment ago, takes its runs for lapsed. A book is printed twice. A lease
// has lapsed only once the store has confirmed the holder after it ran out: nobody else can have renewed it then.
func TestLapseNeedsConfirmation(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.core.Admit(b.now, one("j", nil))
	o := b.plan(sched.VerbStart)[0]
	b.core.Missed(b.now, o.Life.ID, 1)
	b.after(doubt - 500*time.Millisecond)
	b.look(other(o), sched.Report{})
	b.now = b.now.Add(time.Second)
	if got := b.core.Plan(b.now); len(got) != 0 {
		t.Errorf("ordered %v by a confirmation of before the lapse", got)
	}
	if got := b.plan(sched.VerbStart); len(got) != 1 {
		t.Errorf("started %v once confirmed, want the task", got)
	}
}

// A holder takes over while a worker is out of reach. A task of before may run there, so it
// waits until the worker is reached or every lease of then has ended; new jobs don't wait.
func TestDoubt(t *testing.T) {
	b := newBench(t, 2, 2)
	if err := b.core.Restore(b.now, "old", one("old", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.Inherit(b.now, members(2))
	b.look("w0", sched.Report{})
	b.core.Admit(b.now, one("new", nil))
	got := b.plan(sched.VerbStart)
	if len(got) != 1 || got[0].Task.Job != "new" {
		t.Fatalf("started %v, want the new job only", got)
	}
	b.look("w1", sched.Report{Running: []sched.Running{{Task: "old.0.0.0", Run: 1_000_001}}})
	if got := b.plan(sched.VerbStart); len(got) != 0 {
		t.Fatalf("started %v, though the task runs", got)
	}
	b.look("w1", sched.Report{Finished: []sched.Finished{{Seq: 1, Task: "old.0.0.0", Run: 1_000_001, How: sched.EndDone}}})
	b.store()
	b.state("old", sched.StateCompleted)
}

// A holder takes over and looks at a worker that runs a task and has as many ends to tell as a report takes. Its
// running tasks were passed over, and as it had been reached, the task was started on another worker too.
func TestFullReportShowsRuns(t *testing.T) {
	b := newBench(t, 2, 2)
	if err := b.core.Restore(b.now, "old", one("old", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.Inherit(b.now, members(2))
	b.look("w0", sched.Report{})
	rep := sched.Report{Running: []sched.Running{{Task: "old.0.0.0", Run: 1_000_001}}}
	for i := range int64(500) {
		rep.Finished = append(rep.Finished, sched.Finished{Seq: i + 1, Task: "gone.0.0.0", Run: 1, How: sched.EndFailed})
	}
	b.look("w1", rep)
	if got := b.plan(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v, though the task runs", got)
	}
}

// The same, but the task has ended there: its end comes with a later report. Started meanwhile, it would run again
// after its success.
func TestFullReportHoldsBack(t *testing.T) {
	b := newBench(t, 2, 2)
	if err := b.core.Restore(b.now, "old", one("old", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.Inherit(b.now, members(2))
	b.look("w0", sched.Report{})
	rep := sched.Report{}
	for i := range int64(500) {
		rep.Finished = append(rep.Finished, sched.Finished{Seq: i + 1, Task: "gone.0.0.0", Run: 1, How: sched.EndFailed})
	}
	b.look("w1", rep)
	if got := b.plan(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v with ends still to come", got)
	}
	b.look("w1", sched.Report{Finished: []sched.Finished{{Seq: 501, Task: "old.0.0.0", Run: 1_000_001, How: sched.EndDone}}})
	b.store()
	b.state("old", sched.StateCompleted)
}

// A feed's run fails on a worker that the new holder reaches, while another worker is out of reach
// since before the change of holder. The holder has seen the run, so nothing else can run this
// task: it is started again at once. It used to wait with all that was taken over.
func TestDoubtEndsForSeenRun(t *testing.T) {
	b := newBench(t, 2, 2)
	if err := b.core.Restore(b.now, "old", one("old", func(j *sched.Job) { j.Steps[0].Lasting = true }), nil); err != nil {
		t.Fatal(err)
	}
	b.core.Inherit(b.now, members(2))
	b.after(unsure)
	b.look("w0", sched.Report{Running: []sched.Running{{Task: "old.0.0.0", Run: 1_000_001}}})
	b.look("w0", sched.Report{Finished: []sched.Finished{{Seq: 1, Task: "old.0.0.0", Run: 1_000_001, How: sched.EndFailed}}})
	if got := b.plan(sched.VerbStart); len(got) != 1 {
		t.Errorf("started %v after its run had ended, want the task once", got)
	}
}

// The store is lost to a holder, and another takes over; for some seconds the former one still acts. Both see a feed run
// on a worker, which starts anew, and each starts the feed on a worker that the other doesn't
// reach: it runs twice. What a new holder sees is the whole truth only once the former one has ceased to act.
func TestSeenRunWhileTwoAct(t *testing.T) {
	const task, run = "old.0.0.0", 1_000_001
	take := func(term int64, at time.Time) *bench {
		b := &bench{t: t, now: at}
		b.core = sched.New(sched.Options{Lease: lease, Sure: unsure, Term: term}, at)
		b.core.Confirm(at)
		if err := b.core.Restore(at, "old", one("old", func(j *sched.Job) { j.Steps[0].Lasting = true }), nil); err != nil {
			t.Fatal(err)
		}
		b.core.Inherit(at, members(3))
		b.core.Roster(at, members(3))
		return b
	}
	former, next := take(1, start()), take(2, start().Add(1300*time.Millisecond))
	former.look("w1", sched.Report{})
	next.look("w2", sched.Report{})
	for _, b := range []*bench{former, next} {
		b.look("w0", sched.Report{Running: []sched.Running{{Task: task, Run: run}}})
	}
	started := 0
	for _, b := range []*bench{former, next} {
		b.look("w0", sched.Report{Born: 2})
		started += len(b.plan(sched.VerbStart))
	}
	if started > 1 {
		t.Errorf("%d holders start the task", started)
	}
}

// A worker has entered the directory and can't be reached yet as the holder changes. No former
// holder can have given it anything, as its record doesn't name it: nothing waits for it.
func TestNewWorkerHoldsNothingBack(t *testing.T) {
	b := &bench{t: t, now: start()}
	b.core = sched.New(sched.Options{Lease: lease, Sure: unsure, Term: 2}, b.now)
	if err := b.core.Restore(b.now, "old", one("old", nil), nil); err != nil {
		t.Fatal(err)
	}
	b.core.Inherit(b.now, members(1))
	b.core.Roster(b.now, members(2))
	b.look("w0", sched.Report{})
	if got := b.plan(sched.VerbStart); len(got) != 1 {
		t.Errorf("started %v, want the task taken over", got)
	}
}

// A worker has been out of reach for so long that its lease has lapsed, and then the holder changes. What
// ran there has ended, so the successor has nothing to wait for there. It isn't told of that worker.
func TestLapsedWorkerIsNotHandedOn(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.core.Missed(b.now, "w1", 1)
	b.after(doubt + lease)
	b.plan(sched.VerbStart)
	if got := b.core.Crew(); len(got) != 1 || got[0].ID != "w0" {
		t.Errorf("handed on as workers that may hold runs: %v, want w0 only", got)
	}
	b.look("w1", sched.Report{})
	if got := b.core.Crew(); len(got) != 2 {
		t.Errorf("handed on once it is back: %v, want both", got)
	}
	b.core.Admit(b.now, one("j", func(j *sched.Job) { j.Steps[0].Label = "w1" }))
	if got := b.plan(sched.VerbStart); len(got) != 0 {
		t.Errorf("started %v on a worker that the record doesn't name", got)
	}
	b.core.CrewStored(b.core.Crew())
	if got := b.plan(sched.VerbStart); len(got) != 1 {
		t.Errorf("started %v once the record names it, want the task", got)
	}
}

// More jobs change than one write takes, again and again. The ends of a worker were acknowledged
// only once nothing at all was left to store: for as long as that lasted every look told
// all ends anew, and the holder had no time left for its work. An end is acknowledged as soon as its own job is stored.
func TestAcksDontWaitForAll(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.core.Admit(b.now, one("a", func(j *sched.Job) { j.Steps[0].Label = "w0" }))
	for i := range 10 {
		b.core.Admit(b.now, one(fmt.Sprintf("z%d", i), func(j *sched.Job) { j.Steps[0].Label = "w1" }))
	}
	var ends []sched.Finished
	for _, o := range b.plan(sched.VerbStart) {
		if o.Life.ID == "w0" {
			b.look("w0", sched.Report{Finished: []sched.Finished{finished(1, o, sched.EndDone)}})
			continue
		}
		ends = append(ends, finished(int64(len(ends)+1), o, sched.EndDone))
	}
	b.look("w1", sched.Report{Finished: ends})
	for i, want := range []int64{1, 6} {
		batch, err := b.core.Collect(2 + 3*i)
		if err != nil {
			t.Fatal(err)
		}
		if l, _ := b.core.Look(b.now, "w1"); i == 0 && l.Acked != 0 {
			t.Errorf("ends of w1 up to %d are acknowledged, and none is stored", l.Acked)
		}
		b.core.Committed(batch)
		id := fmt.Sprintf("w%d", i)
		if l, _ := b.core.Look(b.now, id); l.Acked != want {
			t.Errorf("ends of %s up to %d are acknowledged, want %d", id, l.Acked, want)
		}
	}
}

// A worker tells an end with each look until it is acknowledged. It is news once: logged and counted each time, it
// buries in the log what an engineer looks for, and takes the holder's time when it has least.
func TestEndIsNewsOnce(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.core.Admit(b.now, one("j", nil))
	end := finished(1, b.plan(sched.VerbStart)[0], sched.EndDone)
	for _, want := range []int{1, 0, 0} {
		b.after(time.Millisecond)
		got := b.core.Hear(b.now, b.now, "w0", sched.Report{Born: 1, Clock: b.now.Sub(start()), Finished: []sched.Finished{end}})
		if len(got) != want {
			t.Errorf("news: %v, want %d", got, want)
		}
	}
}

// Jobs change faster than they can be stored. Those that came first in the order of their ids were
// stored again and again, the others never, and a cancel was not acknowledged for as long as that lasted: its caller
// gave up, and the next holder, which knew of no cancel, started the job.
func TestChangesAreStoredInTurn(t *testing.T) {
	b := newBench(t, 1, 2).open()
	for _, id := range []string{"a", "b", "c", "d"} {
		b.core.Admit(b.now, one(id, func(j *sched.Job) { j.Steps[0].Lasting = true }))
	}
	fail := func(seq int64) {
		for _, o := range b.plan(sched.VerbStart) {
			b.look(o.Life.ID, sched.Report{Finished: []sched.Finished{finished(seq, o, sched.EndFailed)}})
			seq++
		}
	}
	fail(1)
	collect := func() string {
		batch, err := b.core.Collect(1)
		if err != nil {
			t.Fatal(err)
		}
		b.core.Committed(batch)
		if len(batch.Records) != 1 {
			t.Fatalf("%d records collected, want one", len(batch.Records))
		}
		return batch.Records[0].ID
	}
	var got []string
	got = append(got, collect())
	fail(5) // all of them change once more
	got = append(got, collect())
	b.core.Cancel(b.now, "d")
	got = append(got, collect(), collect())
	if want := []string{"a", "b", "d", "c"}; !slices.Equal(got, want) {
		t.Errorf("stored in the order %v, want %v", got, want)
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

// A check-in runs twice. Its worker starts anew while the ends of its former life are being
// stored; the acknowledgement of these makes it forget the new life's ends unheard.
func TestAckOfFormerLife(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.look("w0", sched.Report{Finished: []sched.Finished{{Seq: 40, Task: "x.0.0.0", Run: 1, How: sched.EndDone}}})
	batch, err := b.core.Collect(10)
	if err != nil {
		t.Fatal(err)
	}
	b.look("w0", sched.Report{Born: 2})
	b.core.Committed(batch)
	if l, _ := b.core.Look(b.now, "w0"); l.Acked != 0 {
		t.Errorf("ends up to %d of the new life acknowledged unheard", l.Acked)
	}
}

// A worker that has crashed and started again under its id runs nothing of before: its tasks
// are placed anew at once, but for one whose order was never answered, which may come to
// life in the new life.
func TestRebirth(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.core.Admit(b.now, one("j", nil))
	b.core.Admit(b.now, one("k", nil))
	orders := b.core.Plan(b.now)
	b.core.Answer(b.now, orders[0], sched.OutcomeDone)
	b.core.Answer(b.now, orders[1], sched.OutcomeUnknown)
	b.after(time.Second)
	all := members(1)
	all[0].Born = 2
	b.core.Roster(b.now, all)
	b.core.CrewStored(b.core.Crew())
	b.look("w0", sched.Report{Born: 2})
	again := b.plan(sched.VerbStart)
	if len(again) != 1 || again[0].Task != orders[0].Task {
		t.Fatalf("placed %v, want %v", again, orders[0].Task)
	}
}

// A check-in runs twice. Its order isn't answered, the worker starts anew and is cut off; the
// order's time is of the former life's clock, so the new life carries it out seconds after
// every lease has lapsed by our count.
func TestOrderOfFormerLife(t *testing.T) {
	b := newBench(t, 1, 2).open()
	b.after(doubt)
	b.look("w0", sched.Report{})
	b.look("w1", sched.Report{})
	b.core.Admit(b.now, one("j", nil))
	o := b.core.Plan(b.now)[0]
	b.core.Answer(b.now, o, sched.OutcomeUnknown)
	ordered := b.now
	other := other(o)
	b.look(o.Life.ID, sched.Report{Born: 2})
	b.core.Missed(b.now, o.Life.ID, 2)
	for b.now.Sub(ordered) < 12*time.Second+lease {
		b.look(other, sched.Report{})
		if got := b.plan(sched.VerbStart); len(got) != 0 {
			t.Fatalf("placed again %s after the order", b.now.Sub(ordered))
		}
		b.after(100 * time.Millisecond)
	}
}

// A check-in runs twice. Its worker starts anew, carries out an order in its new life and ends
// it before it is looked at; the former life's lease has lapsed by then, so the end is passed
// over as of before a lapse, and acknowledged.
func TestLapseOfFormerLife(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.core.Admit(b.now, one("j", nil))
	o := b.plan(sched.VerbStart)[0]
	b.core.Missed(b.now, "w0", 1)
	b.after(doubt + lease)
	all := members(1)
	all[0].Born = 2
	b.core.Roster(b.now, all)
	b.plan(sched.VerbStart)
	b.look("w0", sched.Report{Born: 2, Finished: []sched.Finished{finished(1, o, sched.EndDone)}})
	b.store()
	b.state("j", sched.StateCompleted)
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

// A book is finished twice. Its worker is cut off, starts anew behind the cut under the same id, and
// carries out an order that was meant for its former life; the book is done there before the cut
// heals. The first look after it must not acknowledge ends by the former life's numbers: the
// worker would forget the success before anybody heard of it.
func TestAckAfterBrokenContact(t *testing.T) {
	b := newBench(t, 1, 1).open()
	b.core.Admit(b.now, one("j", nil))
	o := b.plan(sched.VerbStart)[0]
	b.look(o.Life.ID, sched.Report{Finished: []sched.Finished{finished(1, o, sched.EndFailed)}})
	b.store()
	l, _ := b.core.Look(b.now, o.Life.ID)
	if l.Acked != 1 {
		t.Fatalf("acknowledged up to %d, want 1", l.Acked)
	}
	b.core.Missed(b.now, o.Life.ID, 1)
	if l, _ = b.core.Look(b.now, o.Life.ID); l.Acked != 0 {
		t.Errorf("after a look without an answer, ends up to %d are acknowledged to whoever answers next", l.Acked)
	}
	b.look(o.Life.ID, sched.Report{})
	if l, _ = b.core.Look(b.now, o.Life.ID); l.Acked != 1 {
		t.Errorf("with the same life again, ends up to %d are acknowledged, want 1", l.Acked)
	}
}
