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

// State is a job's state.
type State string

// The states of a job; all but open are final.
const (
	StateOpen      State = "open"
	StateDone      State = "done"
	StateCancelled State = "cancelled"
	StateParked    State = "parked" // it can't run; Why says the reason
)

// Rank orders tasks that wait.
type Rank string

// The ranks of a job; the zero value counts as normal.
const (
	RankUrgent Rank = "urgent"
	RankNormal Rank = "normal"
	RankLow    Rank = "low"
)

// Spec is what a user submits: N equal tasks.
type Spec struct {
	ID       string        `json:"id"`
	Kind     string        `json:"kind"` // as declared in the sheet, with its failure domains
	Team     string        `json:"team,omitempty"`
	Rank     Rank          `json:"rank,omitempty"`
	N        int           `json:"n"`
	Size     wire.Size     `json:"size"`
	Run      time.Duration `json:"run"`
	Standing bool          `json:"standing,omitempty"` // never finishes and is restarted first
}

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 10000

// ErrInvalidSpec says that a job can't be accepted as it is; its text says why.
var ErrInvalidSpec = errors.New("jobs: invalid job")

// Validate returns ErrSpec with every fault of the job.
func (s Spec) Validate() error {
	var f []string
	if s.ID == "" || len(s.ID) > 128 || strings.ContainsAny(s.ID, "/@ \t\n") {
		f = append(f, "id: needs 1 to 128 characters, none of them a space, / or @")
	}
	if s.Kind == "" {
		f = append(f, "kind: is missing")
	}
	if s.N < 1 || s.N > MaxTasks {
		f = append(f, fmt.Sprintf("n: must be 1 to %d, is %d", MaxTasks, s.N))
	}
	if s.Size.CPU <= 0 || s.Size.Mem <= 0 || s.Size.Accel < 0 {
		f = append(f, "size: cpu and mem must be above 0, accel not below")
	}
	if s.Run <= 0 && !s.Standing {
		f = append(f, "run: must be above 0")
	}
	switch s.Rank {
	case "", RankUrgent, RankNormal, RankLow:
	default:
		f = append(f, fmt.Sprintf("rank: %q is none of urgent, normal, low", s.Rank))
	}
	if len(f) > 0 {
		return errors.Wrap(ErrInvalidSpec, strings.Join(f, "; "))
	}
	return nil
}

// Placement is one placement of a task on a rack. A task that goes back and is placed again
// gets another number, so that what is said of a former placement is never taken for the
// present one. A placement is run at most once.
type Placement struct {
	Job   string
	Index int
	No    uint64
}

// String returns the placement as job/index@no, which is also its id on the worker.
func (p Placement) String() string { return fmt.Sprintf("%s/%d@%d", p.Job, p.Index, p.No) }

// ParsePlacement reads what String returned.
func ParsePlacement(s string) (Placement, bool) {
	job, rest, ok := strings.Cut(s, "/")
	index, no, ok2 := strings.Cut(rest, "@")
	i, err := strconv.Atoi(index)
	n, err2 := strconv.ParseUint(no, 10, 64)
	return Placement{job, i, n}, ok && ok2 && err == nil && err2 == nil && i >= 0
}

// Assignment says which rack has a task, under which number.
type Assignment struct {
	Rack string `json:"rack"`
	No   uint64 `json:"no"`
}

// Job is one job as it stands in the record.
type Job struct {
	Spec  Spec                  `json:"spec"`
	State State                 `json:"state"`
	Why   string                `json:"why,omitempty"`
	Since time.Time             `json:"since"` // of the state
	Done  *bitset.BitSet        `json:"done"`
	Place map[int]Assignment    `json:"place,omitempty"`
	Won   map[int]uint64        `json:"won,omitempty"`  // the placement that finished each task, until its worker knows
	Kept  map[int]time.Duration `json:"kept,omitempty"` // work kept by checkpoints
	Fails map[int]int           `json:"fails,omitempty"`
	Next  int                   `json:"next"` // no task from here on was ever placed
}

// Bucket is the record as it stands in the store.
type Bucket struct {
	WriteID       string          `json:"id"` // of the write, so that a lost answer can be settled
	HolderEpoch   uint64          `json:"ep"` // of the holder that wrote it
	LastPlacement uint64          `json:"no"` // the highest number of a placement
	Jobs          map[string]*Job `json:"jobs"`
}

// unfinished returns how many tasks aren't finished.
func (j *Job) unfinished() int { return j.Spec.N - int(j.Done.Count()) }

// unplaced returns the unfinished tasks that no rack has, lowest first, at most n.
func (j *Job) unplaced(n int) []int {
	var list []int
	if j.State != StateOpen {
		return nil
	}
	for _, i := range j.returnedTasks() {
		if len(list) < n {
			list = append(list, i)
		}
	}
	for i := j.Next; i < j.Spec.N && len(list) < n; i++ {
		list = append(list, i)
	}
	return list
}

// returnedTasks lists the tasks below Next that no rack has and that aren't finished.
func (j *Job) returnedTasks() []int {
	var list []int
	if len(j.Place)+int(j.Done.Count()) == j.Next {
		return nil
	}
	for i := range j.Next {
		if _, placed := j.Place[i]; !placed && !j.Done.Test(uint(i)) {
			list = append(list, i)
		}
	}
	slices.Sort(list)
	return list
}
