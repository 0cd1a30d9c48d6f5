package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// LogNormal is a quantity that varies: log-normal around a mean, cut at a most.
type LogNormal struct {
	Mean, Sigma, Max float64
}

func (s LogNormal) sample(rng *rand.Rand) float64 {
	// The mean of a log-normal with deviation d of its logarithm is exp(m + d*d/2).
	x := s.Mean * math.Exp(s.Sigma*rng.NormFloat64()-s.Sigma*s.Sigma/2)
	return min(x, s.Max)
}

// JobKind is a kind of job as callers hand it in.
type JobKind struct {
	Name              string
	ArrivalRate       float64 // jobs a second
	InitialJobs       int     // jobs at the start
	StepCount         LogNormal
	TaskCount         LogNormal // tasks of a step
	TaskCPU           LogNormal // millicores of a task
	TaskMem           LogNormal // MiB of a task
	TaskSeconds       LogNormal // seconds of a task
	Priority          int
	DeadlineBase      time.Duration
	StretchFactor     float64
	OnTimeValue       float64 // of a job on time
	LateValue         float64 // of one that is up to three times as late as its aim
	CheckpointedShare float64 // share of jobs whose tasks save their progress
	SpreadShare       float64 // share of jobs with few tasks on a worker
	FailureShare      float64 // share of tasks whose first run fails
	EstimateSigma     float64 // deviation of the callers' estimates
	ImageCount        int
	BestEffort        bool
	LongRunning       bool
	TailTarget        time.Duration // of the tail of a lasting task
}

// Scenario is a deployment and its load.
type Scenario struct {
	Name                    string
	WorkerCount             int
	RackCount               int   // of equal size
	WorkerCPUs              []int // millicores of a worker, in turn
	WorkerMem               int   // MiB of a worker
	JobKinds                []JobKind
	Duration                time.Duration // in which jobs come
	LoadPeriod              time.Duration // of the load on lasting tasks
	StrongInterferenceShare float64       // share of pairs of images that disturb much
	MaxPressure             float64       // most that such a pair adds to the pressure, a worker's worth of use
}

// Job is a job that is handed in.
type Job struct {
	Kind          *JobKind
	SubmittedAt   time.Duration
	Spec          *sched.Job
	TaskDurations [][]time.Duration // of each step's tasks, at full speed
	FailedRuns    [][]int           // first runs of each step's tasks that fail
	ValueFactor   float64           // its own, beside its kind's
}

// CriticalPath returns the longest chain of steps, from perfect knowledge.
func (j *Job) CriticalPath() time.Duration {
	var sum time.Duration
	for i := range j.TaskDurations {
		sum += j.LongestTask(i)
	}
	return sum
}

// LongestTask returns the time of a step's longest task, with the runs of it that fail.
func (j *Job) LongestTask(step int) time.Duration {
	var most time.Duration
	for t, w := range j.TaskDurations[step] {
		most = max(most, time.Duration(1+j.FailedRuns[step][t])*w)
	}
	return most
}

// RelativeDeadline is the time within which the job is on time.
func (j *Job) RelativeDeadline() time.Duration {
	return j.Kind.DeadlineBase + time.Duration(j.Kind.StretchFactor*float64(j.CriticalPath()))
}

const (
	// baseValueFactor and workWorth are what a job is worth whatever its size, and what its work adds
	// against the mean of its kind; mostWorth bounds both together.
	baseValueFactor = 0.3
	workValueFactor = 0.7
	maxValueFactor  = 4
)

// GenerateJobs returns a day's jobs with those of its bursts, the same for the same seed.
func (d *Scenario) GenerateJobs(start time.Time, load float64, seed uint64, faults []Fault) []*Job {
	rng := rand.New(rand.NewPCG(seed, 7))
	var all []*Job
	for i := range d.JobKinds {
		k := &d.JobKinds[i]
		for n := range k.InitialJobs {
			all = append(all, k.generateJob(rng, start, 0, n))
		}
		rate := k.ArrivalRate
		if !k.LongRunning {
			rate *= load
		}
		at, n := 0.0, k.InitialJobs
		for ; rate > 0; n++ {
			at += rng.ExpFloat64() / rate
			if at > d.Duration.Seconds() {
				break
			}
			all = append(all, k.generateJob(rng, start, time.Duration(at*float64(time.Second)), n))
		}
		all = append(all, d.generateBurstJobs(i, faults, start, load, seed, n)...)
	}
	return all
}

func (k *JobKind) generateJob(rng *rand.Rand, start time.Time, at time.Duration, n int) *Job {
	id := fmt.Sprintf("%s-%d", k.Name, n)
	j := &Job{Kind: k, SubmittedAt: at, Spec: &sched.Job{
		ID: id, Queue: k.Name, Service: Service, Spec: id, Priority: k.Priority, MaxAttempts: 3, StretchFactor: k.StretchFactor, DeadlineBase: k.DeadlineBase, AcceptedAt: start.Add(at),
	}}
	saves, apart := rng.Float64() < k.CheckpointedShare, rng.Float64() < k.SpreadShare
	image := ""
	if k.ImageCount > 0 {
		image = fmt.Sprintf("%s-image%d", k.Name, rng.IntN(k.ImageCount))
	}
	work := 0.0
	for i := range max(1, int(math.Round(k.StepCount.sample(rng)))) {
		count := max(1, int(math.Round(k.TaskCount.sample(rng))))
		size := wire.Size{CPU: int(k.TaskCPU.sample(rng)), Mem: int(k.TaskMem.sample(rng))}
		mean := k.TaskSeconds.sample(rng)
		s := sched.Step{
			Count: count, Size: size, Checkpointed: saves, BestEffort: k.BestEffort, LongRunning: k.LongRunning, Image: image, TailTarget: k.TailTarget,
			Estimate: time.Duration(mean * math.Exp(k.EstimateSigma*rng.NormFloat64()) * float64(time.Second)),
		}
		if apart {
			s.MaxPerWorker = 1 + rng.IntN(2)
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		tasks, fails := make([]time.Duration, count), make([]int, count)
		for t := range tasks {
			if rng.Float64() < k.FailureShare {
				fails[t] = 1
			}
			tasks[t] = time.Duration(mean * math.Exp(taskDurationSigma*rng.NormFloat64()) * float64(time.Second))
			work += tasks[t].Seconds() * float64(size.CPU)
		}
		j.Spec.Steps = append(j.Spec.Steps, s)
		j.TaskDurations = append(j.TaskDurations, tasks)
		j.FailedRuns = append(j.FailedRuns, fails)
	}
	usual := k.StepCount.Mean * k.TaskCount.Mean * k.TaskCPU.Mean * k.TaskSeconds.Mean
	j.ValueFactor = min(maxValueFactor, baseValueFactor+workValueFactor*work/usual)
	return j
}

const (
	// Service is the service whose workers run all jobs.
	Service = "model"
	// taskDurationSigma is how far the tasks of a step differ in what they take, in logarithms.
	taskDurationSigma = 0.15
)
