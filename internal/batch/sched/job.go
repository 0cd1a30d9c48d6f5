package sched

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// ErrJob wraps every error about what a job asks for.
var ErrJob = errors.New("sched: invalid job")

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
	Count    int           `json:"count"`
	Size     wire.Size     `json:"size"`              // of one task
	Estimate time.Duration `json:"est,omitempty"`     // the caller's guess of a task's time
	After    []int         `json:"after,omitempty"`   // earlier steps that must be done first
	Saves    bool          `json:"saves,omitempty"`   // its progress is saved and can be resumed
	Gang     bool          `json:"gang,omitempty"`    // its tasks work only all together
	Tight    bool          `json:"tight,omitempty"`   // slower when spread over racks
	Label    string        `json:"label,omitempty"`   // that its workers must carry
	Rack     string        `json:"rack,omitempty"`    // where its data lies; slower elsewhere
	Apart    int           `json:"apart,omitempty"`   // at most so many tasks on one worker; 0: any
	Copies   bool          `json:"copies,omitempty"`  // tasks may run more than once at a time
	Lasting  bool          `json:"lasting,omitempty"` // runs until cancelled, restarted however it ends
	Image    string        `json:"image,omitempty"`   // tasks of one image behave alike
	Target   time.Duration `json:"target,omitempty"`  // tail latency that a serving task must keep; 0: not serving
	Fills    bool          `json:"fills,omitempty"`   // uses only processor time that others leave
	MayMiss  int           `json:"miss,omitempty"`    // tasks that may be away by our doing
}

// Job is what a caller hands in, with what the configuration said of its queue then.
type Job struct {
	ID       string        `json:"id"`
	Queue    string        `json:"queue"`
	Service  string        `json:"service"` // whose workers run it
	Spec     string        `json:"spec"`    // passed to the worker as it is
	Steps    []Step        `json:"steps"`
	First    time.Time     `json:"first,omitzero"`  // when the first occurrence is due
	Every    time.Duration `json:"every,omitempty"` // between two occurrences
	Times    int           `json:"times,omitempty"` // occurrences; 0: a job that runs once, now
	Priority int           `json:"prio,omitempty"`  // 0 comes first
	Tries    int           `json:"tries"`           // failed runs of a task after which the job has failed
	Stretch  float64       `json:"stretch,omitempty"`
	Aim      time.Duration `json:"aim,omitempty"` // allowed beyond Stretch times the work
	At       time.Time     `json:"at"`            // when it was accepted
}

// Bounds of a job, far above what callers send; they keep one hand-in from taking a host's memory.
const (
	maxSteps = 64
	maxTasks = 10_000
	maxTimes = 100_000
)

// Check returns an error that names the first thing wrong with the job.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return errors.Wrapf(ErrJob, "%d steps, allowed are 1 to %d", len(j.Steps), maxSteps)
	}
	tasks := 0
	for i, s := range j.Steps {
		tasks += s.Count
		switch {
		case s.Count < 1:
			return errors.Wrapf(ErrJob, "step %d: count %d is below 1", i, s.Count)
		case tasks > maxTasks:
			return errors.Wrapf(ErrJob, "over %d tasks", maxTasks)
		case s.Size.CPU < 0 || s.Size.Mem < 0 || s.Size.Accel < 0:
			return errors.Wrapf(ErrJob, "step %d: negative size", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return errors.Wrapf(ErrJob, "step %d: comes after step %d, which is no earlier step", i, a)
			}
		}
	}
	if j.Times < 0 || j.Times > maxTimes || j.Times > 0 && j.Every < 0 {
		return errors.Wrapf(ErrJob, "%d occurrences every %s", j.Times, j.Every)
	}
	return nil
}

// TaskID names a task of a job's occurrence.
type TaskID struct {
	Job   string
	Round int // the occurrence, from 0
	Step  int
	Index int
}

// String returns the name as JOB.ROUND.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index)
}

// ParseTask reads what String writes.
func ParseTask(s string) (TaskID, error) {
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

// Match returns the queue for a host and path: of those for the host, the one with the longest prefix.
func (c *Config) Match(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}
