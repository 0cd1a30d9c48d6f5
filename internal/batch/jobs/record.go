package jobs

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// State is the state of a job.
type State string

// The states of a job; all but open are final.
const (
	StateOpen      State = "open"      // accepted, with unfinished tasks
	StateDone      State = "done"      // all tasks have finished
	StateCancelled State = "cancelled" // ended by its user
	StateParked    State = "parked"    // can't run or keeps failing; Job.Why gives the reason
)

// Rank is the priority class of a job. It decides whose tasks are placed first.
type Rank string

// The ranks of a job; the empty rank counts as normal.
const (
	RankUrgent Rank = "urgent"
	RankNormal Rank = "normal"
	RankLow    Rank = "low"
)

// Spec is a job as a user submits it: N tasks of equal size.
type Spec struct {
	ID       string        `json:"id"`                 // chosen by the user; makes a repeated submission safe
	Kind     string        `json:"kind"`               // job kind; the configuration declares the failure domains that it may use
	Team     string        `json:"team,omitempty"`     // the customer
	Rank     Rank          `json:"rank,omitempty"`     // empty counts as normal
	N        int           `json:"n"`                  // number of tasks
	Size     wire.Size     `json:"size"`               // resources that each task needs
	Run      time.Duration `json:"run"`                // work of each task, as run time at full speed
	Standing bool          `json:"standing,omitempty"` // long-running: its tasks never finish and are placed before all others
}

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 10000

// ErrInvalidSpec means that a submitted job is invalid. The error that wraps it says why.
var ErrInvalidSpec = errors.New("jobs: invalid job")

// Validate returns an error that wraps ErrInvalidSpec and lists every fault of the job, or nil.
func (s Spec) Validate() error {
	var faults []string
	if s.ID == "" || len(s.ID) > 128 || strings.ContainsAny(s.ID, "/@ \t\n") {
		faults = append(faults, "id: needs 1 to 128 characters, none of them a space, / or @")
	}
	if s.Kind == "" {
		faults = append(faults, "kind: is missing")
	}
	if s.N < 1 || s.N > MaxTasks {
		faults = append(faults, fmt.Sprintf("n: must be 1 to %d, is %d", MaxTasks, s.N))
	}
	if s.Size.CPU <= 0 || s.Size.Mem <= 0 || s.Size.Accel < 0 {
		faults = append(faults, "size: cpu and mem must be above 0, accel not below")
	}
	if s.Run <= 0 && !s.Standing {
		faults = append(faults, "run: must be above 0")
	}
	switch s.Rank {
	case "", RankUrgent, RankNormal, RankLow:
	default:
		faults = append(faults, fmt.Sprintf("rank: %q is none of urgent, normal, low", s.Rank))
	}
	if len(faults) > 0 {
		return errors.Wrap(ErrInvalidSpec, strings.Join(faults, "; "))
	}
	return nil
}

// Placement is one placement of a task on a rack. A task that is returned and placed again
// gets a new placement number, so that a report about a superseded placement is never taken
// for one about the current placement. A placement is run at most once.
type Placement struct {
	Job   string // id of the job
	Index int    // of the task in its job, from 0
	No    uint64 // placement number, unique in the bucket and growing
}

// String returns the placement as job/index@no, which is also the task's id on its worker.
func (p Placement) String() string { return fmt.Sprintf("%s/%d@%d", p.Job, p.Index, p.No) }

// ParsePlacement parses the output of Placement.String. It returns false if s has another form.
func ParsePlacement(s string) (Placement, bool) {
	job, rest, ok := strings.Cut(s, "/")
	index, no, ok2 := strings.Cut(rest, "@")
	i, err := strconv.Atoi(index)
	n, err2 := strconv.ParseUint(no, 10, 64)
	return Placement{job, i, n}, ok && ok2 && err == nil && err2 == nil && i >= 0
}

// Assignment is the rack and the placement number of a placed task.
type Assignment struct {
	Rack string `json:"rack"`
	No   uint64 `json:"no"` // placement number
}

// Job is the state of one job in the record of its bucket. The maps are keyed by task index.
type Job struct {
	Spec  Spec                  `json:"spec"`
	State State                 `json:"state"`
	Why   string                `json:"why,omitempty"`   // why the job was parked
	Since time.Time             `json:"since"`           // when the job was submitted or, if it has ended, when it ended
	Done  *bitset.BitSet        `json:"done"`            // the finished tasks
	Place map[int]Assignment    `json:"place,omitempty"` // placements in force
	Won   map[int]uint64        `json:"won,omitempty"`   // number of the placement that finished a task, until its worker has accepted the result
	Kept  map[int]time.Duration `json:"kept,omitempty"`  // work of unfinished tasks saved by checkpoints
	Fails map[int]int           `json:"fails,omitempty"` // number of failures
	Next  int                   `json:"next"`            // lowest index from which on no task was ever placed
}

// Bucket is the record of a bucket of jobs as the store holds it.
type Bucket struct {
	WriteID       string          `json:"id"`   // unique for each write, so that a write whose answer was lost can be recognized
	HolderEpoch   uint64          `json:"ep"`   // epoch of the holding that wrote the record
	LastPlacement uint64          `json:"no"`   // highest placement number given so far
	Jobs          map[string]*Job `json:"jobs"` // by id
}

// unfinished returns the number of tasks that haven't finished.
func (j *Job) unfinished() int { return j.Spec.N - int(j.Done.Count()) }

// unplaced returns the indexes of at most n unfinished tasks that no rack has, in ascending
// order. It returns none for an ended job.
func (j *Job) unplaced(n int) []int {
	var tasks []int
	if j.State != StateOpen {
		return nil
	}
	for _, i := range j.returnedTasks() {
		if len(tasks) < n {
			tasks = append(tasks, i)
		}
	}
	for i := j.Next; i < j.Spec.N && len(tasks) < n; i++ {
		tasks = append(tasks, i)
	}
	return tasks
}

// returnedTasks returns the unfinished tasks below Next that no rack has: they were placed
// before and failed or were returned.
func (j *Job) returnedTasks() []int {
	var tasks []int
	if len(j.Place)+int(j.Done.Count()) == j.Next {
		return nil
	}
	for i := range j.Next {
		if _, placed := j.Place[i]; !placed && !j.Done.Test(uint(i)) {
			tasks = append(tasks, i)
		}
	}
	slices.Sort(tasks)
	return tasks
}
