package sched

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// ErrInvalidJob wraps every error about what a job asks for.
var ErrInvalidJob = errors.New("sched: invalid job")

// State is how far a job is, as callers see it.
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

// Step is a number of equal tasks of a job.
type Step struct {
	Count          int           `json:"count"`
	Size           wire.Size     `json:"size"`              // of one task
	Estimate       time.Duration `json:"est,omitempty"`     // the caller's guess of a task's time
	DependsOn      []int         `json:"after,omitempty"`   // earlier steps that must be done first
	Checkpointed   bool          `json:"saves,omitempty"`   // its progress is saved and can be resumed
	Gang           bool          `json:"gang,omitempty"`    // its tasks work only all together
	SameRack       bool          `json:"tight,omitempty"`   // slower when spread over racks
	RequiredLabel  string        `json:"label,omitempty"`   // that its workers must carry
	DataRack       string        `json:"rack,omitempty"`    // where its data lies; slower elsewhere
	MaxPerWorker   int           `json:"apart,omitempty"`   // at most so many tasks on one worker; 0: any
	Speculative    bool          `json:"copies,omitempty"`  // tasks may run more than once at a time
	LongRunning    bool          `json:"lasting,omitempty"` // runs until cancelled, restarted however it ends
	Image          string        `json:"image,omitempty"`   // tasks of one image behave alike
	TailTarget     time.Duration `json:"target,omitempty"`  // tail latency that a serving task must keep; 0: not serving
	BestEffort     bool          `json:"fills,omitempty"`   // uses only processor time that others leave
	MaxUnavailable int           `json:"miss,omitempty"`    // tasks that may be away by our doing
}

// Job is what a caller hands in, with what the configuration said of its queue then.
type Job struct {
	ID              string        `json:"id"`
	Queue           string        `json:"queue"`
	Service         string        `json:"service"` // whose workers run it
	Spec            string        `json:"spec"`    // passed to the worker as it is
	Steps           []Step        `json:"steps"`
	FirstDue        time.Time     `json:"first,omitzero"`  // when the first occurrence is due
	Interval        time.Duration `json:"every,omitempty"` // between two occurrences
	OccurrenceCount int           `json:"times,omitempty"` // occurrences; 0: a job that runs once, now
	Priority        int           `json:"prio,omitempty"`  // 0 comes first
	MaxAttempts     int           `json:"tries"`           // failed runs of a task after which the job has failed
	StretchFactor   float64       `json:"stretch,omitempty"`
	DeadlineBase    time.Duration `json:"aim,omitempty"` // allowed beyond Stretch times the work
	AcceptedAt      time.Time     `json:"at"`            // when it was accepted
}

// Bounds of a job, far above what callers send; they keep one hand-in from taking a host's memory.
const (
	maxSteps       = 64
	maxTasks       = 10_000
	maxOccurrences = 100_000
)

// Validate returns an error that names the first thing wrong with the job.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return errors.Wrapf(ErrInvalidJob, "%d steps, allowed are 1 to %d", len(j.Steps), maxSteps)
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

// TaskID names a task of a job's occurrence.
type TaskID struct {
	Job        string
	Occurrence int // the occurrence, from 0
	Step       int
	Index      int
}

// String returns the name as JOB.ROUND.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID reads what String writes.
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

// Queue is a way in for jobs.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Service  string
	Priority int
	Tries    int
	Stretch  float64
	Aim      time.Duration
	Advised  bool // only a service of the operators knows which workers may run its steps
}

// Config is what operators have set, with a version that only grows.
type Config struct {
	Version int64
	Queues  []Queue
}

// MatchQueue returns the queue for a host and path: of those for the host, the one with the longest prefix.
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
