package sched_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

var entrySeeds = flag.Uint64("entry-seeds", 40, "number of seeds of TestOutdatedEntries")

// entrySimulation plays workers that come back under their ids with other properties, to holders that read the directory late,
// read outdated entries of it and follow each other.
type entrySimulation struct {
	rand     *rand.Rand
	core     *sched.Core
	now      time.Time
	term     int64
	jobs     []*sched.Job
	workers  []sched.Member        // the present incarnations
	entries  [][]sched.Member      // all entries that each worker has written, the newest last
	ended    [][]sched.FinishedRun // ends of the present incarnations that aren't acknowledged
	seq      []int64               // number of the last end of each
	recorded []byte                // the stored record of tracked workers
	later    int                   // starts on incarnations after the first one of a worker
}

// evacuatedZone is the zone that operators have taken out of service.
const evacuatedZone = "out"

func newEntrySimulation(seed uint64) *entrySimulation {
	s := &entrySimulation{rand: rand.New(rand.NewPCG(seed, 2)), now: epoch(), recorded: []byte("[]")}
	for i := range 4 {
		s.workers = append(s.workers, s.newIncarnation(fmt.Sprintf("w%d", i), 1))
		s.entries = append(s.entries, []sched.Member{s.workers[i]})
	}
	s.ended, s.seq = make([][]sched.FinishedRun, len(s.workers)), make([]int64, len(s.workers))
	s.changeHolder()
	return s
}

// newIncarnation returns the entry of an incarnation with random properties.
func (s *entrySimulation) newIncarnation(id string, startedAt int64) sched.Member {
	return sched.Member{
		Incarnation: sched.Incarnation{ID: id, StartedAt: startedAt}, Addr: id, Labels: []string{s.pick("a", "b")}, Rack: s.pick("r1", "r2"),
		Service: s.pick("s", "s", "t"), Zone: s.pick("z", "z", evacuatedZone), Size: wire.Size{CPU: 2000 + 6000*s.rand.IntN(2), Mem: 2000 + 6000*s.rand.IntN(2)},
	}
}

// pick returns one of the values at random.
func (s *entrySimulation) pick(values ...string) string { return values[s.rand.IntN(len(values))] }

// changeHolder begins the term of the next holder, which knows the stored record and reads the directory.
func (s *entrySimulation) changeHolder() {
	s.term++
	s.core = sched.New(sched.Options{WorkerLease: lease, MaxUnconfirmed: maxUnconfirmed, MaxStopTime: 200 * time.Millisecond, Term: s.term}, s.now)
	var tracked []sched.Member
	if err := json.Unmarshal(s.recorded, &tracked); err != nil {
		panic(err)
	}
	s.core.InheritWorkers(s.now, tracked)
	s.core.SetEvacuatedZones(map[string]bool{evacuatedZone: true})
	s.core.ConfirmHolder(s.now)
	s.readDirectory()
}

// readDirectory applies a list of the directory in which each entry may be outdated.
func (s *entrySimulation) readDirectory() {
	var list []sched.Member
	for _, written := range s.entries {
		list = append(list, written[max(0, len(written)-1-s.rand.IntN(2))])
	}
	s.core.UpdateDirectory(s.now, list)
}

// storeTracked stores the record of tracked workers.
func (s *entrySimulation) storeTracked() {
	tracked := s.core.TrackedWorkers()
	s.recorded, _ = json.Marshal(tracked)
	s.core.MarkTracked(tracked)
}

// restart starts the next incarnation of a worker, which writes its entry later.
func (s *entrySimulation) restart(i int) {
	s.workers[i] = s.newIncarnation(s.workers[i].ID, s.workers[i].StartedAt+1)
	s.ended[i], s.seq[i] = nil, 0
}

// writeEntry lets a worker write its entry.
func (s *entrySimulation) writeEntry(i int) {
	if written := s.entries[i]; written[len(written)-1].StartedAt < s.workers[i].StartedAt {
		s.entries[i] = append(written, s.workers[i])
	}
}

// poll lets a worker answer a poll.
func (s *entrySimulation) poll(i int) {
	m := s.workers[i]
	req, known := s.core.NextPoll(s.now, m.ID)
	if !known {
		return
	}
	s.ended[i] = slices.DeleteFunc(s.ended[i], func(f sched.FinishedRun) bool { return f.Seq <= req.AckedSeq })
	sent := s.now
	s.advance(time.Millisecond)
	s.core.HandleReport(sent, s.now, m.ID, sched.Report{StartedAt: m.StartedAt, Clock: s.now.Sub(epoch()), Finished: s.ended[i]})
	s.core.NextPoll(s.now, m.ID)
}

// advance lets time pass, after which the store confirms the holder again.
func (s *entrySimulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.core.ConfirmHolder(s.now)
}

// submit adds a job of one task that some of the workers can't run.
func (s *entrySimulation) submit() {
	j := oneTaskJob(fmt.Sprintf("j%d", len(s.jobs)), func(j *sched.Job) {
		j.AcceptedAt, j.Service = s.now, s.pick("s", "s", "t")
		step := &j.Steps[0]
		step.RequiredLabel, step.Size = s.pick("", "a", "b"), wire.Size{CPU: 500 + 3000*s.rand.IntN(2), Mem: 500 + 3000*s.rand.IntN(2)}
	})
	s.jobs = append(s.jobs, j)
	s.core.AddJob(s.now, j)
}

// plan carries out the orders of a plan, and returns an error if a start is sent to an incarnation that can't run the task. A
// start for an incarnation that has ended unnoticed isn't executed.
func (s *entrySimulation) plan() error {
	for _, o := range s.core.Plan(s.now) {
		if s.rand.IntN(8) == 0 {
			s.readDirectory()
		}
		if s.core.CheckSend(s.now, o) != sched.CauseNone {
			s.core.HandleOutcome(s.now, o, sched.OutcomeUnsent)
			continue
		}
		i := slices.IndexFunc(s.workers, func(m sched.Member) bool { return m.ID == o.Incarnation.ID })
		m := s.workers[i]
		if o.Verb != sched.VerbStart || o.Incarnation != m.Incarnation {
			s.core.HandleOutcome(s.now, o, sched.OutcomeUnknown)
			continue
		}
		if err := s.check(o, m); err != nil {
			return err
		}
		s.ended[i] = append(s.ended[i], sched.FinishedRun{Seq: s.nextSeq(i), Task: o.Task.String(), Run: o.Run, End: sched.EndDone})
		s.core.HandleOutcome(s.now, o, sched.OutcomeDone)
		if m.StartedAt > 1 {
			s.later++
		}
	}
	return nil
}

// nextSeq returns the number of a worker's next end.
func (s *entrySimulation) nextSeq(i int) int64 {
	s.seq[i]++
	return s.seq[i]
}

// check returns an error if a worker can't run the task of a start.
func (s *entrySimulation) check(o sched.Order, m sched.Member) error {
	var n int
	_, _ = fmt.Sscanf(o.Task.Job, "j%d", &n)
	j := s.jobs[n]
	step := j.Steps[0]
	if j.Service == m.Service && (step.RequiredLabel == "" || step.RequiredLabel == m.Labels[0]) && m.Size.Covers(step.Size) && m.Zone != evacuatedZone {
		return nil
	}
	return fmt.Errorf("a task of %s that requires %q and %+v is started on %+v", j.Service, step.RequiredLabel, step.Size, m)
}

// step plays one random event.
func (s *entrySimulation) step() error {
	s.advance(time.Duration(s.rand.IntN(60)) * time.Millisecond)
	i := s.rand.IntN(len(s.workers))
	switch s.rand.IntN(30) {
	case 0:
		s.restart(i)
	case 1:
		if s.rand.IntN(4) == 0 {
			s.changeHolder()
		}
	case 2, 3, 4:
		s.submit()
	case 5, 6:
		s.writeEntry(i)
	case 7, 8:
		s.readDirectory()
	case 9, 10:
		written := s.entries[i]
		s.core.UpdateMembers(s.now, []sched.Member{written[s.rand.IntN(len(written))]}, nil)
	case 11:
		s.core.UpdateMembers(s.now, nil, []string{s.workers[i].ID})
	case 12, 13, 14, 15:
		s.storeTracked()
	case 16:
		s.core.PollFailed(s.now, s.workers[i].ID, s.workers[i].StartedAt)
	case 17, 18, 19, 20, 21, 22, 23:
		s.poll(i)
	default:
		return s.plan()
	}
	return nil
}

// Guards against tasks on workers that can't run them: in any order of restarts, reads of the directory that return outdated
// entries, and changes of the holder, an entry must not count for another incarnation than the one that wrote it.
func TestOutdatedEntries(t *testing.T) {
	later := 0
	for seed := range *entrySeeds {
		s := newEntrySimulation(seed)
		for n := range 3000 {
			if err := s.step(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, n, err)
			}
		}
		later += s.later
	}
	if later < 10*int(*entrySeeds) {
		t.Errorf("%d starts on incarnations after the first, too few to check", later)
	}
}
