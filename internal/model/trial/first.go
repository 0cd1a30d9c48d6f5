package trial

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// first is the baseline: first come first served, each task on the first worker where what it
// declares fits. Serving tasks count with what they use on average, so that filling ones
// fit beside them; nothing is slowed or moved.
type first struct {
	members []sched.Member
	used    map[string]wire.Size // what is declared, filling tasks without their processors
	busy    map[string]int       // millicores likely to be used
	acked   map[string]int64
	jobs    []*firstJob
	byID    map[string]*firstJob
	runs    int64
}

type firstJob struct {
	*sched.Job
	left  []int            // tasks of each step that aren't done
	state []map[int]string // worker of each task that runs, "" when it's done
}

const (
	// lastingUse is the share of what they declare that serving tasks use.
	lastingUse = 0.5
	firstWait  = 1800 * time.Millisecond
)

func newFirst(time.Time) Policy {
	return &first{used: map[string]wire.Size{}, busy: map[string]int{}, acked: map[string]int64{}, byID: map[string]*firstJob{}}
}

func (f *first) Join(_ time.Time, members []sched.Member) {
	for _, m := range f.members {
		if !slices.ContainsFunc(members, func(n sched.Member) bool { return n.Incarnation == m.Incarnation }) {
			f.lose(m.ID)
		}
	}
	f.members = members
}

// lose has the tasks of a worker that has left begun anew.
func (f *first) lose(id string) {
	for _, j := range f.jobs {
		for i := range j.state {
			for t, at := range j.state[i] {
				if at == id {
					delete(j.state[i], t)
				}
			}
		}
	}
	f.used[id], f.busy[id], f.acked[id] = wire.Size{}, 0, 0
}

func (f *first) Missed(time.Time, sched.Incarnation) {}

func (f *first) Admit(_ time.Time, j *sched.Job) {
	fj := &firstJob{Job: j}
	for _, s := range j.Steps {
		fj.left = append(fj.left, s.Count)
		fj.state = append(fj.state, map[int]string{})
	}
	f.jobs = append(f.jobs, fj)
	f.byID[j.ID] = fj
}

func (f *first) Poll(_ time.Time, id string) (time.Duration, int64) { return firstWait, f.acked[id] }

func (f *first) Hear(_, _ time.Time, id string, rep sched.Report) {
	for _, e := range rep.Finished {
		t, err := sched.ParseTaskID(e.Task)
		if e.Seq <= f.acked[id] || err != nil {
			continue
		}
		f.acked[id] = e.Seq
		j := f.byID[t.Job]
		f.count(id, &j.Steps[t.Step], -1)
		if e.End == sched.EndDone {
			j.state[t.Step][t.Index] = ""
			j.left[t.Step]--
		} else {
			delete(j.state[t.Step], t.Index)
		}
	}
}

func (f *first) count(id string, s *sched.Step, sign int) {
	u := f.used[id]
	use := s.Size.CPU
	if s.LongRunning {
		use = int(lastingUse * float64(use))
	}
	f.busy[id] += sign * use
	if !s.BestEffort {
		u.CPU += sign * s.Size.CPU
	}
	u.Mem += sign * s.Size.Mem
	f.used[id] = u
}

func (f *first) fits(m sched.Member, s *sched.Step) bool {
	z := s.Size
	if s.BestEffort {
		z.CPU = 0
		if f.busy[m.ID]+s.Size.CPU > m.Size.CPU {
			return false
		}
	}
	return m.Size.Minus(f.used[m.ID]).Covers(z)
}

func (f *first) Plan(time.Time) []sched.Order {
	var orders []sched.Order
	for _, j := range f.jobs {
		for i := range j.Steps {
			if j.ready(i) {
				orders = f.start(j, i, orders)
			}
		}
	}
	return orders
}

func (j *firstJob) ready(i int) bool {
	for _, a := range j.Steps[i].DependsOn {
		if j.left[a] > 0 {
			return false
		}
	}
	return j.left[i] > 0
}

func (f *first) start(j *firstJob, i int, orders []sched.Order) []sched.Order {
	s := &j.Steps[i]
	for t := range s.Count {
		if _, taken := j.state[i][t]; taken {
			continue
		}
		for _, m := range f.members {
			if !f.fits(m, s) || s.MaxPerWorker > 0 && j.on(i, m.ID) >= s.MaxPerWorker {
				continue
			}
			f.runs++
			f.count(m.ID, s, 1)
			j.state[i][t] = m.ID
			id := sched.TaskID{Job: j.ID, Step: i, Index: t}
			orders = append(orders, sched.Order{Verb: sched.VerbStart, Incarnation: m.Incarnation, Task: id, Run: f.runs})
			break
		}
	}
	return orders
}

func (j *firstJob) on(step int, worker string) int {
	n := 0
	for _, w := range j.state[step] {
		if w == worker {
			n++
		}
	}
	return n
}

func (f *first) Answer(_ time.Time, o sched.Order, out sched.Outcome) {
	if o.Verb == sched.VerbStart && out != sched.OutcomeDone {
		j := f.byID[o.Task.Job]
		if j.state[o.Task.Step][o.Task.Index] != o.Incarnation.ID {
			return // lost with its worker
		}
		f.count(o.Incarnation.ID, &j.Steps[o.Task.Step], -1)
		delete(j.state[o.Task.Step], o.Task.Index)
	}
}

func (f *first) Completed(id string) bool {
	j := f.byID[id]
	if j == nil {
		return false
	}
	for _, n := range j.left {
		if n > 0 {
			return false
		}
	}
	return true
}

func (f *first) Failed(string) bool { return false }
