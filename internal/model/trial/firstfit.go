package trial

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// firstFitPolicy is the baseline: first come first served, each task on the first worker where its declared
// resources fit. A best-effort task needs no declared CPU, but room beside the CPU that the other tasks use on
// average, so that it fits beside long-running ones. The policy never throttles or stops a task.
type firstFitPolicy struct {
	members       []sched.Member          // present workers
	allocated     map[string]wire.Size    // declared resources of the running tasks by worker, without the CPU of best-effort ones
	expectedUsage map[string]int          // millicores that the running tasks use on average, by worker
	ackedSeq      map[string]int64        // sequence number of the last processed end, by worker
	jobs          []*firstFitJob          // all jobs, in the order of submission
	jobsByID      map[string]*firstFitJob // the same jobs by id
	lastRun       int64                   // number of the last run
}

// firstFitJob is a job with its progress.
type firstFitJob struct {
	*sched.Job
	tasksLeft  []int            // number of tasks that aren't done, by step
	placements []map[int]string // worker of each running task, "" once it is done, by step and task
}

const (
	// longRunningUsageShare is the average CPU use of long-running tasks, as a share of their declared CPU.
	longRunningUsageShare = 0.5
	// firstFitPollWait is how long a poll waits for the end of a run.
	firstFitPollWait = 1800 * time.Millisecond
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

// removeWorker forgets the tasks on a worker that has left, so that they are started again.
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

// addUsage adds the resources of a task to those of its worker (sign 1) or subtracts them (sign -1).
func (f *firstFitPolicy) addUsage(id string, s *sched.Step, sign int) {
	allocated := f.allocated[id]
	usage := s.Size.CPU
	if s.LongRunning {
		usage = int(longRunningUsageShare * float64(usage))
	}
	f.expectedUsage[id] += sign * usage
	if !s.BestEffort {
		allocated.CPU += sign * s.Size.CPU
	}
	allocated.Mem += sign * s.Size.Mem
	f.allocated[id] = allocated
}

// fits reports whether a task of a step fits on a worker.
func (f *firstFitPolicy) fits(m sched.Member, s *sched.Step) bool {
	required := s.Size
	if s.BestEffort {
		required.CPU = 0
		if f.expectedUsage[m.ID]+s.Size.CPU > m.Size.CPU {
			return false
		}
	}
	return m.Size.Minus(f.allocated[m.ID]).Covers(required)
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

// ready reports whether a step has tasks left and the steps that it depends on are done.
func (j *firstFitJob) ready(i int) bool {
	for _, a := range j.Steps[i].DependsOn {
		if j.tasksLeft[a] > 0 {
			return false
		}
	}
	return j.tasksLeft[i] > 0
}

// startTasks appends start orders for the tasks of a step that fit on a worker.
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

// tasksOn returns how many tasks of a step run on a worker.
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
			return // already removed with its worker
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
