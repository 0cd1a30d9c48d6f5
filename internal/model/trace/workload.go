package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// LogNormal is a log-normal distribution whose samples are limited to a maximum.
type LogNormal struct {
	Mean, Sigma, Max float64 // mean without the limit, standard deviation of the logarithm, largest sample
}

// sample draws a value.
func (l LogNormal) sample(rng *rand.Rand) float64 {
	// The mean of a log-normal distribution with parameters mu and sigma is exp(mu + sigma*sigma/2).
	value := l.Mean * math.Exp(l.Sigma*rng.NormFloat64()-l.Sigma*l.Sigma/2)
	return min(value, l.Max)
}

// JobKind describes the jobs of one kind: their arrivals, size, duration and value. All jobs of a
// kind go to the queue of its name.
type JobKind struct {
	Name              string
	ArrivalRate       float64   // jobs per second
	InitialJobs       int       // jobs submitted at the start
	StepCount         LogNormal // steps of a job; each depends on the one before
	TaskCount         LogNormal // tasks of a step
	TaskCPU           LogNormal // millicores of a task
	TaskMem           LogNormal // MiB of a task
	TaskSeconds       LogNormal // duration of a task at full speed, in seconds; sampled for each step, around which its tasks vary
	Priority          int
	DeadlineBase      time.Duration // part of the relative deadline that is the same for all jobs
	StretchFactor     float64       // part of the relative deadline per length of the critical path
	OnTimeValue       float64       // value of a job that completes on time; of a long-running job per period without violations
	LateValue         float64       // value of a job that takes up to three times its relative deadline
	CheckpointedShare float64       // fraction of jobs whose tasks write checkpoints
	SpreadShare       float64       // fraction of jobs that allow only one or two tasks of a step on a worker
	FailureShare      float64       // fraction of tasks whose first run fails
	EstimateSigma     float64       // error of the callers' estimates, as a standard deviation of the logarithm
	ImageCount        int           // number of images of which each job uses one; 0: none
	BestEffort        bool          // whether the tasks are best-effort
	LongRunning       bool          // whether the tasks run until the end of the scenario
	TailTarget        time.Duration // target of the tail latency of a latency-critical task; 0: none
}

// Scenario describes a deployment and its load.
type Scenario struct {
	Name                    string
	WorkerCount             int           // number of workers
	RackCount               int           // number of racks, over which the workers are spread evenly
	WorkerCPUs              []int         // millicores of the workers, used in turn
	WorkerMem               int           // MiB of each worker
	JobKinds                []JobKind     // kinds of the jobs that callers submit
	Duration                time.Duration // time in which jobs arrive
	LoadPeriod              time.Duration // period of the load on long-running tasks
	StrongInterferenceShare float64       // fraction of image pairs with strong interference
	MaxPressure             float64       // most that such a pair adds to the pressure if the best-effort tasks use a whole worker
}

// Job is a submitted job with its true durations and failures, which the scheduler doesn't know.
type Job struct {
	Kind          *JobKind
	SubmittedAt   time.Duration     // since the start of the scenario
	Spec          *sched.Job        // what the scheduler is given
	TaskDurations [][]time.Duration // at full speed, by step and task
	FailedRuns    [][]int           // number of first runs that fail, by step and task
	ValueFactor   float64           // multiplies the values of the job's kind; grows with the job's work
}

// CriticalPath returns the true length of the critical path. Each step depends on the one before,
// so it is the sum over all steps.
func (j *Job) CriticalPath() time.Duration {
	var sum time.Duration
	for i := range j.TaskDurations {
		sum += j.LongestTask(i)
	}
	return sum
}

// LongestTask returns the duration of a step's longest task, including its failed runs.
func (j *Job) LongestTask(step int) time.Duration {
	var longest time.Duration
	for t, d := range j.TaskDurations[step] {
		longest = max(longest, time.Duration(1+j.FailedRuns[step][t])*d)
	}
	return longest
}

// RelativeDeadline returns the duration after submission within which the job is on time.
func (j *Job) RelativeDeadline() time.Duration {
	return j.Kind.DeadlineBase + time.Duration(j.Kind.StretchFactor*float64(j.CriticalPath()))
}

const (
	// baseValueFactor is the part of Job.ValueFactor that doesn't depend on the job's size.
	baseValueFactor = 0.3
	// workValueFactor is the part that a job with the mean work of its kind adds.
	workValueFactor = 0.7
	// maxValueFactor limits the sum of both parts.
	maxValueFactor = 4
)

// GenerateJobs returns the jobs of the scenario and of the bursts among the faults, grouped by kind.
// The factor load multiplies the arrival rates of all kinds but the long-running ones. The same
// arguments give the same jobs.
func (s *Scenario) GenerateJobs(start time.Time, load float64, seed uint64, faults []Fault) []*Job {
	rng := rand.New(rand.NewPCG(seed, 7))
	var all []*Job
	for i := range s.JobKinds {
		k := &s.JobKinds[i]
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
			if at > s.Duration.Seconds() {
				break
			}
			all = append(all, k.generateJob(rng, start, time.Duration(at*float64(time.Second)), n))
		}
		all = append(all, s.generateBurstJobs(i, faults, start, load, seed, n)...)
	}
	return all
}

// generateJob generates the nth job of the kind, submitted at the given time after the start.
func (k *JobKind) generateJob(rng *rand.Rand, start time.Time, at time.Duration, n int) *Job {
	id := fmt.Sprintf("%s-%d", k.Name, n)
	j := &Job{Kind: k, SubmittedAt: at, Spec: &sched.Job{
		ID: id, Queue: k.Name, Service: Service, Spec: id, Priority: k.Priority, MaxAttempts: 3, StretchFactor: k.StretchFactor, DeadlineBase: k.DeadlineBase, AcceptedAt: start.Add(at),
	}}
	checkpointed, spread := rng.Float64() < k.CheckpointedShare, rng.Float64() < k.SpreadShare
	image := ""
	if k.ImageCount > 0 {
		image = fmt.Sprintf("%s-image%d", k.Name, rng.IntN(k.ImageCount))
	}
	work := 0.0
	for i := range max(1, int(math.Round(k.StepCount.sample(rng)))) {
		count := max(1, int(math.Round(k.TaskCount.sample(rng))))
		size := wire.Size{CPU: int(k.TaskCPU.sample(rng)), Mem: int(k.TaskMem.sample(rng))}
		mean := k.TaskSeconds.sample(rng)
		step := sched.Step{
			Count: count, Size: size, Checkpointed: checkpointed, BestEffort: k.BestEffort, LongRunning: k.LongRunning, Image: image, TailTarget: k.TailTarget,
			Estimate: time.Duration(mean * math.Exp(k.EstimateSigma*rng.NormFloat64()) * float64(time.Second)),
		}
		if spread {
			step.MaxPerWorker = 1 + rng.IntN(2)
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		durations, failedRuns := make([]time.Duration, count), make([]int, count)
		for t := range durations {
			if rng.Float64() < k.FailureShare {
				failedRuns[t] = 1
			}
			durations[t] = time.Duration(mean * math.Exp(taskDurationSigma*rng.NormFloat64()) * float64(time.Second))
			work += durations[t].Seconds() * float64(size.CPU)
		}
		j.Spec.Steps = append(j.Spec.Steps, step)
		j.TaskDurations = append(j.TaskDurations, durations)
		j.FailedRuns = append(j.FailedRuns, failedRuns)
	}
	meanWork := k.StepCount.Mean * k.TaskCount.Mean * k.TaskCPU.Mean * k.TaskSeconds.Mean
	j.ValueFactor = min(maxValueFactor, baseValueFactor+workValueFactor*work/meanWork)
	return j
}

const (
	// Service is the name of the service whose workers run all jobs.
	Service = "model"
	// taskDurationSigma is the standard deviation of the logarithm of durations among the tasks of a step.
	taskDurationSigma = 0.15
)
