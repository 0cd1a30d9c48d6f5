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
	// window is what a reading of a tail or a use covers.
	window = 500 * time.Millisecond
	// level and swing are the load of a serving task: around level, by swing either way.
	level = 0.48
	swing = 0.24
	// restShare is the tail without any load, as a share of the target.
	restShare = 1.0 / 6
	// tailNoise and useNoise are the deviations of readings; one reading in rough is far off.
	tailNoise = 0.04
	useNoise  = 0.15
	rough     = 20
	roughBy   = 1.7
	// light is the most that a pair of images that go together adds to the pressure.
	light = 0.2
	// restore and stopping are what resuming from saved progress and a stop take.
	restore  = 250 * time.Millisecond
	stopping = 100 * time.Millisecond
	// saved is how much work is between two checkpoints.
	saved = time.Second
	// startup is what a lasting task takes until it is at work.
	startup = 320 * time.Millisecond
	// failing is what a task takes until it fails on a worker that fails all.
	failing = 200 * time.Millisecond
	// fullTail is the pressure above which the tail grows no more.
	fullTail = 0.98
)

// Task is a task under way.
type Task struct {
	ID      sched.TaskID
	Run     int64
	Step    *sched.Step
	need    time.Duration // work left at its start, with what resuming takes
	done    time.Duration // of it
	pace    int           // percent
	kept    time.Duration // progress saved by former runs
	fails   bool
	sick    bool      // its worker fails it
	stopAt  time.Time // zero: it isn't being stopped
	phase   float64
	use     float64 // millicores, of late
	Tail    time.Duration
	Over    bool // over its target at present
	Blamed  bool // and wouldn't be without the filling tasks
	started time.Time
}

// Ready reports whether a lasting task is at work.
func (t *Task) Ready(now time.Time) bool { return now.Sub(t.started) >= startup }

// Worker is a worker with what runs there.
type Worker struct {
	Member sched.Member
	Tasks  []*Task
	ends   []sched.FinishedRun
	seq    int64
	born   time.Time
	slow   float64 // factor of slowness; infinite: its tasks stand still
	sick   bool    // fails all that it starts
	away   bool
}

// Away reports whether the worker is lost and no other has taken its place yet.
func (k *Worker) Away() bool { return k.away }

// World is all workers and what is known of the tasks.
type World struct {
	Workers []*Worker
	day     *trace.Day
	faults  []trace.Fault
	start   time.Time
	rng     *rand.Rand
	jobs    map[string]*trace.Job
	phases  map[string]float64 // of a job's load
	presses map[[2]string]float64
	kept    map[sched.TaskID]time.Duration
	failed  map[sched.TaskID]int // runs
	Wasted  float64              // core-seconds that were worked and not saved
}

// New returns a world of a day's workers; the same seed gives the same luck.
func New(d *trace.Day, start time.Time, jobs []*trace.Job, faults []trace.Fault, seed uint64) *World {
	w := &World{
		day: d, faults: faults, start: start, rng: rand.New(rand.NewPCG(seed, 11)), jobs: map[string]*trace.Job{},
		phases: map[string]float64{}, presses: map[[2]string]float64{}, kept: map[sched.TaskID]time.Duration{},
		failed: map[sched.TaskID]int{},
	}
	for _, j := range jobs {
		w.jobs[j.Job.ID] = j
		w.phases[j.Job.ID] = 2 * math.Pi * w.rng.Float64()
	}
	for _, serve := range d.Kinds {
		for _, fill := range d.Kinds {
			if serve.Lasting && fill.Fills {
				w.pair(d, &serve, &fill)
			}
		}
	}
	for i := range d.Workers {
		id := fmt.Sprintf("w%02d", i)
		w.Workers = append(w.Workers, &Worker{born: start, slow: 1, Member: sched.Member{
			Incarnation: sched.Incarnation{ID: id, StartedAt: 1}, Service: trace.Service, Addr: id, Zone: fmt.Sprintf("z%d", i%3),
			Rack: fmt.Sprintf("r%d", i%d.Racks), Size: wire.Size{CPU: d.Sizes[i%len(d.Sizes)], Mem: d.Mem},
		}})
	}
	return w
}

// pair draws how much the images of a filling kind disturb those of a serving one.
func (w *World) pair(d *trace.Day, serve, fill *trace.Kind) {
	for s := range serve.Images {
		for f := range fill.Images {
			p := light * w.rng.Float64()
			if w.rng.Float64() < d.Heavy {
				p = d.Press * (0.5 + 0.5*w.rng.Float64())
			}
			w.presses[[2]string{fmt.Sprintf("%s-image%d", serve.Name, s), fmt.Sprintf("%s-image%d", fill.Name, f)}] = p
		}
	}
}

// Members returns the workers as the directory shows them.
func (w *World) Members() []sched.Member {
	var all []sched.Member
	for _, k := range w.Workers {
		if !k.away {
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

// Do carries an order out.
func (w *World) Do(now time.Time, o sched.Order) sched.Outcome {
	k := w.Worker(o.Incarnation.ID)
	switch {
	case k.away:
		return sched.OutcomeUnsent
	case o.Incarnation.StartedAt != k.Member.StartedAt:
		return sched.OutcomeOtherIncarnation
	}
	if o.Verb == sched.VerbStart {
		return w.begin(now, k, o)
	}
	for _, t := range k.Tasks {
		if t.ID != o.Task || t.Run != o.Run {
			continue
		}
		if o.Verb == sched.VerbThrottle {
			t.pace = o.CPULimit
		} else if t.stopAt.IsZero() {
			t.stopAt = now.Add(stopping)
		}
		return sched.OutcomeDone
	}
	return sched.OutcomeRunEnded
}

func (w *World) begin(now time.Time, k *Worker, o sched.Order) sched.Outcome {
	j := w.jobs[o.Task.Job]
	step := &j.Job.Steps[o.Task.Step]
	if !k.fits(step) {
		return sched.OutcomeNoResources
	}
	t := &Task{
		ID: o.Task, Run: o.Run, Step: step, pace: 100, phase: w.phases[o.Task.Job], started: now,
		need: j.Work[o.Task.Step][o.Task.Index], kept: w.kept[o.Task], fails: w.failed[o.Task] < j.Fails[o.Task.Step][o.Task.Index],
	}
	if t.kept > 0 {
		t.need += restore - t.kept
	}
	if k.sick {
		t.sick, t.need = true, failing
	}
	k.Tasks = append(k.Tasks, t)
	return sched.OutcomeDone
}

// fits reports whether a task of a step has room: a worker refuses what goes over its size.
func (k *Worker) fits(s *sched.Step) bool {
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

// Step moves the world on by a Tick and returns the workers on which something ended.
func (w *World) Step(now time.Time) []*Worker {
	var ended []*Worker
	for _, k := range w.Workers {
		n := len(k.ends)
		w.share(now, k)
		rest := k.Tasks[:0]
		for _, t := range k.Tasks {
			if !w.over(now, k, t) {
				rest = append(rest, t)
			}
		}
		k.Tasks = rest
		if len(k.ends) > n {
			ended = append(ended, k)
		}
	}
	return ended
}

// load returns the load on a serving task.
func (w *World) load(now time.Time, t *Task) float64 {
	return level + swing*math.Sin(2*math.Pi*now.Sub(w.start).Seconds()/w.day.Swing.Seconds()+t.phase)
}

// share gives each task its processors for a Tick, and each serving one its tail.
func (w *World) share(now time.Time, k *Worker) {
	left, want := float64(k.Member.Size.CPU), 0.0
	for _, t := range k.Tasks {
		switch {
		case t.Step.BestEffort:
			want += float64(t.Step.Size.CPU*t.pace) / 100
		case t.Step.LongRunning:
			left -= w.load(now, t) * float64(t.Step.Size.CPU)
		default:
			left -= float64(t.Step.Size.CPU)
		}
	}
	part := 1.0
	if want > 0 {
		part = max(0, min(1, left/want))
	}
	fresh := Tick.Seconds() / window.Seconds()
	for _, t := range k.Tasks {
		speed := 1.0
		if t.Step.BestEffort {
			speed = part * float64(t.pace) / 100
		}
		speed /= k.slow
		t.done += time.Duration(speed * float64(Tick))
		t.use += fresh * (speed*float64(t.Step.Size.CPU) - t.use)
	}
	for _, t := range k.Tasks {
		if t.Step.TailTarget > 0 {
			w.tail(now, k, t)
		}
	}
}

// tail sets a serving task's tail.
func (w *World) tail(now time.Time, k *Worker, t *Task) {
	own := w.load(now, t) * k.slow
	p := own
	for _, f := range k.Tasks {
		if f.Step.BestEffort {
			p += w.presses[[2]string{t.Step.Image, f.Step.Image}] * f.use / float64(k.Member.Size.CPU)
		}
	}
	most := 1 - restShare
	t.Over = p > most
	t.Blamed = t.Over && own <= most
	t.Tail = time.Duration(restShare * float64(t.Step.TailTarget) / (1 - min(p, fullTail)))
}

// over ends a task that is done, has failed or is stopped, and reports whether it has.
func (w *World) over(now time.Time, k *Worker, t *Task) bool {
	how := sched.EndDone
	switch {
	case !t.stopAt.IsZero() && !now.Before(t.stopAt):
		how = sched.EndStopped
	case t.Step.LongRunning && !t.sick || t.done < t.need:
		return false
	case t.sick:
		how = sched.EndFailed
	case t.fails:
		how = sched.EndFailed
		w.failed[t.ID]++
	}
	save := ""
	lost := t.done
	if t.Step.Checkpointed && how != sched.EndDone {
		at := t.kept + t.done
		if how == sched.EndFailed {
			at = at.Truncate(saved)
		}
		w.kept[t.ID] = at
		save = at.String()
		lost = max(0, t.kept+t.done-at)
	}
	if how != sched.EndDone {
		w.Wasted += lost.Seconds() * float64(t.Step.Size.CPU) / 1000
	}
	k.seq++
	k.ends = append(k.ends, sched.FinishedRun{Seq: k.seq, Task: t.ID.String(), Run: t.Run, End: how, Checkpoint: save})
	return true
}

// Report answers a poll.
func (w *World) Report(now time.Time, k *Worker, acked int64) sched.Report {
	for len(k.ends) > 0 && k.ends[0].Seq <= acked {
		k.ends = k.ends[1:]
	}
	rep := sched.Report{StartedAt: k.Member.StartedAt, Clock: now.Sub(k.born), Finished: append([]sched.FinishedRun(nil), k.ends...)}
	for _, t := range k.Tasks {
		row := sched.RunStatus{Task: t.ID.String(), Run: t.Run, Progress: 100}
		switch {
		case !t.Step.LongRunning:
			row.Progress = min(100, int(100*t.done/max(t.need, 1)))
			row.CPUUsage = max(0, t.use*(1+useNoise*w.rng.NormFloat64()))
		case !t.Ready(now):
			row.Progress = 0
		case t.Step.TailTarget > 0:
			row.TailLatency = w.read(t.Tail)
		}
		rep.Running = append(rep.Running, row)
	}
	return rep
}

// read returns a tail as a reading shows it, in whole milliseconds.
func (w *World) read(tail time.Duration) time.Duration {
	x := 1 + tailNoise*w.rng.NormFloat64()
	if w.rng.IntN(rough) == 0 {
		x *= roughBy
	}
	return max(time.Millisecond, time.Duration(x*float64(tail)).Round(time.Millisecond))
}
