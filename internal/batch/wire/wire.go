package wire

import "time"

// Size is an amount of resources: what a worker has or what a task needs.
type Size struct {
	CPU   int `json:"cpu" toml:"cpu"`     // millicores
	Mem   int `json:"mem" toml:"mem"`     // MiB
	Accel int `json:"accel" toml:"accel"` // accelerators
}

// Covers reports whether t fits into s in every dimension.
func (s Size) Covers(t Size) bool {
	return t.CPU <= s.CPU && t.Mem <= s.Mem && t.Accel <= s.Accel
}

// Plus returns the sum of s and t in every dimension.
func (s Size) Plus(t Size) Size {
	return Size{s.CPU + t.CPU, s.Mem + t.Mem, s.Accel + t.Accel}
}

// Minus returns s reduced by t in every dimension.
func (s Size) Minus(t Size) Size {
	return Size{s.CPU - t.CPU, s.Mem - t.Mem, s.Accel - t.Accel}
}

// TaskState is the state of a task on its worker.
type TaskState string

// The states of a task on a worker.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskStopped  TaskState = "stopped" // evicted; TaskReport.Done is the work saved
	TaskFailed   TaskState = "failed"
)

// Refusal is the reason why a worker refused a command.
type Refusal string

// The reasons for a refusal. A refused command has changed nothing on the worker.
const (
	RefusalEpochMismatch  Refusal = "epoch" // the command carries another epoch than the worker is fenced with
	RefusalLeaseExpired   Refusal = "lease" // the worker's lease has expired
	RefusalNoCapacity     Refusal = "room"  // not enough free resources
	RefusalDeadlinePassed Refusal = "late"  // the start arrived after its NotAfter
)

// Verb says what a TaskCommandRequest does with a task that is on the worker.
type Verb string

// The verbs of a TaskCommandRequest.
const (
	VerbCheckpoint   Verb = "checkpoint" // save the progress, then stop the task
	VerbStop         Verb = "stop"       // stop the task; the progress since its start is lost
	VerbThrottle     Verb = "throttle"   // limit the task to a share of full speed
	VerbAcceptResult Verb = "accept"     // publish the result of a finished task, then forget the task
	VerbForget       Verb = "forget"     // forget a task that no longer runs, and discard its result
)

// Task describes a task to the worker that runs it.
type Task struct {
	ID          string        `json:"id"`                 // unique for each placement of a task
	Size        Size          `json:"size"`               // resources that the task occupies
	Duration    time.Duration `json:"run"`                // total work, as run time at full speed
	ResumeFrom  time.Duration `json:"from"`               // work saved by a checkpoint, from which the task resumes
	LongRunning bool          `json:"standing,omitempty"` // never finishes
}

// WorkerTime is a point in time on a worker's monotonic clock: the time since the worker
// process started.
type WorkerTime time.Duration

// FenceRequest raises a worker's epoch, so that it refuses commands of older epochs. It
// doesn't extend the worker's lease.
type FenceRequest struct {
	Epoch uint64 `json:"epoch"`
}

// RenewRequest extends the lease of a worker: its tasks may run until the given time. The
// time is on the worker's clock, so a delayed renewal doesn't extend the lease beyond it.
type RenewRequest struct {
	Epoch uint64     `json:"epoch"`
	Until WorkerTime `json:"until"`
}

// StartRequest starts a task, unless it arrives after NotAfter on the worker's clock. It is
// idempotent: it changes nothing when the worker already has the task.
type StartRequest struct {
	Epoch    uint64     `json:"epoch"`
	NotAfter WorkerTime `json:"notafter"`
	Task     Task       `json:"task"`
}

// TaskCommandRequest applies a verb to a task that is on the worker.
type TaskCommandRequest struct {
	Epoch  uint64  `json:"epoch"`
	TaskID string  `json:"id"`
	Verb   Verb    `json:"verb"`
	Rate   float64 `json:"rate,omitempty"` // share of full speed, 0 to 1, with VerbThrottle
}

// TaskReport is the state of one task on its worker.
type TaskReport struct {
	ID    string        `json:"id"`
	State TaskState     `json:"state"`
	Done  time.Duration `json:"done"` // work done, including what was done before this start
	Size  Size          `json:"size"` // resources that the task occupies
}

// Report is the inventory of a worker. As the answer to a command it is current; a polled
// report may be out of date.
type Report struct {
	Epoch uint64       `json:"epoch"` // with which the worker is fenced
	Now   WorkerTime   `json:"now"`   // when the report was made
	Size  Size         `json:"size"`  // total resources of the worker
	Tasks []TaskReport `json:"tasks"` // tasks that the worker has not forgotten
}
