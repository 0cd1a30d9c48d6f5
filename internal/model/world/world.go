package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/model/trace"
)

// Parameters of the simulated workers.
const (
	// Tick is the step of virtual time by which the simulation advances.
	Tick = 10 * time.Millisecond
	// measurementWindow is the time constant over which a worker averages the CPU use of a task.
	measurementWindow = 500 * time.Millisecond
	// meanLoad and loadAmplitude describe the load on a long-running task: a sine around meanLoad, as a
	// share of its declared CPU.
	meanLoad      = 0.48
	loadAmplitude = 0.24
	// idleTailShare is the tail latency without load, as a share of the target.
	idleTailShare = 1.0 / 6
	// tailNoise and cpuNoise are the relative standard deviations of measurements. One measurement of
	// tail latency in outlierEvery is an outlier, too large by outlierFactor.
	tailNoise     = 0.04
	cpuNoise      = 0.15
	outlierEvery  = 20
	outlierFactor = 1.7
	// maxLightPressure is the most that a pair of images with weak interference adds to the pressure.
	maxLightPressure = 0.2
	// restoreTime and stopTime are the durations of resuming from a checkpoint and of stopping a run.
	restoreTime = 250 * time.Millisecond
	stopTime    = 100 * time.Millisecond
	// checkpointInterval is the work between two checkpoints.
	checkpointInterval = time.Second
	// startupTime is the time until a long-running task is ready.
	startupTime = 320 * time.Millisecond
	// timeToFail is the time until a task fails on a worker that fails all its tasks.
	timeToFail = 200 * time.Millisecond
	// maxTailPressure is the pressure above which the tail latency no longer grows.
	maxTailPressure = 0.98
)

// Task is a run of a task on a worker.
type Task struct {
	ID                 sched.TaskID
	Run                int64         // number of the run
	Step               *sched.Step   // the task's step
	requiredWork       time.Duration // work of this run at full speed, including the time to resume from a checkpoint
	workDone           time.Duration // part of requiredWork that is done
	cpuLimit           int           // percent of the declared CPU; applies to best-effort tasks only
	checkpoint         time.Duration // work that former runs saved
	failsAtEnd         bool          // whether the run fails once its work is done
	failedByWorker     bool          // whether the run fails after timeToFail, because of the worker
	stopAt             time.Time     // when the run ends because of a stop order; zero: none
	loadPhase          float64       // phase of the load, in radians
	cpuUsage           float64       // millicores, averaged over measurementWindow
	TailLatency        time.Duration // true tail latency at present
	OverTarget         bool          // whether the tail latency exceeds its target at present
	OverByInterference bool          // whether it does so only because of the best-effort tasks on the worker
	startedAt          time.Time     // when the run was started
}

// Ready reports whether a long-running task has finished its startup.
func (t *Task) Ready(now time.Time) bool { return now.Sub(t.startedAt) >= startupTime }

// Worker is a worker with its tasks.
type Worker struct {
	Member       sched.Member        // the worker's entry in the directory
	Tasks        []*Task             // runs in progress, in the order of their start
	finishedRuns []sched.FinishedRun // ended runs that the scheduler hasn't acknowledged
	lastSeq      int64               // sequence number of the last ended run
	startedAt    time.Time           // when the present incarnation started
	slowdown     float64             // factor by which tasks are slower; infinite: they make no progress
	failsTasks   bool                // whether tasks that start now fail
	lost         bool                // whether the worker is lost and not replaced yet
}

// Lost reports whether the worker is lost and no new incarnation has replaced it yet.
func (k *Worker) Lost() bool { return k.lost }

// World is the simulated environment of the scheduler: all workers and the state of their tasks.
type World struct {
	Workers           []*Worker // sorted by id
	scenario          *trace.Scenario
	faults            []trace.Fault                  // all faults of the simulation
	start             time.Time                      // virtual time at which the scenario starts
	rng               *rand.Rand                     // source of interference, load phases and measurement noise
	jobs              map[string]*trace.Job          // by id
	loadPhases        map[string]float64             // phase of a job's load in radians, by job id
	pairPressures     map[[2]string]float64          // by latency-critical and best-effort image; see addPairPressures
	checkpoints       map[sched.TaskID]time.Duration // work saved by the former runs of a task
	failedRuns        map[sched.TaskID]int           // failed runs of a task, other than those that a worker's fault made fail
	WastedCoreSeconds float64                        // core-seconds of work that was neither completed nor saved
}

// New returns the world of a scenario in which no task runs yet. The same seed gives the same random
// numbers.
func New(s *trace.Scenario, start time.Time, jobs []*trace.Job, faults []trace.Fault, seed uint64) *World {
	w := &World{
		scenario: s, faults: faults, start: start, rng: rand.New(rand.NewPCG(seed, 11)), jobs: map[string]*trace.Job{},
		loadPhases: map[string]float64{}, pairPressures: map[[2]string]float64{}, checkpoints: map[sched.TaskID]time.Duration{},
		failedRuns: map[sched.TaskID]int{},
	}
	for _, j := range jobs {
		w.jobs[j.Spec.ID] = j
		w.loadPhases[j.Spec.ID] = 2 * math.Pi * w.rng.Float64()
	}
	for _, longRunning := range s.JobKinds {
		for _, bestEffort := range s.JobKinds {
			if longRunning.LongRunning && bestEffort.BestEffort {
				w.addPairPressures(s, &longRunning, &bestEffort)
			}
		}
	}
	for i := range s.WorkerCount {
		id := fmt.Sprintf("w%02d", i)
		w.Workers = append(w.Workers, &Worker{startedAt: start, slowdown: 1, Member: sched.Member{
			Incarnation: sched.Incarnation{ID: id, StartedAt: 1}, Service: trace.Service, Addr: id, Zone: fmt.Sprintf("z%d", i%3),
			Rack: fmt.Sprintf("r%d", i%s.RackCount), Size: wire.Size{CPU: s.WorkerCPUs[i%len(s.WorkerCPUs)], Mem: s.WorkerMem},
		}})
	}
	return w
}

// addPairPressures draws the pressure that each image of a best-effort kind would add to tasks with
// each image of a latency-critical kind if it used a whole worker.
func (w *World) addPairPressures(s *trace.Scenario, longRunning, bestEffort *trace.JobKind) {
	for i := range longRunning.ImageCount {
		for j := range bestEffort.ImageCount {
			pressure := maxLightPressure * w.rng.Float64()
			if w.rng.Float64() < s.StrongInterferenceShare {
				pressure = s.MaxPressure * (0.5 + 0.5*w.rng.Float64())
			}
			w.pairPressures[[2]string{fmt.Sprintf("%s-image%d", longRunning.Name, i), fmt.Sprintf("%s-image%d", bestEffort.Name, j)}] = pressure
		}
	}
}

// Members returns the workers that the directory lists: those that aren't lost.
func (w *World) Members() []sched.Member {
	var all []sched.Member
	for _, k := range w.Workers {
		if !k.lost {
			all = append(all, k.Member)
		}
	}
	return all
}

// Worker returns the worker with the given id, which must exist.
func (w *World) Worker(id string) *Worker {
	i := sort.Search(len(w.Workers), func(i int) bool { return w.Workers[i].Member.ID >= id })
	return w.Workers[i]
}

// ExecuteOrder executes an order on its worker and returns the outcome.
func (w *World) ExecuteOrder(now time.Time, o sched.Order) sched.Outcome {
	k := w.Worker(o.Incarnation.ID)
	switch {
	case k.lost:
		return sched.OutcomeUnsent
	case o.Incarnation.StartedAt != k.Member.StartedAt:
		return sched.OutcomeOtherIncarnation
	}
	if o.Verb == sched.VerbStart {
		return w.startTask(now, k, o)
	}
	for _, t := range k.Tasks {
		if t.ID != o.Task || t.Run != o.Run {
			continue
		}
		if o.Verb == sched.VerbThrottle {
			t.cpuLimit = o.CPULimit
		} else if t.stopAt.IsZero() {
			t.stopAt = now.Add(stopTime)
		}
		return sched.OutcomeDone
	}
	return sched.OutcomeRunEnded
}

// startTask starts a run on a worker if it has room, from the task's checkpoint if there is one.
func (w *World) startTask(now time.Time, k *Worker, o sched.Order) sched.Outcome {
	j := w.jobs[o.Task.Job]
	step := &j.Spec.Steps[o.Task.Step]
	if !k.hasRoomFor(step) {
		return sched.OutcomeNoResources
	}
	t := &Task{
		ID: o.Task, Run: o.Run, Step: step, cpuLimit: 100, loadPhase: w.loadPhases[o.Task.Job], startedAt: now,
		requiredWork: j.TaskDurations[o.Task.Step][o.Task.Index], checkpoint: w.checkpoints[o.Task], failsAtEnd: w.failedRuns[o.Task] < j.FailedRuns[o.Task.Step][o.Task.Index],
	}
	if t.checkpoint > 0 {
		t.requiredWork += restoreTime - t.checkpoint
	}
	if k.failsTasks {
		t.failedByWorker, t.requiredWork = true, timeToFail
	}
	k.Tasks = append(k.Tasks, t)
	return sched.OutcomeDone
}

// hasRoomFor reports whether a task of a step fits. A worker refuses tasks that exceed its memory or, but
// for best-effort ones, its CPU.
func (k *Worker) hasRoomFor(s *sched.Step) bool {
	cpu, mem := s.Size.CPU, s.Size.Mem
	if s.BestEffort {
		cpu = 0
	}
	for _, t := range k.Tasks {
		mem += t.Step.Size.Mem
		if !t.Step.BestEffort {
			cpu += t.Step.Size.CPU
		}
	}
	return cpu <= k.Member.Size.CPU && mem <= k.Member.Size.Mem
}

// Advance simulates one Tick and returns the workers on which runs ended.
func (w *World) Advance(now time.Time) []*Worker {
	var ended []*Worker
	for _, k := range w.Workers {
		before := len(k.finishedRuns)
		w.shareCPU(now, k)
		running := k.Tasks[:0]
		for _, t := range k.Tasks {
			if !w.endIfDue(now, k, t) {
				running = append(running, t)
			}
		}
		k.Tasks = running
		if len(k.finishedRuns) > before {
			ended = append(ended, k)
		}
	}
	return ended
}

// taskLoad returns the load on a long-running task, as a share of its declared CPU.
func (w *World) taskLoad(now time.Time, t *Task) float64 {
	return meanLoad + loadAmplitude*math.Sin(2*math.Pi*now.Sub(w.start).Seconds()/w.scenario.LoadPeriod.Seconds()+t.loadPhase)
}

// shareCPU distributes a worker's CPU among its tasks for one Tick and updates the tail latencies.
// Best-effort tasks share in proportion what the others leave.
func (w *World) shareCPU(now time.Time, k *Worker) {
	available, demand := float64(k.Member.Size.CPU), 0.0
	for _, t := range k.Tasks {
		switch {
		case t.Step.BestEffort:
			demand += float64(t.Step.Size.CPU*t.cpuLimit) / 100
		case t.Step.LongRunning:
			available -= w.taskLoad(now, t) * float64(t.Step.Size.CPU)
		default:
			available -= float64(t.Step.Size.CPU)
		}
	}
	granted := 1.0
	if demand > 0 {
		granted = max(0, min(1, available/demand))
	}
	weight := Tick.Seconds() / measurementWindow.Seconds()
	for _, t := range k.Tasks {
		speed := 1.0
		if t.Step.BestEffort {
			speed = granted * float64(t.cpuLimit) / 100
		}
		speed /= k.slowdown
		t.workDone += time.Duration(speed * float64(Tick))
		t.cpuUsage += weight * (speed*float64(t.Step.Size.CPU) - t.cpuUsage)
	}
	for _, t := range k.Tasks {
		if t.Step.TailTarget > 0 {
			w.updateTailLatency(now, k, t)
		}
	}
}

// updateTailLatency computes the tail latency of a latency-critical task from the pressure: its own load
// plus the interference of the best-effort tasks on the worker.
func (w *World) updateTailLatency(now time.Time, k *Worker, t *Task) {
	ownLoad := w.taskLoad(now, t) * k.slowdown
	pressure := ownLoad
	for _, other := range k.Tasks {
		if other.Step.BestEffort {
			pressure += w.pairPressures[[2]string{t.Step.Image, other.Step.Image}] * other.cpuUsage / float64(k.Member.Size.CPU)
		}
	}
	limit := 1 - idleTailShare
	t.OverTarget = pressure > limit
	t.OverByInterference = t.OverTarget && ownLoad <= limit
	t.TailLatency = time.Duration(idleTailShare * float64(t.Step.TailTarget) / (1 - min(pressure, maxTailPressure)))
}

// endIfDue ends a run that is done, has failed or is stopped, and reports whether it has ended. A stopped
// run of a checkpointed step saves all its work, a failed one the work up to its last checkpoint.
func (w *World) endIfDue(now time.Time, k *Worker, t *Task) bool {
	end := sched.EndDone
	switch {
	case !t.stopAt.IsZero() && !now.Before(t.stopAt):
		end = sched.EndStopped
	case t.Step.LongRunning && !t.failedByWorker || t.workDone < t.requiredWork:
		return false
	case t.failedByWorker:
		end = sched.EndFailed
	case t.failsAtEnd:
		end = sched.EndFailed
		w.failedRuns[t.ID]++
	}
	checkpoint := ""
	lostWork := t.workDone
	if t.Step.Checkpointed && end != sched.EndDone {
		savedWork := t.checkpoint + t.workDone
		if end == sched.EndFailed {
			savedWork = savedWork.Truncate(checkpointInterval)
		}
		w.checkpoints[t.ID] = savedWork
		checkpoint = savedWork.String()
		lostWork = max(0, t.checkpoint+t.workDone-savedWork)
	}
	if end != sched.EndDone {
		w.WastedCoreSeconds += lostWork.Seconds() * float64(t.Step.Size.CPU) / 1000
	}
	k.lastSeq++
	k.finishedRuns = append(k.finishedRuns, sched.FinishedRun{Seq: k.lastSeq, Task: t.ID.String(), Run: t.Run, End: end, Checkpoint: checkpoint})
	return true
}

// AnswerPoll returns a worker's report. The worker forgets the ended runs up to the acknowledged sequence
// number.
func (w *World) AnswerPoll(now time.Time, k *Worker, acked int64) sched.Report {
	for len(k.finishedRuns) > 0 && k.finishedRuns[0].Seq <= acked {
		k.finishedRuns = k.finishedRuns[1:]
	}
	rep := sched.Report{StartedAt: k.Member.StartedAt, Clock: now.Sub(k.startedAt), Finished: append([]sched.FinishedRun(nil), k.finishedRuns...)}
	for _, t := range k.Tasks {
		status := sched.RunStatus{Task: t.ID.String(), Run: t.Run, Progress: 100}
		switch {
		case !t.Step.LongRunning:
			status.Progress = min(100, int(100*t.workDone/max(t.requiredWork, 1)))
			status.CPUUsage = max(0, t.cpuUsage*(1+cpuNoise*w.rng.NormFloat64()))
		case !t.Ready(now):
			status.Progress = 0
		case t.Step.TailTarget > 0:
			status.TailLatency = w.measureTail(t.TailLatency)
		}
		rep.Running = append(rep.Running, status)
	}
	return rep
}

// measureTail returns a measurement of a tail latency, with noise and in whole milliseconds.
func (w *World) measureTail(tail time.Duration) time.Duration {
	factor := 1 + tailNoise*w.rng.NormFloat64()
	if w.rng.IntN(outlierEvery) == 0 {
		factor *= outlierFactor
	}
	return max(time.Millisecond, time.Duration(factor*float64(tail)).Round(time.Millisecond))
}
