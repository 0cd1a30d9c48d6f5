package sched

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// ErrInvalidJob is wrapped by every error that Job.Validate returns.
var ErrInvalidJob = errors.New("sched: invalid job")

// State is the state of a job as callers see it.
type State string

// The states of a job; the last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether a job in this state never changes again.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count          int           `json:"count"`
	Size           wire.Size     `json:"size"`              // resources of one task
	Estimate       time.Duration `json:"est,omitempty"`     // the caller's estimate of a task's duration; 0: none
	DependsOn      []int         `json:"after,omitempty"`   // indexes of earlier steps that must be done first
	Checkpointed   bool          `json:"saves,omitempty"`   // its tasks save checkpoints from which a later run resumes
	Gang           bool          `json:"gang,omitempty"`    // its tasks run only all at the same time
	SameRack       bool          `json:"tight,omitempty"`   // a gang that is slower when spread over several racks
	RequiredLabel  string        `json:"label,omitempty"`   // label that a worker must have to run it; empty: any worker
	DataRack       string        `json:"rack,omitempty"`    // rack of its input data; its tasks are slower elsewhere
	MaxPerWorker   int           `json:"apart,omitempty"`   // most tasks of the step on one worker; 0: no limit
	Speculative    bool          `json:"copies,omitempty"`  // a task may have more than one run at a time
	LongRunning    bool          `json:"lasting,omitempty"` // tasks run until the job is cancelled, restarted however they end
	Image          string        `json:"image,omitempty"`   // program; decides the interference that tasks cause and suffer
	TailTarget     time.Duration `json:"target,omitempty"`  // tail latency to keep if long-running; 0: not latency-critical
	BestEffort     bool          `json:"fills,omitempty"`   // uses only CPU time that other tasks leave unused
	MaxUnavailable int           `json:"miss,omitempty"`    // most tasks made unavailable at a time by scheduling; not enforced
}

// Job is what a caller submits, with the settings that its queue had at that time.
//
// An occurrence is on time if it ends within its relative deadline after its release:
// DeadlineBase + StretchFactor x critical path.
type Job struct {
	ID              string        `json:"id"`
	Queue           string        `json:"queue"`
	Service         string        `json:"service"` // service whose workers run it
	Spec            string        `json:"spec"`    // passed to the worker unchanged
	Steps           []Step        `json:"steps"`
	FirstDue        time.Time     `json:"first,omitzero"`    // when the first occurrence is released, for a recurring job
	Interval        time.Duration `json:"every,omitempty"`   // time between two occurrences
	OccurrenceCount int           `json:"times,omitempty"`   // number of occurrences; 0: one, released when the job is accepted
	Priority        int           `json:"prio,omitempty"`    // jobs of lower numbers are placed first
	MaxAttempts     int           `json:"tries"`             // failed runs of one task that make the job fail
	StretchFactor   float64       `json:"stretch,omitempty"` // multiple of the critical path in the relative deadline
	DeadlineBase    time.Duration `json:"aim,omitempty"`     // constant part of the relative deadline
	AcceptedAt      time.Time     `json:"at"`                // when the job was accepted
}

// Limits of a job, far above what callers send. They keep one submission from using up a host's memory.
const (
	// MaxSteps is the largest number of steps of a job.
	MaxSteps       = 64
	maxTasks       = 10_000
	maxOccurrences = 100_000
	maxSpecBytes   = 16 << 10
	maxLabelBytes  = 1 << 10 // of each name and label of a step
)

// ValidateSubmission returns an error that names the first value of a submitted job that is invalid or too large, or nil. Jobs
// that are stored already may be larger.
func (j *Job) ValidateSubmission() error {
	if len(j.Spec) > maxSpecBytes {
		return errors.Wrapf(ErrInvalidJob, "spec of %d bytes, allowed are %d", len(j.Spec), maxSpecBytes)
	}
	for i, s := range j.Steps {
		if len(s.DependsOn) > MaxSteps {
			return errors.Wrapf(ErrInvalidJob, "step %d: comes after %d steps, allowed are %d", i, len(s.DependsOn), MaxSteps)
		}
		if n := max(len(s.RequiredLabel), len(s.DataRack), len(s.Image)); n > maxLabelBytes {
			return errors.Wrapf(ErrInvalidJob, "step %d: name of %d bytes, allowed are %d", i, n, maxLabelBytes)
		}
	}
	return j.Validate()
}

// Validate returns an error that names the first invalid value of the job, or nil.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Wrapf(ErrInvalidJob, "%d steps, allowed are 1 to %d", len(j.Steps), MaxSteps)
	}
	tasks := 0
	for i, s := range j.Steps {
		tasks += s.Count
		switch {
		case s.Count < 1:
			return errors.Wrapf(ErrInvalidJob, "step %d: count %d is below 1", i, s.Count)
		case tasks > maxTasks:
			return errors.Wrapf(ErrInvalidJob, "over %d tasks", maxTasks)
		case s.Size.CPU < 0 || s.Size.Mem < 0 || s.Size.Accel < 0:
			return errors.Wrapf(ErrInvalidJob, "step %d: negative size", i)
		}
		for _, a := range s.DependsOn {
			if a < 0 || a >= i {
				return errors.Wrapf(ErrInvalidJob, "step %d: comes after step %d, which is no earlier step", i, a)
			}
		}
	}
	if j.OccurrenceCount < 0 || j.OccurrenceCount > maxOccurrences || j.OccurrenceCount > 0 && j.Interval < 0 {
		return errors.Wrapf(ErrInvalidJob, "%d occurrences every %s", j.OccurrenceCount, j.Interval)
	}
	return nil
}

// TaskID identifies a task.
type TaskID struct {
	Job        string // id of the job
	Occurrence int    // number of the job's occurrence, from 0
	Step       int    // index of the step in Job.Steps
	Index      int    // index of the task in its step
}

// String returns the id in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID parses the form that TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return TaskID{}, errors.Errorf("sched: %q is no task", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(p[i+1])
		if err != nil || v < 0 {
			return TaskID{}, errors.Errorf("sched: %q is no task", s)
		}
		n[i] = v
	}
	return TaskID{p[0], n[0], n[1], n[2]}, nil
}

// Queue accepts the jobs that are submitted under one host and path prefix. Jobs take its settings when they are accepted.
type Queue struct {
	Name     string
	Host     string        // host name of the requests that it accepts
	Prefix   string        // path prefix of these
	Service  string        // Job.Service
	Priority int           // Job.Priority
	Tries    int           // Job.MaxAttempts
	Stretch  float64       // Job.StretchFactor
	Aim      time.Duration // Job.DeadlineBase
	// Advised means that a service of the operators decides which workers may run its steps. This is not supported: jobs of
	// the queue are refused.
	Advised bool
}

// Config is the configuration that operators have set. Version only grows.
type Config struct {
	Version int64
	Queues  []Queue
}

// MatchQueue returns the queue for a host and path, and whether there is one. Of the host's queues whose prefix
// matches, it is the one with the longest prefix.
func (c *Config) MatchQueue(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}
