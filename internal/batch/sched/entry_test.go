package sched_test

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// changedEntry is a worker whose two incarnations have different entries in the directory.
type changedEntry struct {
	name         string
	former, next func(*sched.Member) // what their entries say other than members; nil: the same
	unfit        func(*sched.Job)    // changes the job to one that the next incarnation can't run; nil: it can run any
	fit          func(*sched.Job)    // changes it to one that the next incarnation can run; nil: it can run none
}

// changedEntries differ by one property each.
func changedEntries() []changedEntry {
	label := func(l string) func(*sched.Member) { return func(m *sched.Member) { m.Labels = []string{l} } }
	cpu := func(n int) func(*sched.Member) { return func(m *sched.Member) { m.Size.CPU = n } }
	zone := func(z string) func(*sched.Member) { return func(m *sched.Member) { m.Zone = z } }
	drain := func(m *sched.Member) { m.Draining, m.DrainRemaining = true, time.Minute }
	requires := func(l string) func(*sched.Job) { return func(j *sched.Job) { j.Steps[0].RequiredLabel = l } }
	uses := func(n int) func(*sched.Job) { return func(j *sched.Job) { j.Steps[0].Size.CPU = n } }
	of := func(service string) func(*sched.Job) { return func(j *sched.Job) { j.Service = service } }
	every := func(*sched.Job) {}
	return []changedEntry{
		{"label", label("b"), label("a"), requires("b"), requires("a")},
		{"label lost", label("b"), func(m *sched.Member) { m.Labels = nil }, requires("b"), every},
		{"smaller", nil, cpu(2000), uses(6000), every},
		{"larger", cpu(2000), nil, nil, uses(8000)},
		{"less memory", nil, func(m *sched.Member) { m.Size.Mem = 1500 }, func(j *sched.Job) { j.Steps[0].Size.Mem = 2000 }, every},
		{"service", nil, func(m *sched.Member) { m.Service = "t" }, of("s"), of("t")},
		{"into an evacuated zone", nil, zone(evacuatedZone), every, nil},
		{"out of an evacuated zone", zone(evacuatedZone), nil, nil, every},
		{"rack", nil, func(m *sched.Member) { m.Rack = "r2" }, nil, func(j *sched.Job) { j.Steps[0].DataRack = "r2" }},
		{"drain begun", nil, drain, every, nil},
		{"drain over", drain, nil, nil, every},
	}
}

// entry returns the directory with the entry of an incarnation of w0.
func (e changedEntry) entry(startedAt int64) []sched.Member {
	directory := members(1)
	change := e.former
	if startedAt > 1 {
		change = e.next
	}
	if change != nil {
		change(&directory[0])
	}
	directory[0].StartedAt = startedAt
	return directory
}

// changeHolder replaces the core by that of a successor, which takes over the given tracked workers as they are stored and reads
// the given directory.
func (b *harness) changeHolder(tracked, directory []sched.Member) {
	b.t.Helper()
	data, err := json.Marshal(tracked)
	if err != nil {
		b.t.Fatal(err)
	}
	var restored []sched.Member
	if err := json.Unmarshal(data, &restored); err != nil {
		b.t.Fatal(err)
	}
	b.core = sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: maxUnconfirmed, Term: 2}, b.now)
	b.core.InheritWorkers(b.now, restored)
	b.core.UpdateDirectory(b.now, directory)
	b.core.SetEvacuatedZones(map[string]bool{evacuatedZone: true})
	b.advance(time.Millisecond)
	b.core.MarkTracked(b.core.TrackedWorkers())
}

// Guards against tasks on a worker that can't run them: it is back under its id as another kind, smaller, in another service or
// zone, or draining, and an entry of its former incarnation counts for the new one.
func TestEntryOfFormerIncarnation(t *testing.T) {
	for _, learn := range []struct {
		name string
		play func(b *harness, former, next []sched.Member)
		told bool // the entry of the new incarnation has been read
	}{
		{"report", func(b *harness, _, _ []sched.Member) { b.poll("w0", sched.Report{StartedAt: 2}) }, false},
		{"report, then the former entry by a watch", func(b *harness, former, _ []sched.Member) {
			b.poll("w0", sched.Report{StartedAt: 2})
			b.core.UpdateMembers(b.now, former, nil)
		}, false},
		{"report, then the former entry in a list", func(b *harness, former, _ []sched.Member) {
			b.poll("w0", sched.Report{StartedAt: 2})
			b.core.UpdateDirectory(b.now, former)
		}, false},
		{"report, then an entry of no incarnation", func(b *harness, former, _ []sched.Member) {
			b.poll("w0", sched.Report{StartedAt: 2})
			former[0].StartedAt = 0
			b.core.UpdateMembers(b.now, former, nil)
		}, false},
		{"new entry, then the former one in a list", func(b *harness, former, next []sched.Member) {
			b.core.UpdateMembers(b.now, next, nil)
			b.poll("w0", sched.Report{StartedAt: 2})
			b.core.UpdateDirectory(b.now, former)
		}, true},
		{"answer to a start, then a report", func(b *harness, _, _ []sched.Member) {
			b.core.AddJob(b.now, oneTaskJob("last", func(j *sched.Job) { j.Steps[0].Size = wire.Size{CPU: 100, Mem: 100} }))
			for _, o := range b.core.Plan(b.now) {
				b.core.HandleOutcome(b.now, o, sched.OutcomeDoneByLater)
			}
			b.poll("w0", sched.Report{StartedAt: 2})
		}, false},
		{"record of a former holder, former entry", func(b *harness, former, _ []sched.Member) {
			b.poll("w0", sched.Report{StartedAt: 2})
			b.core.UpdateMembers(b.now, former, nil)
			b.changeHolder(b.core.TrackedWorkers(), former)
			b.poll("w0", sched.Report{StartedAt: 2})
		}, false},
		{"record of a former holder, no entry", func(b *harness, _, _ []sched.Member) {
			b.poll("w0", sched.Report{StartedAt: 2})
			b.changeHolder(b.core.TrackedWorkers(), nil)
			b.poll("w0", sched.Report{StartedAt: 2})
		}, false},
		{"record in which an older build has the new incarnation with the former entry", func(b *harness, former, _ []sched.Member) {
			mixed := slices.Clone(former)
			mixed[0].StartedAt = 2
			b.changeHolder(mixed, former)
			b.poll("w0", sched.Report{StartedAt: 2})
		}, false},
		{"report to the next holder", func(b *harness, former, _ []sched.Member) {
			b.changeHolder(b.core.TrackedWorkers(), former)
			b.poll("w0", sched.Report{StartedAt: 2})
		}, false},
	} {
		for _, tt := range changedEntries() {
			t.Run(learn.name+"/"+tt.name, func(t *testing.T) {
				b := newHarness(t, 1, 1)
				b.core.SetEvacuatedZones(map[string]bool{evacuatedZone: true})
				b.core.UpdateDirectory(b.now, tt.entry(1))
				b.openWorkers()
				learn.play(b, tt.entry(1), tt.entry(2))
				b.core.MarkTracked(b.core.TrackedWorkers())
				b.poll("w0", sched.Report{StartedAt: 2})
				if tt.unfit != nil {
					b.core.AddJob(b.now, oneTaskJob("unfit", tt.unfit))
				}
				if tt.fit != nil {
					b.core.AddJob(b.now, oneTaskJob("fit", tt.fit))
				}
				started := map[string]bool{}
				plan := func() {
					for _, o := range b.planOrders(sched.VerbStart) {
						started[o.Task.Job] = true
					}
				}
				if plan(); len(started) > 0 && !learn.told {
					t.Errorf("%v started before an entry of the incarnation was read", started)
				}
				b.core.UpdateMembers(b.now, tt.entry(2), nil)
				plan()
				if started["unfit"] || started["fit"] != (tt.fit != nil) {
					t.Errorf("started %v; want the job that fits (there is one: %t), and no other", started, tt.fit != nil)
				}
			})
		}
	}
}

// Guards against a worker that gets no task for good: its new incarnation's entry says the same as that of the former one, and
// is taken for known.
func TestSameEntryOfNewIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.poll("w0", sched.Report{StartedAt: 2})
	b.core.UpdateDirectory(b.now, members(1))
	b.core.MarkTracked(b.core.TrackedWorkers())
	directory := members(1)
	directory[0].StartedAt = 2
	b.core.UpdateMembers(b.now, directory, nil)
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	if got := b.planOrders(sched.VerbStart); len(got) != 1 {
		t.Errorf("starts %v, want one", got)
	}
}

// Guards against a worker that gets no task, of which neither the log nor the metrics tell that the directory doesn't show it.
func TestMissingEntryIsReported(t *testing.T) {
	b := newHarness(t, 1, 2).openWorkers()
	if n := b.core.Stats(b.now).EntriesMissing; n != 0 {
		t.Errorf("%d entries are missing before the restart, want none", n)
	}
	b.core.HandleReport(b.now, b.now, "w0", sched.Report{StartedAt: 2})
	noticed := b.now
	b.advance(300 * time.Millisecond)
	b.poll("w0", sched.Report{StartedAt: 2})
	b.core.UpdateDirectory(b.now, members(2))
	if n := b.core.Stats(b.now).EntriesMissing; n != 1 {
		t.Errorf("%d entries are missing after the restart, want one", n)
	}
	b.core.TakeEvents()
	b.list("w0", 2)
	b.list("w0", 2)
	want := sched.WorkerListed{Worker: "w0", StartedAt: 2, Waited: b.now.Sub(noticed)}
	if got := b.core.TakeEvents().Listed; len(got) != 1 || got[0] != want {
		t.Errorf("events %+v, want %+v", got, want)
	}
	if n := b.core.Stats(b.now).EntriesMissing; n != 0 {
		t.Errorf("%d entries are missing once it was read, want none", n)
	}
}

// Guards against a successor that knows a worker by the properties of a former incarnation: the record of tracked workers names
// the new one.
func TestTrackedWorkerOfUnknownKind(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.poll("w0", sched.Report{StartedAt: 2})
	b.core.UpdateDirectory(b.now, members(1))
	for _, m := range b.core.TrackedWorkers() {
		if m.StartedAt != 2 || m.Addr != "h0:1" || m.Size != (wire.Size{}) || len(m.Labels) > 0 || m.Service+m.Zone+m.Rack != "" {
			t.Errorf("tracked as %+v, want the incarnation and its address only", m)
		}
	}
}

// Guards against tasks by an entry that names no incarnation, and may be of a former one, on a worker that names its incarnation in its
// answers. A worker that names none anywhere gets tasks: its restarts can't be told.
func TestEntryWithoutIncarnation(t *testing.T) {
	const known = 1
	for _, tt := range []struct {
		name     string
		entries  []int64 // incarnations of the entries, one after the other; 0: none
		reported int64   // that the worker's answers name
		starts   int
	}{
		{"after that of the incarnation", []int64{known, 0}, known, 0},
		{"first", []int64{0}, known, 0},
		{"before that of the incarnation", []int64{0, known}, known, 1},
		{"no incarnation anywhere", []int64{0}, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 0)
			for _, startedAt := range tt.entries {
				b.list("w0", startedAt)
				sent := b.now
				b.advance(time.Millisecond)
				b.core.HandleReport(sent, b.now, "w0", sched.Report{StartedAt: tt.reported, Clock: time.Second})
				b.core.MarkTracked(b.core.TrackedWorkers())
				b.core.NextPoll(b.now, "w0")
			}
			b.core.AddJob(b.now, oneTaskJob("j", nil))
			if got := b.planOrders(sched.VerbStart); len(got) != tt.starts {
				t.Errorf("starts %v, want %d", got, tt.starts)
			}
		})
	}
}

// Guards against a worker that is called at the address of its former incarnation.
func TestAddrOfFormerIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	directory := members(1)
	directory[0].StartedAt, directory[0].Addr = 2, "h9:1"
	b.core.UpdateDirectory(b.now, directory)
	b.core.UpdateDirectory(b.now, members(1))
	if req, _ := b.core.NextPoll(b.now, "w0"); req.Addr != "h9:1" {
		t.Errorf("polled at %s, want the address of the new incarnation", req.Addr)
	}
}

// Guards against a long-running task that stands still for want of room: its worker drains, and room for it is reserved on a worker
// that has lost the label it requires, or is back as another kind, while others fill the worker that could take it.
func TestRelocationToOtherKind(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(b *harness, dest *sched.Member)
	}{
		{"restarted", func(b *harness, dest *sched.Member) {
			b.poll(dest.ID, sched.Report{StartedAt: 2})
			dest.StartedAt = 2
			b.core.UpdateMembers(b.now, []sched.Member{*dest}, nil)
			b.core.MarkTracked(b.core.TrackedWorkers())
		}},
		{"restarted, smaller", func(b *harness, dest *sched.Member) {
			b.poll(dest.ID, sched.Report{StartedAt: 2})
			dest.StartedAt, dest.Labels, dest.Size.CPU = 2, []string{"big"}, 8000
			b.core.UpdateMembers(b.now, []sched.Member{*dest}, nil)
			b.core.MarkTracked(b.core.TrackedWorkers())
		}},
		{"label removed", func(b *harness, dest *sched.Member) { b.core.UpdateMembers(b.now, []sched.Member{*dest}, nil) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 3)
			directory := members(3)
			for i := range directory {
				directory[i].Labels = []string{"big"}
			}
			b.core.UpdateDirectory(b.now, directory)
			b.openWorkers()
			b.core.AddJob(b.now, longRunningJob("long", 10000, "big"))
			o := b.planOrders(sched.VerbStart)[0]
			b.poll("w0", sched.Report{Running: []sched.RunStatus{runStatus(o)}})
			directory[0].Draining, directory[0].DrainRemaining = true, 4*time.Second
			b.core.UpdateDirectory(b.now, directory)
			b.planOrders(sched.VerbStart) // reserves the room on w1
			directory[1].Labels = nil
			tt.change(b, &directory[1])
			b.core.AddJob(b.now, longRunningJob("other", directory[1].Size.CPU, ""))
			for range 80 {
				for i, m := range directory {
					rep := sched.Report{StartedAt: m.StartedAt}
					if i == 0 {
						rep.Running = []sched.RunStatus{runStatus(o)}
					}
					b.poll(m.ID, rep)
				}
				if len(b.planOrders(sched.VerbStop)) > 0 {
					break
				}
				b.advance(50 * time.Millisecond)
			}
			b.poll("w0", sched.Report{Finished: []sched.FinishedRun{finishedRun(1, o, sched.EndStopped)}})
			if got := b.planOrders(sched.VerbStart); len(got) != 1 || got[0].Task.Job != "long" || got[0].Incarnation.ID != "w2" {
				t.Errorf("starts %v, want the long-running task on w2", got)
			}
		})
	}
}

// Guards against a colocated gang that is spread over racks although one rack has room for it: a worker whose rack isn't known
// counts as a rack of its own.
func TestGangBesideUnknownRack(t *testing.T) {
	b := newHarness(t, 1, 5)
	directory := members(5)
	for i := range directory {
		directory[i].Rack = []string{"r0", "r1", "r1", "r2", "r2"}[i]
		directory[i].Size.CPU = []int{16000, 4000, 12000, 8000, 8000}[i]
	}
	b.core.UpdateDirectory(b.now, directory)
	b.openWorkers()
	b.poll("w0", sched.Report{StartedAt: 2})
	b.core.AddJob(b.now, oneTaskJob("gang", func(j *sched.Job) {
		s := &j.Steps[0]
		s.Count, s.Gang, s.SameRack, s.Size.CPU = 2, true, true, 8000
	}))
	racks := map[string]bool{}
	starts := b.planOrders(sched.VerbStart)
	for _, o := range starts {
		for _, m := range directory {
			if m.ID == o.Incarnation.ID {
				racks[m.Rack] = true
			}
		}
	}
	if len(starts) != 2 || len(racks) != 1 {
		t.Errorf("starts %v in racks %v, want two in one rack", starts, racks)
	}
}

// Guards against wrong factors of interference: what tasks use is a share of their worker's size, and that isn't known before an
// entry of its incarnation is read.
func TestNothingLearnedOfUnknownSize(t *testing.T) {
	for _, tt := range []struct {
		name   string
		listed bool
	}{{"no entry", false}, {"entry", true}} {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t, 1, 1).openWorkers()
			b.core.AddJob(b.now, oneTaskJob("feed", func(j *sched.Job) {
				s := &j.Steps[0]
				s.LongRunning, s.Image, s.TailTarget = true, "feed", 24*time.Millisecond
			}))
			b.core.AddJob(b.now, oneTaskJob("book", func(j *sched.Job) { j.Steps[0].BestEffort, j.Steps[0].Image = true, "book" }))
			initial, err := b.core.EncodeModel()
			if err != nil {
				t.Fatal(err)
			}
			var running []sched.RunStatus
			for _, o := range b.planOrders(sched.VerbStart) {
				r := runStatus(o)
				r.Progress, r.CPUUsage, r.TailLatency = 100, 900, 20*time.Millisecond
				running = append(running, r)
			}
			b.poll("w0", sched.Report{StartedAt: 2})
			if tt.listed {
				b.list("w0", 2)
			}
			for range 10 {
				b.advance(500 * time.Millisecond)
				b.poll("w0", sched.Report{StartedAt: 2, Running: running})
			}
			data, err := b.core.EncodeModel()
			if err != nil {
				t.Fatal(err)
			}
			if learned := !bytes.Equal(data, initial); learned != tt.listed {
				t.Errorf("the model has changed: %t, want %t", learned, tt.listed)
			}
		})
	}
}
