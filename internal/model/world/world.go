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

// Figures of the workers.
const (
	// Tick is how far the model moves at a time.
	Tick = 10 * time.Millisecond
	// measurementWindow is what a reading of a tail or a use covers.
	measurementWindow = 500 * time.Millisecond
	// meanLoad and swing are the load of a serving task: around meanLoad, by swing either way.
	meanLoad      = 0.48
	loadAmplitude = 0.24
	// idleTailShare is the tail without any load, as a share of the target.
	idleTailShare = 1.0 / 6
	// tailNoise and useNoise are the deviations of readings; one reading in rough is far off.
	tailNoise     = 0.04
	cpuNoise      = 0.15
	outlierEvery  = 20
	outlierFactor = 1.7
	// maxLightPressure is the most that a pair of images that go together adds to the pressure.
	maxLightPressure = 0.2
	// restoreTime and stopping are what resuming from saved progress and a stop take.
	restoreTime = 250 * time.Millisecond
	stopTime    = 100 * time.Millisecond
	// checkpointInterval is how much work is between two checkpoints.
	checkpointInterval = time.Second
	// startupTime is what a lasting task takes until it is at work.
	startupTime = 320 * time.Millisecond
	// timeToFail is what a task takes until it fails on a worker that fails all.
	timeToFail = 200 * time.Millisecond
	// maxTailPressure is the pressure above which the tail grows no more.
	maxTailPressure = 0.98
)

// Task is a task under way.
type Task struct {
	ID                 sched.TaskID
	Run                int64
	Step               *sched.Step
	requiredWork       time.Duration // work left at its start, with what resuming takes
	workDone           time.Duration // of it
	cpuLimit           int           // percent
	checkpoint         time.Duration // progress saved by former runs
	failsAtEnd         bool
	failedByWorker     bool      // its worker fails it
	stopAt             time.Time // zero: it isn't being stopped
	loadPhase          float64
	cpuUsage           float64 // millicores, of late
	TailLatency        time.Duration
	OverTarget         bool // over its target at present
	OverByInterference bool // and wouldn't be without the filling tasks
	startedAt          time.Time
}

// Ready reports whether a lasting task is at work.
func (t *Task) Ready(now time.Time) bool { return now.Sub(t.startedAt) >= startupTime }

// Worker is a worker with what runs there.
type Worker struct {
	Member       sched.Member
	Tasks        []*Task
	finishedRuns []sched.FinishedRun
	lastSeq      int64
	startedAt    time.Time
	slowdown     float64 // factor of slowness; infinite: its tasks stand still
	failsTasks   bool    // fails all that it starts
	lost         bool
}

// Lost reports whether the worker is lost and no other has taken its place yet.
func (k *Worker) Lost() bool { return k.lost }

// World is all workers and what is known of the tasks.
type World struct {
	Workers           []*Worker
	scenario          *trace.Scenario
	faults            []trace.Fault
	start             time.Time
	rng               *rand.Rand
	jobs              map[string]*trace.Job
	loadPhases        map[string]float64 // of a job's load
	pairPressures     map[[2]string]float64
	checkpoints       map[sched.TaskID]time.Duration
	failedRuns        map[sched.TaskID]int // runs
	WastedCoreSeconds float64              // core-seconds that were worked and not saved
}

// New returns a world of a day's workers; the same seed gives the same luck.
func New(d *trace.Scenario, start time.Time, jobs []*trace.Job, faults []trace.Fault, seed uint64) *World {
	w := &World{
		scenario: d, faults: faults, start: start, rng: rand.New(rand.NewPCG(seed, 11)), jobs: map[string]*trace.Job{},
		loadPhases: map[string]float64{}, pairPressures: map[[2]string]float64{}, checkpoints: map[sched.TaskID]time.Duration{},
		failedRuns: map[sched.TaskID]int{},
	}
	for _, j := range jobs {
		w.jobs[j.Spec.ID] = j
		w.loadPhases[j.Spec.ID] = 2 * math.Pi * w.rng.Float64()
	}
	for _, serve := range d.JobKinds {
		for _, fill := range d.JobKinds {
			if serve.LongRunning && fill.BestEffort {
				w.addPairPressures(d, &serve, &fill)
			}
		}
	}
	for i := range d.WorkerCount {
		id := fmt.Sprintf("w%02d", i)
		w.Workers = append(w.Workers, &Worker{startedAt: start, slowdown: 1, Member: sched.Member{
			Incarnation: sched.Incarnation{ID: id, StartedAt: 1}, Service: trace.Service, Addr: id, Zone: fmt.Sprintf("z%d", i%3),
			Rack: fmt.Sprintf("r%d", i%d.RackCount), Size: wire.Size{CPU: d.WorkerCPUs[i%len(d.WorkerCPUs)], Mem: d.WorkerMem},
		}})
	}
	return w
}

// addPairPressures draws how much the images of a filling kind disturb those of a serving one.
func (w *World) addPairPressures(d *trace.Scenario, serve, fill *trace.JobKind) {
	for s := range serve.ImageCount {
		for f := range fill.ImageCount {
			p := maxLightPressure * w.rng.Float64()
			if w.rng.Float64() < d.StrongInterferenceShare {
				p = d.MaxPressure * (0.5 + 0.5*w.rng.Float64())
			}
			w.pairPressures[[2]string{fmt.Sprintf("%s-image%d", serve.Name, s), fmt.Sprintf("%s-image%d", fill.Name, f)}] = p
		}
	}
}

// Members returns the workers as the directory shows them.
func (w *World) Members() []sched.Member {
	var all []sched.Member
	for _, k := range w.Workers {
		if !k.lost {
			all = append(all, k.Member)
		}
	}
	return all
}

// Worker returns the worker with an id.
func (w *World) Worker(id string) *Worker {
	i := sort.Search(len(w.Workers), func(i int) bool { return w.Workers[i].Member.ID >= id })
	return w.Workers[i]
}

// ExecuteOrder carries an order out.
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

// hasRoomFor reports whether a task of a step has room: a worker refuses what goes over its size.
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

// Advance moves the world on by a Tick and returns the workers on which something ended.
func (w *World) Advance(now time.Time) []*Worker {
	var ended []*Worker
	for _, k := range w.Workers {
		n := len(k.finishedRuns)
		w.shareCPU(now, k)
		rest := k.Tasks[:0]
		for _, t := range k.Tasks {
			if !w.endIfDue(now, k, t) {
				rest = append(rest, t)
			}
		}
		k.Tasks = rest
		if len(k.finishedRuns) > n {
			ended = append(ended, k)
		}
	}
	return ended
}

// taskLoad returns the taskLoad on a serving task.
func (w *World) taskLoad(now time.Time, t *Task) float64 {
	return meanLoad + loadAmplitude*math.Sin(2*math.Pi*now.Sub(w.start).Seconds()/w.scenario.LoadPeriod.Seconds()+t.loadPhase)
}

// shareCPU gives each task its processors for a Tick, and each serving one its tail.
func (w *World) shareCPU(now time.Time, k *Worker) {
	left, want := float64(k.Member.Size.CPU), 0.0
	for _, t := range k.Tasks {
		switch {
		case t.Step.BestEffort:
			want += float64(t.Step.Size.CPU*t.cpuLimit) / 100
		case t.Step.LongRunning:
			left -= w.taskLoad(now, t) * float64(t.Step.Size.CPU)
		default:
			left -= float64(t.Step.Size.CPU)
		}
	}
	part := 1.0
	if want > 0 {
		part = max(0, min(1, left/want))
	}
	fresh := Tick.Seconds() / measurementWindow.Seconds()
	for _, t := range k.Tasks {
		speed := 1.0
		if t.Step.BestEffort {
			speed = part * float64(t.cpuLimit) / 100
		}
		speed /= k.slowdown
		t.workDone += time.Duration(speed * float64(Tick))
		t.cpuUsage += fresh * (speed*float64(t.Step.Size.CPU) - t.cpuUsage)
	}
	for _, t := range k.Tasks {
		if t.Step.TailTarget > 0 {
			w.updateTailLatency(now, k, t)
		}
	}
}

// updateTailLatency sets a serving task's updateTailLatency.
func (w *World) updateTailLatency(now time.Time, k *Worker, t *Task) {
	own := w.taskLoad(now, t) * k.slowdown
	p := own
	for _, f := range k.Tasks {
		if f.Step.BestEffort {
			p += w.pairPressures[[2]string{t.Step.Image, f.Step.Image}] * f.cpuUsage / float64(k.Member.Size.CPU)
		}
	}
	most := 1 - idleTailShare
	t.OverTarget = p > most
	t.OverByInterference = t.OverTarget && own <= most
	t.TailLatency = time.Duration(idleTailShare * float64(t.Step.TailTarget) / (1 - min(p, maxTailPressure)))
}

// endIfDue ends a task that is done, has failed or is stopped, and reports whether it has.
func (w *World) endIfDue(now time.Time, k *Worker, t *Task) bool {
	how := sched.EndDone
	switch {
	case !t.stopAt.IsZero() && !now.Before(t.stopAt):
		how = sched.EndStopped
	case t.Step.LongRunning && !t.failedByWorker || t.workDone < t.requiredWork:
		return false
	case t.failedByWorker:
		how = sched.EndFailed
	case t.failsAtEnd:
		how = sched.EndFailed
		w.failedRuns[t.ID]++
	}
	save := ""
	lost := t.workDone
	if t.Step.Checkpointed && how != sched.EndDone {
		at := t.checkpoint + t.workDone
		if how == sched.EndFailed {
			at = at.Truncate(checkpointInterval)
		}
		w.checkpoints[t.ID] = at
		save = at.String()
		lost = max(0, t.checkpoint+t.workDone-at)
	}
	if how != sched.EndDone {
		w.WastedCoreSeconds += lost.Seconds() * float64(t.Step.Size.CPU) / 1000
	}
	k.lastSeq++
	k.finishedRuns = append(k.finishedRuns, sched.FinishedRun{Seq: k.lastSeq, Task: t.ID.String(), Run: t.Run, End: how, Checkpoint: save})
	return true
}

// AnswerPoll answers a poll.
func (w *World) AnswerPoll(now time.Time, k *Worker, acked int64) sched.Report {
	for len(k.finishedRuns) > 0 && k.finishedRuns[0].Seq <= acked {
		k.finishedRuns = k.finishedRuns[1:]
	}
	rep := sched.Report{StartedAt: k.Member.StartedAt, Clock: now.Sub(k.startedAt), Finished: append([]sched.FinishedRun(nil), k.finishedRuns...)}
	for _, t := range k.Tasks {
		row := sched.RunStatus{Task: t.ID.String(), Run: t.Run, Progress: 100}
		switch {
		case !t.Step.LongRunning:
			row.Progress = min(100, int(100*t.workDone/max(t.requiredWork, 1)))
			row.CPUUsage = max(0, t.cpuUsage*(1+cpuNoise*w.rng.NormFloat64()))
		case !t.Ready(now):
			row.Progress = 0
		case t.Step.TailTarget > 0:
			row.TailLatency = w.measureTail(t.TailLatency)
		}
		rep.Running = append(rep.Running, row)
	}
	return rep
}

// measureTail returns a tail as a reading shows it, in whole milliseconds.
func (w *World) measureTail(tail time.Duration) time.Duration {
	x := 1 + tailNoise*w.rng.NormFloat64()
	if w.rng.IntN(outlierEvery) == 0 {
		x *= outlierFactor
	}
	return max(time.Millisecond, time.Duration(x*float64(tail)).Round(time.Millisecond))
}
