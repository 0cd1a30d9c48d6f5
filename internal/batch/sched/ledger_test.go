package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// ledger plays workers that answer, refuse, lose answers, fall silent and start anew, at random.
type ledger struct {
	rng     *rand.Rand
	core    *Core
	now     time.Time
	members []Member
	running map[string][]Running
	ended   map[string][]Finished
	jobs    int
	starved int // starts of starved jobs
}

func newLedger(seed uint64) *ledger {
	l := &ledger{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		running: map[string][]Running{}, ended: map[string][]Finished{},
	}
	l.core = New(Options{Lease: 5 * time.Second, Sure: 3 * time.Second, Stop: 400 * time.Millisecond, Term: 1}, l.now)
	for i := range 4 {
		l.members = append(l.members, Member{Life: Life{fmt.Sprintf("w%d", i), 1}, Service: "s", Size: wire.Size{CPU: 16000, Mem: 64000}})
	}
	l.core.Roster(l.now, l.members)
	l.core.TrackedStored(l.core.Tracked())
	return l
}

func (l *ledger) submit() {
	j := &Job{ID: fmt.Sprintf("j%d", l.jobs), Queue: "q", Service: "s", Tries: 3, At: l.now, Stretch: 2}
	l.jobs++
	for i := range 1 + l.rng.IntN(3) {
		s := Step{Count: 1 + l.rng.IntN(4), Size: wire.Size{CPU: 500 + l.rng.IntN(8000), Mem: 2000 + l.rng.IntN(20000)}, Image: fmt.Sprint(l.rng.IntN(3)), Estimate: time.Second}
		switch l.rng.IntN(6) {
		case 0:
			s.Lasting, s.Target = true, 24*time.Millisecond
		case 1:
			s.Gang = true
		case 2:
		default:
			s.Fills, s.Saves = true, l.rng.IntN(2) == 0
		}
		if i > 0 && l.rng.IntN(2) == 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	l.core.Admit(l.now, j)
}

func (l *ledger) plan() {
	for _, o := range l.core.Plan(l.now) {
		if o.Starved {
			l.starved++
		}
		if l.core.Depart(l.now, o) != CauseNone {
			l.core.Answer(l.now, o, OutcomeUnsent)
			continue
		}
		out := []Outcome{OutcomeDone, OutcomeDone, OutcomeDone, OutcomeDone, OutcomeUnknown, OutcomeRoom, OutcomeSick, OutcomeOld, OutcomeLate, OutcomeBad}[l.rng.IntN(10)]
		id := o.Life.ID
		switch {
		case o.Verb == VerbStart && (out == OutcomeDone || out == OutcomeUnknown && l.rng.IntN(2) == 0):
			l.running[id] = append(l.running[id], Running{Task: o.Task.String(), Run: o.Run, Part: 100})
		case o.Verb == VerbStop && out == OutcomeDone:
			l.end(id, o.Task.String(), EndStopped)
		}
		l.core.Answer(l.now, o, out)
	}
}

// end has a task's run end, or, without a name, any.
func (l *ledger) end(id, task string, how End) {
	for i, r := range l.running[id] {
		if task != "" && r.Task != task || task == "" && l.rng.IntN(2) == 0 {
			continue
		}
		l.running[id] = append(l.running[id][:i:i], l.running[id][i+1:]...)
		l.ended[id] = append(l.ended[id], Finished{Seq: int64(len(l.ended[id]) + 1), Task: r.Task, Run: r.Run, How: how})
		return
	}
}

func (l *ledger) poll(i int) {
	m := l.members[i]
	sent := l.now.Add(-time.Duration(l.rng.IntN(5)) * time.Millisecond)
	l.core.Poll(sent, m.ID)
	rep := Report{Born: m.Born, Clock: l.now.Sub(time.UnixMilli(m.Born)), Finished: l.ended[m.ID]}
	for _, r := range l.running[m.ID] {
		r.Tail, r.Usage = time.Duration(10+l.rng.IntN(20))*time.Millisecond, 3000
		rep.Running = append(rep.Running, r)
	}
	l.core.Hear(sent, l.now, m.ID, rep)
	l.core.Poll(l.now, m.ID)
}

func (l *ledger) step() {
	l.now = l.now.Add(time.Duration(l.rng.IntN(100)) * time.Millisecond)
	l.core.Confirm(l.now)
	i := l.rng.IntN(len(l.members))
	m := &l.members[i]
	switch l.rng.IntN(40) {
	case 0, 1, 2:
		if l.jobs < 400 {
			l.submit()
		}
	case 3:
		l.core.Cancel(l.now, fmt.Sprintf("j%d", l.rng.IntN(l.jobs+1)))
	case 4:
		l.core.Missed(l.now, m.ID, m.Born)
	case 5:
		if l.rng.IntN(4) == 0 {
			m.Born++
			l.running[m.ID], l.ended[m.ID] = nil, nil
			switch l.rng.IntN(3) {
			case 0:
				l.core.Gone(l.now, m.ID, m.Born-1)
			case 1:
				l.core.Roster(l.now, l.members)
			}
		}
	case 6:
		if l.rng.IntN(8) == 0 {
			l.now = l.now.Add(7 * time.Second) // leases lapse
			l.core.Confirm(l.now)
		}
	case 7:
		// A run that this holder doesn't know of.
		l.running[m.ID] = append(l.running[m.ID], Running{Task: fmt.Sprintf("j%d.0.%d.0", l.rng.IntN(l.jobs+1), l.rng.IntN(3)), Run: 500000 + int64(l.rng.IntN(1000))})
	case 8, 9, 10, 11, 12, 13:
		l.end(m.ID, "", []End{EndDone, EndDone, EndDone, EndFailed, EndLapsed}[l.rng.IntN(5)])
	case 14:
		l.core.TrackedStored(l.core.Tracked())
		if b, err := l.core.Collect(100); err == nil {
			l.core.Committed(b)
		}
		l.core.Forget(l.now, 5*time.Second)
	case 15, 16, 17, 18, 19, 20, 21, 22, 23, 24:
		l.poll(i)
	default:
		l.plan()
	}
}

// check compares what is counted with the runs that are there.
func (l *ledger) check() error {
	live := map[*job]int{}
	starved := 0
	for _, w := range l.core.workers {
		if len(w.list) != len(w.runs) {
			return fmt.Errorf("worker %s lists %d runs of %d", w.ID, len(w.list), len(w.runs))
		}
		var used wire.Size
		mem, fill, base := 0, 0, 0
		for _, r := range w.list {
			if r.task == nil {
				continue
			}
			live[r.task.stage.job]++
			if r.starved {
				starved++
			}
			switch s := r.task.stage.spec; {
			case s.Fills:
				mem, fill = mem+s.Size.Mem, fill+s.Size.CPU
			default:
				used.CPU, used.Mem = used.CPU+s.Size.CPU, used.Mem+s.Size.Mem
				if s.Lasting {
					base += s.Size.CPU
				}
			}
		}
		if used != w.used || mem != w.mem || fill != w.fill || base != w.lasting.CPU {
			return fmt.Errorf("worker %s counts %v %d %d %d, has %v %d %d %d", w.ID, w.used, w.mem, w.fill, w.lasting.CPU, used, mem, fill, base)
		}
	}
	if l.core.starved != starved {
		return fmt.Errorf("%d runs of starved jobs are counted, %d are there", l.core.starved, starved)
	}
	for id, j := range l.core.jobs {
		if j.live != live[j] {
			return fmt.Errorf("job %s counts %d runs, has %d", id, j.live, live[j])
		}
		delete(live, j)
		for _, r := range j.rounds {
			for _, s := range r.stages {
				waiting, left := 0, 0
				for _, t := range s.tasks {
					if !t.done {
						left++
						if t.run == nil {
							waiting++
						}
					}
				}
				if s.waiting != waiting || s.left != left {
					return fmt.Errorf("step %d of %s counts %d of %d waiting, has %d of %d", s.idx, id, s.waiting, s.left, waiting, left)
				}
			}
		}
	}
	for j, n := range live {
		if n > 0 {
			return fmt.Errorf("job %s was forgotten with %d runs", j.ID, n)
		}
	}
	return nil
}

// A job whose runs are miscounted is never taken for starved, or never forgotten.
func TestLedgerCounts(t *testing.T) {
	starved := 0
	for seed := range uint64(8) {
		l := newLedger(seed)
		for n := range 3000 {
			l.step()
			if err := l.check(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, n, err)
			}
		}
		starved += l.starved
	}
	if starved == 0 {
		t.Error("no job was starved")
	}
}
