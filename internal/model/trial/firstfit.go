package trial

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// firstFitPolicy is the baseline: firstFitPolicy come firstFitPolicy served, each task on the firstFitPolicy worker where what it
// declares fits. Serving tasks count with what they use on average, so that filling ones
// fit beside them; nothing is slowed or moved.
type firstFitPolicy struct {
	members       []sched.Member
	allocated     map[string]wire.Size // what is declared, filling tasks without their processors
	expectedUsage map[string]int       // millicores likely to be used
	ackedSeq      map[string]int64
	jobs          []*firstFitJob
	jobsByID      map[string]*firstFitJob
	lastRun       int64
}

type firstFitJob struct {
	*sched.Job
	tasksLeft  []int            // tasks of each step that aren't done
	placements []map[int]string // worker of each task that runs, "" when it's done
}

const (
	// longRunningUsageShare is the share of what they declare that serving tasks use.
	longRunningUsageShare = 0.5
	firstFitPollWait      = 1800 * time.Millisecond
)

func newFirstFitPolicy(time.Time) Policy {
	return &firstFitPolicy{allocated: map[string]wire.Size{}, expectedUsage: map[string]int{}, ackedSeq: map[string]int64{}, jobsByID: map[string]*firstFitJob{}}
}

func (f *firstFitPolicy) UpdateWorkers(_ time.Time, members []sched.Member) {
	for _, m := range f.members {
		if !slices.ContainsFunc(members, func(n sched.Member) bool { return n.Incarnation == m.Incarnation }) {
			f.removeWorker(m.ID)
		}
	}
	f.members = members
}

// removeWorker has the tasks of a worker that has left begun anew.
func (f *firstFitPolicy) removeWorker(id string) {
	for _, j := range f.jobs {
		for i := range j.placements {
			for t, at := range j.placements[i] {
				if at == id {
					delete(j.placements[i], t)
				}
			}
		}
	}
	f.allocated[id], f.expectedUsage[id], f.ackedSeq[id] = wire.Size{}, 0, 0
}

func (f *firstFitPolicy) PollFailed(time.Time, sched.Incarnation) {}

func (f *firstFitPolicy) AddJob(_ time.Time, j *sched.Job) {
	fj := &firstFitJob{Job: j}
	for _, s := range j.Steps {
		fj.tasksLeft = append(fj.tasksLeft, s.Count)
		fj.placements = append(fj.placements, map[int]string{})
	}
	f.jobs = append(f.jobs, fj)
	f.jobsByID[j.ID] = fj
}

func (f *firstFitPolicy) NextPoll(_ time.Time, id string) (time.Duration, int64) {
	return firstFitPollWait, f.ackedSeq[id]
}

func (f *firstFitPolicy) HandleReport(_, _ time.Time, id string, rep sched.Report) {
	for _, e := range rep.Finished {
		t, err := sched.ParseTaskID(e.Task)
		if e.Seq <= f.ackedSeq[id] || err != nil {
			continue
		}
		f.ackedSeq[id] = e.Seq
		j := f.jobsByID[t.Job]
		f.addUsage(id, &j.Steps[t.Step], -1)
		if e.End == sched.EndDone {
			j.placements[t.Step][t.Index] = ""
			j.tasksLeft[t.Step]--
		} else {
			delete(j.placements[t.Step], t.Index)
		}
	}
}

func (f *firstFitPolicy) addUsage(id string, s *sched.Step, sign int) {
	u := f.allocated[id]
	use := s.Size.CPU
	if s.LongRunning {
		use = int(longRunningUsageShare * float64(use))
	}
	f.expectedUsage[id] += sign * use
	if !s.BestEffort {
		u.CPU += sign * s.Size.CPU
	}
	u.Mem += sign * s.Size.Mem
	f.allocated[id] = u
}

func (f *firstFitPolicy) fits(m sched.Member, s *sched.Step) bool {
	z := s.Size
	if s.BestEffort {
		z.CPU = 0
		if f.expectedUsage[m.ID]+s.Size.CPU > m.Size.CPU {
			return false
		}
	}
	return m.Size.Minus(f.allocated[m.ID]).Covers(z)
}

func (f *firstFitPolicy) Plan(time.Time) []sched.Order {
	var orders []sched.Order
	for _, j := range f.jobs {
		for i := range j.Steps {
			if j.ready(i) {
				orders = f.startTasks(j, i, orders)
			}
		}
	}
	return orders
}

func (j *firstFitJob) ready(i int) bool {
	for _, a := range j.Steps[i].DependsOn {
		if j.tasksLeft[a] > 0 {
			return false
		}
	}
	return j.tasksLeft[i] > 0
}

func (f *firstFitPolicy) startTasks(j *firstFitJob, i int, orders []sched.Order) []sched.Order {
	s := &j.Steps[i]
	for t := range s.Count {
		if _, taken := j.placements[i][t]; taken {
			continue
		}
		for _, m := range f.members {
			if !f.fits(m, s) || s.MaxPerWorker > 0 && j.tasksOn(i, m.ID) >= s.MaxPerWorker {
				continue
			}
			f.lastRun++
			f.addUsage(m.ID, s, 1)
			j.placements[i][t] = m.ID
			id := sched.TaskID{Job: j.ID, Step: i, Index: t}
			orders = append(orders, sched.Order{Verb: sched.VerbStart, Incarnation: m.Incarnation, Task: id, Run: f.lastRun})
			break
		}
	}
	return orders
}

func (j *firstFitJob) tasksOn(step int, worker string) int {
	n := 0
	for _, w := range j.placements[step] {
		if w == worker {
			n++
		}
	}
	return n
}

func (f *firstFitPolicy) HandleOutcome(_ time.Time, o sched.Order, out sched.Outcome) {
	if o.Verb == sched.VerbStart && out != sched.OutcomeDone {
		j := f.jobsByID[o.Task.Job]
		if j.placements[o.Task.Step][o.Task.Index] != o.Incarnation.ID {
			return // lost with its worker
		}
		f.addUsage(o.Incarnation.ID, &j.Steps[o.Task.Step], -1)
		delete(j.placements[o.Task.Step], o.Task.Index)
	}
}

func (f *firstFitPolicy) Completed(id string) bool {
	j := f.jobsByID[id]
	if j == nil {
		return false
	}
	for _, n := range j.tasksLeft {
		if n > 0 {
			return false
		}
	}
	return true
}

func (f *firstFitPolicy) Failed(string) bool { return false }
