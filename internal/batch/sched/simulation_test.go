package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// simulation drives a core at random and plays its workers. They carry out or refuse orders, lose answers, stop
// answering polls and restart.
type simulation struct {
	rand          *rand.Rand
	core          *Core
	now           time.Time
	members       []Member                 // the workers
	running       map[string][]RunStatus   // runs, by worker
	ended         map[string][]FinishedRun // ends since the worker's last restart, by worker
	jobs          int                      // jobs submitted
	starvedStarts int                      // starts of starved jobs

	trackedVersion uint64   // of the tracked workers at the last check
	trackedList    []string // these workers
}

// newSimulation returns a simulation with four workers.
func newSimulation(seed uint64) *simulation {
	l := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		running: map[string][]RunStatus{}, ended: map[string][]FinishedRun{},
	}
	l.core = New(Options{WorkerLease: 5 * time.Second, MaxUnconfirmed: 3 * time.Second, MaxStopTime: 400 * time.Millisecond, Term: 1}, l.now)
	for i := range 4 {
		l.members = append(l.members, Member{Incarnation: Incarnation{fmt.Sprintf("w%d", i), 1}, Service: "s", Size: wire.Size{CPU: 16000, Mem: 64000}})
	}
	l.core.UpdateDirectory(l.now, l.members)
	l.core.MarkTracked(l.core.TrackedWorkers())
	return l
}

// submitJob adds a job with random steps.
func (l *simulation) submitJob() {
	j := &Job{ID: fmt.Sprintf("j%d", l.jobs), Queue: "q", Service: "s", MaxAttempts: 3, AcceptedAt: l.now, StretchFactor: 2}
	l.jobs++
	for i := range 1 + l.rand.IntN(3) {
		s := Step{Count: 1 + l.rand.IntN(4), Size: wire.Size{CPU: 500 + l.rand.IntN(8000), Mem: 2000 + l.rand.IntN(20000)}, Image: fmt.Sprint(l.rand.IntN(3)), Estimate: time.Second}
		switch l.rand.IntN(6) {
		case 0:
			s.LongRunning, s.TailTarget = true, 24*time.Millisecond
		case 1:
			s.Gang = true
		case 2:
		default:
			s.BestEffort, s.Checkpointed = true, l.rand.IntN(2) == 0
		}
		if i > 0 && l.rand.IntN(2) == 0 {
			s.DependsOn = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	l.core.AddJob(l.now, j)
}

// planOrders plans and gives each order a random outcome.
func (l *simulation) planOrders() {
	for _, o := range l.core.Plan(l.now) {
		if o.Starved {
			l.starvedStarts++
		}
		if l.core.CheckSend(l.now, o) != CauseNone {
			l.core.HandleOutcome(l.now, o, OutcomeUnsent)
			continue
		}
		out := []Outcome{OutcomeDone, OutcomeDone, OutcomeDone, OutcomeDone, OutcomeUnknown, OutcomeNoResources, OutcomeUnavailable, OutcomeRunEnded, OutcomeExpired, OutcomeInvalid}[l.rand.IntN(10)]
		id := o.Incarnation.ID
		switch {
		case o.Verb == VerbStart && (out == OutcomeDone || out == OutcomeUnknown && l.rand.IntN(2) == 0):
			l.running[id] = append(l.running[id], RunStatus{Task: o.Task.String(), Run: o.Run, Progress: 100})
		case o.Verb == VerbStop && out == OutcomeDone:
			l.endRun(id, o.Task.String(), EndStopped)
		}
		l.core.HandleOutcome(l.now, o, out)
	}
}

// endRun ends the run of a task on a worker, or a random run if task is empty.
func (l *simulation) endRun(id, task string, end End) {
	for i, r := range l.running[id] {
		if task != "" && r.Task != task || task == "" && l.rand.IntN(2) == 0 {
			continue
		}
		l.running[id] = append(l.running[id][:i:i], l.running[id][i+1:]...)
		l.ended[id] = append(l.ended[id], FinishedRun{Seq: int64(len(l.ended[id]) + 1), Task: r.Task, Run: r.Run, End: end})
		return
	}
}

// pollWorker lets the i-th worker answer a poll, and sends the next one.
func (l *simulation) pollWorker(i int) {
	m := l.members[i]
	sent := l.now.Add(-time.Duration(l.rand.IntN(5)) * time.Millisecond)
	l.core.NextPoll(sent, m.ID)
	rep := Report{StartedAt: m.StartedAt, Clock: l.now.Sub(time.UnixMilli(m.StartedAt)), Finished: l.ended[m.ID]}
	for _, r := range l.running[m.ID] {
		r.TailLatency, r.CPUUsage = time.Duration(10+l.rand.IntN(20))*time.Millisecond, 3000
		rep.Running = append(rep.Running, r)
	}
	l.core.HandleReport(sent, l.now, m.ID, rep)
	l.core.NextPoll(l.now, m.ID)
}

// step lets up to 100 ms pass and plays one random event.
func (l *simulation) step() {
	l.now = l.now.Add(time.Duration(l.rand.IntN(100)) * time.Millisecond)
	l.core.ConfirmHolder(l.now)
	i := l.rand.IntN(len(l.members))
	m := &l.members[i]
	switch l.rand.IntN(40) {
	case 0, 1, 2:
		if l.jobs < 400 {
			l.submitJob()
		}
	case 3:
		l.core.CancelJob(l.now, fmt.Sprintf("j%d", l.rand.IntN(l.jobs+1)))
	case 4:
		l.core.PollFailed(l.now, m.ID, m.StartedAt)
	case 5:
		if l.rand.IntN(4) == 0 {
			m.StartedAt++
			l.running[m.ID], l.ended[m.ID] = nil, nil
			switch l.rand.IntN(3) {
			case 0:
				l.core.IncarnationEnded(l.now, m.ID, m.StartedAt-1)
			case 1:
				l.core.UpdateDirectory(l.now, l.members)
			}
		}
	case 6:
		if l.rand.IntN(8) == 0 {
			l.now = l.now.Add(7 * time.Second) // all leases expire
			l.core.ConfirmHolder(l.now)
		}
	case 7:
		// The worker has a run that this holder doesn't know of.
		l.running[m.ID] = append(l.running[m.ID], RunStatus{Task: fmt.Sprintf("j%d.0.%d.0", l.rand.IntN(l.jobs+1), l.rand.IntN(3)), Run: 500000 + int64(l.rand.IntN(1000))})
	case 8, 9, 10, 11, 12, 13:
		l.endRun(m.ID, "", []End{EndDone, EndDone, EndDone, EndFailed, EndLeaseExpired}[l.rand.IntN(5)])
	case 14:
		l.core.MarkTracked(l.core.TrackedWorkers())
		if b, err := l.core.CollectChanges(100); err == nil {
			l.core.MarkCommitted(b)
		}
		l.core.ForgetJobs(l.now, 5*time.Second)
	case 15, 16, 17, 18, 19, 20, 21, 22, 23, 24:
		l.pollWorker(i)
	default:
		l.planOrders()
	}
}

// checkOrderWorkers returns an error if a worker has a run that may need an order and the next plan doesn't look at it.
func (l *simulation) checkOrderWorkers() error {
	for _, w := range l.core.workersByID {
		if w.orderDue != slices.Contains(l.core.orderWorkers, w) {
			return fmt.Errorf("worker %s is marked: %t, and listed: %t", w.ID, w.orderDue, !w.orderDue)
		}
		if !w.orderDue && slices.ContainsFunc(w.runList, (*run).mayNeedOrder) {
			return fmt.Errorf("worker %s has a run that may need an order and isn't listed", w.ID)
		}
	}
	return nil
}

// checkTrackedVersion returns an error if the list of tracked workers has changed and its version hasn't.
func (l *simulation) checkTrackedVersion() error {
	var list []string
	for _, w := range l.core.workersByID {
		if !w.expired || len(w.runList) > 0 {
			list = append(list, fmt.Sprint(w.Incarnation, w.Addr))
		}
	}
	version := l.core.TrackedVersion()
	if version == l.trackedVersion && !slices.Equal(list, l.trackedList) {
		return fmt.Errorf("version %d of the tracked workers has %v and %v", version, l.trackedList, list)
	}
	l.trackedVersion, l.trackedList = version, list
	return nil
}

// checkCounts compares all counters of the core with the runs and tasks that exist.
func (l *simulation) checkCounts() error {
	active := map[*job]int{}
	starved := 0
	for _, w := range l.core.workers {
		if len(w.runList) != len(w.runs) {
			return fmt.Errorf("worker %s lists %d runs of %d", w.ID, len(w.runList), len(w.runs))
		}
		var allocated wire.Size
		bestEffortMem, bestEffortCPU, longRunningCPU := 0, 0, 0
		for _, r := range w.runList {
			if r.task == nil {
				continue
			}
			active[r.task.step.job]++
			if r.starved {
				starved++
			}
			switch s := r.task.step.spec; {
			case s.BestEffort:
				bestEffortMem, bestEffortCPU = bestEffortMem+s.Size.Mem, bestEffortCPU+s.Size.CPU
			default:
				allocated.CPU, allocated.Mem = allocated.CPU+s.Size.CPU, allocated.Mem+s.Size.Mem
				if s.LongRunning {
					longRunningCPU += s.Size.CPU
				}
			}
		}
		if allocated != w.allocated || bestEffortMem != w.bestEffortMem || bestEffortCPU != w.bestEffortCPU || longRunningCPU != w.longRunning.CPU {
			return fmt.Errorf("worker %s counts %v allocated, %d MiB and %d millicores best-effort, %d millicores long-running; its runs have %v, %d, %d, %d",
				w.ID, w.allocated, w.bestEffortMem, w.bestEffortCPU, w.longRunning.CPU, allocated, bestEffortMem, bestEffortCPU, longRunningCPU)
		}
	}
	if l.core.starvedRuns != starved {
		return fmt.Errorf("%d runs of starved jobs are counted, %d exist", l.core.starvedRuns, starved)
	}
	for id, j := range l.core.jobs {
		if j.activeRuns != active[j] {
			return fmt.Errorf("job %s counts %d runs, has %d", id, j.activeRuns, active[j])
		}
		delete(active, j)
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				pending, unfinished := 0, 0
				for _, t := range s.tasks {
					if !t.done {
						unfinished++
						if t.run == nil {
							pending++
						}
					}
				}
				if s.pending != pending || s.unfinished != unfinished {
					return fmt.Errorf("step %d of %s counts %d pending of %d unfinished tasks, has %d of %d", s.index, id, s.pending, s.unfinished, pending, unfinished)
				}
			}
		}
	}
	for j, n := range active {
		if n > 0 {
			return fmt.Errorf("job %s was forgotten while it had %d runs", j.ID, n)
		}
	}
	return nil
}

// A job whose runs are miscounted is never taken for starved, or is never forgotten. The counters must match the runs
// after any sequence of events.
func TestRunCounters(t *testing.T) {
	starved := 0
	for seed := range uint64(8) {
		l := newSimulation(seed)
		for n := range 3000 {
			l.step()
			if err := l.checkCounts(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, n, err)
			}
			if err := l.checkOrderWorkers(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, n, err)
			}
			if err := l.checkTrackedVersion(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, n, err)
			}
		}
		starved += l.starvedStarts
	}
	if starved == 0 {
		t.Error("no job was starved")
	}
}
