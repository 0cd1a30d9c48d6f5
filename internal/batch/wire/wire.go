package wire

import "time"

// Size is an amount of a worker's resources.
type Size struct {
	CPU   int `json:"cpu" toml:"cpu"`     // millicores
	Mem   int `json:"mem" toml:"mem"`     // MiB
	Accel int `json:"accel" toml:"accel"` // accelerators
}

// Covers reports whether t fits into s in every dimension.
func (s Size) Covers(t Size) bool {
	return t.CPU <= s.CPU && t.Mem <= s.Mem && t.Accel <= s.Accel
}

// Minus returns s less t.
func (s Size) Minus(t Size) Size {
	return Size{s.CPU - t.CPU, s.Mem - t.Mem, s.Accel - t.Accel}
}

// TaskState is a task's state on its worker.
type TaskState string

// The states of a task on a worker.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskStopped  TaskState = "stopped" // evicted; Done tells how much is kept
	TaskFailed   TaskState = "failed"
)

// Refusal is the reason why a worker didn't carry out a command.
type Refusal string

// The reasons of a refusal; each means that nothing was changed.
const (
	RefusalEpochMismatch  Refusal = "epoch" // the command is of another holder's epoch
	RefusalLeaseExpired   Refusal = "lease" // the worker's lease has lapsed
	RefusalNoCapacity     Refusal = "room"  // not enough resources
	RefusalDeadlinePassed Refusal = "late"  // it arrived after its time
)

// Verb is a command about a task that is already on the worker.
type Verb string

// The verbs of Act.
const (
	VerbCheckpoint   Verb = "checkpoint" // save the progress, then stop
	VerbStop         Verb = "stop"       // stop and lose the progress since the start
	VerbThrottle     Verb = "throttle"
	VerbAcceptResult Verb = "accept" // a finished task counts: let its result out, then forget it
	VerbForget       Verb = "forget" // drop a task that no longer runs, with any result
)

// Task is what a worker needs to run a task.
type Task struct {
	ID          string        `json:"id"`
	Size        Size          `json:"size"`
	Duration    time.Duration `json:"run"`  // work in total
	ResumeFrom  time.Duration `json:"from"` // work done before, by checkpoint
	LongRunning bool          `json:"standing,omitempty"`
}

// WorkerTime is a moment on a worker's own monotonic clock, as time since the worker began.
type WorkerTime time.Duration

// FenceRequest raises a worker's epoch; it extends no lease.
type FenceRequest struct {
	Epoch uint64 `json:"epoch"`
}

// RenewRequest sets until when the worker's tasks may run. The moment is on the worker's own
// clock, so that a renewal which arrives late extends nothing.
type RenewRequest struct {
	Epoch uint64     `json:"epoch"`
	Until WorkerTime `json:"until"`
}

// StartRequest asks a worker to run a task not later than a moment on its own clock;
// repeating it for a task already there changes nothing.
type StartRequest struct {
	Epoch    uint64     `json:"epoch"`
	NotAfter WorkerTime `json:"notafter"`
	Task     Task       `json:"task"`
}

// TaskCommandRequest asks a worker to do something with a task that it has.
type TaskCommandRequest struct {
	Epoch  uint64  `json:"epoch"`
	TaskID string  `json:"id"`
	Verb   Verb    `json:"verb"`
	Rate   float64 `json:"rate,omitempty"` // share of full speed, 0 to 1, for a throttle
}

// TaskReport is one task as its worker sees it.
type TaskReport struct {
	ID    string        `json:"id"`
	State TaskState     `json:"state"`
	Done  time.Duration `json:"done"`
	Size  Size          `json:"size"`
}

// Report is a worker's inventory; in the answer to a command it is current, by itself it lags.
type Report struct {
	Epoch uint64       `json:"epoch"`
	Now   WorkerTime   `json:"now"`
	Size  Size         `json:"size"`
	Tasks []TaskReport `json:"tasks"`
}
