package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Spread is a quantity that varies: log-normal around a mean, cut at a most.
type Spread struct {
	Mean, Dev, Most float64
}

func (s Spread) draw(rng *rand.Rand) float64 {
	// The mean of a log-normal with deviation d of its logarithm is exp(m + d*d/2).
	x := s.Mean * math.Exp(s.Dev*rng.NormFloat64()-s.Dev*s.Dev/2)
	return min(x, s.Most)
}

// Kind is a kind of job as callers hand it in.
type Kind struct {
	Name     string
	Rate     float64 // jobs a second
	First    int     // jobs at the start
	Steps    Spread
	Width    Spread // tasks of a step
	CPU      Spread // millicores of a task
	Mem      Spread // MiB of a task
	Work     Spread // seconds of a task
	Priority int
	Aim      time.Duration
	Stretch  float64
	Worth    float64 // of a job on time
	Late     float64 // of one that is up to three times as late as its aim
	Saves    float64 // share of jobs whose tasks save their progress
	Apart    float64 // share of jobs with few tasks on a worker
	Fails    float64 // share of tasks whose first run fails
	Off      float64 // deviation of the callers' estimates
	Images   int
	Fills    bool
	Lasting  bool
	Target   time.Duration // of the tail of a lasting task
}

// Day is a deployment and its load.
type Day struct {
	Name    string
	Workers int
	Racks   int   // of equal size
	Sizes   []int // millicores of a worker, in turn
	Mem     int   // MiB of a worker
	Kinds   []Kind
	Length  time.Duration // in which jobs come
	Swing   time.Duration // of the load on lasting tasks
	Heavy   float64       // share of pairs of images that disturb much
	Press   float64       // most that such a pair adds to the pressure, a worker's worth of use
}

// Job is a job that is handed in.
type Job struct {
	Kind  *Kind
	At    time.Duration
	Job   *sched.Job
	Work  [][]time.Duration // of each step's tasks, at full speed
	Fails [][]int           // first runs of each step's tasks that fail
	Worth float64           // its own, beside its kind's
}

// Chain returns the longest chain of steps, from perfect knowledge.
func (j *Job) Chain() time.Duration {
	var sum time.Duration
	for i := range j.Work {
		sum += j.Longest(i)
	}
	return sum
}

// Longest returns the time of a step's longest task, with the runs of it that fail.
func (j *Job) Longest(step int) time.Duration {
	var most time.Duration
	for t, w := range j.Work[step] {
		most = max(most, time.Duration(1+j.Fails[step][t])*w)
	}
	return most
}

// Objective is the time within which the job is on time.
func (j *Job) Objective() time.Duration {
	return j.Kind.Aim + time.Duration(j.Kind.Stretch*float64(j.Chain()))
}

const (
	// baseWorth and workWorth are what a job is worth whatever its size, and what its work adds
	// against the mean of its kind; mostWorth bounds both together.
	baseWorth = 0.3
	workWorth = 0.7
	mostWorth = 4
)

// Jobs returns a day's jobs with those of its bursts, the same for the same seed.
func (d *Day) Jobs(start time.Time, load float64, seed uint64, faults []Fault) []*Job {
	rng := rand.New(rand.NewPCG(seed, 7))
	var all []*Job
	for i := range d.Kinds {
		k := &d.Kinds[i]
		for n := range k.First {
			all = append(all, k.draw(rng, start, 0, n))
		}
		rate := k.Rate
		if !k.Lasting {
			rate *= load
		}
		at, n := 0.0, k.First
		for ; rate > 0; n++ {
			at += rng.ExpFloat64() / rate
			if at > d.Length.Seconds() {
				break
			}
			all = append(all, k.draw(rng, start, time.Duration(at*float64(time.Second)), n))
		}
		all = append(all, d.bursts(i, faults, start, load, seed, n)...)
	}
	return all
}

func (k *Kind) draw(rng *rand.Rand, start time.Time, at time.Duration, n int) *Job {
	id := fmt.Sprintf("%s-%d", k.Name, n)
	j := &Job{Kind: k, At: at, Job: &sched.Job{
		ID: id, Queue: k.Name, Service: Service, Spec: id, Priority: k.Priority, MaxAttempts: 3, StretchFactor: k.Stretch, DeadlineBase: k.Aim, AcceptedAt: start.Add(at),
	}}
	saves, apart := rng.Float64() < k.Saves, rng.Float64() < k.Apart
	image := ""
	if k.Images > 0 {
		image = fmt.Sprintf("%s-image%d", k.Name, rng.IntN(k.Images))
	}
	work := 0.0
	for i := range max(1, int(math.Round(k.Steps.draw(rng)))) {
		count := max(1, int(math.Round(k.Width.draw(rng))))
		size := wire.Size{CPU: int(k.CPU.draw(rng)), Mem: int(k.Mem.draw(rng))}
		mean := k.Work.draw(rng)
		s := sched.Step{
			Count: count, Size: size, Checkpointed: saves, BestEffort: k.Fills, LongRunning: k.Lasting, Image: image, TailTarget: k.Target,
			Estimate: time.Duration(mean * math.Exp(k.Off*rng.NormFloat64()) * float64(time.Second)),
		}
		if apart {
			s.MaxPerWorker = 1 + rng.IntN(2)
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		tasks, fails := make([]time.Duration, count), make([]int, count)
		for t := range tasks {
			if rng.Float64() < k.Fails {
				fails[t] = 1
			}
			tasks[t] = time.Duration(mean * math.Exp(uneven*rng.NormFloat64()) * float64(time.Second))
			work += tasks[t].Seconds() * float64(size.CPU)
		}
		j.Job.Steps = append(j.Job.Steps, s)
		j.Work = append(j.Work, tasks)
		j.Fails = append(j.Fails, fails)
	}
	usual := k.Steps.Mean * k.Width.Mean * k.CPU.Mean * k.Work.Mean
	j.Worth = min(mostWorth, baseWorth+workWorth*work/usual)
	return j
}

const (
	// Service is the service whose workers run all jobs.
	Service = "model"
	// uneven is how far the tasks of a step differ in what they take, in logarithms.
	uneven = 0.15
)
