package jobs

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

var (
	// ErrFull says that the bucket's record has no room; the job may be tried later.
	ErrFull = errors.New("jobs: bucket full")
	// ErrIDTaken says that another job has the id.
	ErrIDTaken = errors.New("jobs: id taken by a different job")
	// ErrNotFound says that no job has the id.
	ErrNotFound = errors.New("jobs: no such job")
)

const (
	// recordHeadroom is how much of the largest value stays free for what accepted jobs add.
	recordHeadroom  = 1 << 18
	maxRecordBytes  = 1 << 20
	endedRetention  = time.Hour // how long finished jobs stay, for repeats of their submission
	maxTaskFailures = 3         // failures of one task, that park its job
)

// Offer is what a rack has free.
type Offer struct {
	Free []wire.Size // of each worker
	Max  wire.Size   // the largest worker's whole size
}

// RackReport is what a rack's holder tells a bucket's holder.
type RackReport struct {
	Rack     string
	Zone     string
	Ep       uint64 // of the rack's holder
	Usable   bool   // tasks may start there
	Offer    Offer
	Heard    uint64 // the highest number of a placement that it was told of; the offer knows nothing of later ones
	Finished []Placement
	Released []Placement // finished ones whose worker has learned that they count
	Failed   []Placement
	Back     map[Placement]time.Duration // given back: not run there and never will be; with the work kept
}

// Task is a task that a rack is to run.
type Task struct {
	Place Placement
	Spec  Spec
	From  time.Duration
}

// RackReply is what a bucket's holder answers to a report.
type RackReply struct {
	OK       bool        // false: the report is a former holder's, nothing was taken in
	Run      []Task      // everything that the rack is to run
	Counts   []Placement // finished ones that count; their results may go out
	Recorded []Placement // the other reported ones that are dealt with
	Ended    []Placement // those of jobs that have ended; the rack stops them or says that it hasn't got them
	Waiting  int         // tasks that have no rack yet
	Urgent   int         // those of them that are standing or urgent
}

// Core holds one bucket. What happened since the last write is in work; kept is what
// the store is known to hold. Others are only ever told what stands in both.
type Core struct {
	epoch      uint64
	working    Bucket
	committed  Bucket
	inFlight   *Bucket
	recordSize int // of the record in bytes when it was last written
	dirty      bool
	racks      map[string]rackStatus
}

type rackStatus struct {
	epoch         uint64
	largestWorker wire.Size
	reportedAt    time.Time
}

// New returns the core for the bucket as read from the store, held with epoch ep.
func New(b Bucket, ep uint64) *Core {
	if b.Jobs == nil {
		b.Jobs = map[string]*Job{}
	}
	c := &Core{epoch: ep, committed: b, working: b.clone(), racks: map[string]rackStatus{}}
	// The first write, even without a change, makes an earlier holder's writes fail.
	c.dirty = b.HolderEpoch != ep
	return c
}

func (b Bucket) clone() Bucket {
	out := Bucket{WriteID: b.WriteID, HolderEpoch: b.HolderEpoch, LastPlacement: b.LastPlacement, Jobs: make(map[string]*Job, len(b.Jobs))}
	for id, j := range b.Jobs {
		out.Jobs[id] = j.clone()
	}
	return out
}

func (j *Job) clone() *Job {
	k := *j
	k.Done = j.Done.Clone()
	k.Place, k.Won = cloneMap(j.Place), cloneMap(j.Won)
	k.Kept, k.Fails = cloneMap(j.Kept), cloneMap(j.Fails)
	return &k
}

// cloneMap copies a map; one that was empty in the store comes back ready for use.
func cloneMap[V any](m map[int]V) map[int]V {
	out := make(map[int]V, len(m))
	maps.Copy(out, m)
	return out
}

// Submit accepts a job into the working copy; it is accepted for its user once Kept
// says so. The same job again changes nothing.
func (c *Core) Submit(now time.Time, s Spec) error {
	if err := s.Validate(); err != nil {
		return err
	}
	if old := c.working.Jobs[s.ID]; old != nil {
		if old.Spec != s {
			return ErrIDTaken
		}
		return nil
	}
	if c.recordSize > maxRecordBytes-recordHeadroom {
		return ErrFull
	}
	c.working.Jobs[s.ID] = &Job{Spec: s, State: StateOpen, Since: now, Done: bitset.New(uint(s.N)),
		Place: map[int]Assignment{}, Won: map[int]uint64{}, Kept: map[int]time.Duration{}, Fails: map[int]int{}}
	c.recordSize += 2 * len(s.ID)
	c.dirty = true
	return nil
}

// Cancel ends a job unless it has ended before; which of the two came first is
// decided here, once.
func (c *Core) Cancel(now time.Time, id string) error {
	j := c.working.Jobs[id]
	if j == nil {
		return ErrNotFound
	}
	c.endJob(now, j, StateCancelled, "")
	return nil
}

func (c *Core) endJob(now time.Time, j *Job, s State, why string) {
	if j.State != StateOpen {
		return
	}
	j.State, j.Why, j.Since = s, why, now
	clear(j.Kept)
	clear(j.Fails)
	c.dirty = true
}

// CommittedJob returns a job as the store holds it.
func (c *Core) CommittedJob(id string) (Job, bool) {
	j := c.committed.Jobs[id]
	if j == nil {
		return Job{}, false
	}
	return *j, true
}

// CommittedJobs returns the jobs as the store holds them, in order of id.
func (c *Core) CommittedJobs() []Job {
	var list []Job
	for _, id := range slices.Sorted(maps.Keys(c.committed.Jobs)) {
		list = append(list, *c.committed.Jobs[id])
	}
	return list
}

// NeedsWrite reports whether there is something to write and no write under way.
func (c *Core) NeedsWrite() bool { return c.dirty && c.inFlight == nil }

// BeginWrite returns the record to write; until Ended nothing else may be written.
func (c *Core) BeginWrite(id string) ([]byte, error) {
	b := c.working.clone()
	b.WriteID, b.HolderEpoch = id, c.epoch
	value, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "jobs")
	}
	c.recordSize = len(value)
	c.inFlight, c.dirty = &b, false
	return value, nil
}

// EndWrite takes in whether the write took effect. When it may or may not have, it isn't
// called until that is known.
func (c *Core) EndWrite(ok bool) {
	if ok {
		c.committed = *c.inFlight
	} else {
		c.dirty = true
	}
	c.inFlight = nil
}
