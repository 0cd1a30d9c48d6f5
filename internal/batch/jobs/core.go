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
	// ErrFull means that the bucket's record has no room for another job. A later submission may succeed.
	ErrFull = errors.New("jobs: bucket full")
	// ErrIDTaken means that a different job has the id.
	ErrIDTaken = errors.New("jobs: id taken by a different job")
	// ErrNotFound means that no job has the id.
	ErrNotFound = errors.New("jobs: no such job")
)

const (
	// recordHeadroom is the part of maxRecordBytes that is kept free for the growth of accepted jobs.
	recordHeadroom  = 1 << 18
	maxRecordBytes  = 1 << 20   // largest record
	endedRetention  = time.Hour // how long an ended job is kept, so that a repeated submission finds it
	maxTaskFailures = 3         // failures of one task after which its job is parked
)

// Offer describes the resources that a rack offers to a bucket.
type Offer struct {
	Free []wire.Size // free resources of each worker that accepts tasks; empty when nothing is offered
	Max  wire.Size   // largest total amount of each resource on any worker
}

// RackReport is what the holder of a rack reports to the holder of a bucket.
type RackReport struct {
	Rack     string
	Zone     string // failure domain of the rack
	Ep       uint64 // epoch of the rack's holder
	Usable   bool   // tasks may start in the rack's failure domain
	Offer    Offer
	Heard    uint64                      // highest placement number that the rack has received; the offer doesn't account for later ones
	Finished []Placement                 // placements whose task has finished
	Released []Placement                 // finished placements whose worker has accepted the result
	Failed   []Placement                 // placements whose task has failed
	Back     map[Placement]time.Duration // placements that don't run on the rack and never will, with the work saved by checkpoints
}

// Task is a task that a rack is to run.
type Task struct {
	Place Placement
	Spec  Spec          // of its job
	From  time.Duration // work saved by a checkpoint, from which the task resumes
}

// RackReply is the reply of a bucket's holder to a RackReport.
type RackReply struct {
	OK       bool        // false: the report was ignored and the other fields are empty
	Ep       uint64      // epoch of the bucket's holder; 0: the holder is of a build that doesn't send it
	Run      []Task      // all tasks that the rack is to run
	Counts   []Placement // finished placements that count; their results may be published
	Recorded []Placement // other reported placements that need not be reported again
	Ended    []Placement // placements of ended jobs; the rack stops them, or returns those that it doesn't run
	Waiting  int         // tasks of the bucket that have no rack yet
	Urgent   int         // waiting tasks that are long-running or urgent
}

// Core decides about one bucket during one holding. It changes the working copy of the
// bucket, which a successful write makes the committed copy. A rack is to run only tasks on
// whose placement both copies agree, and nothing is acknowledged before it is committed.
// Core isn't safe for concurrent use.
type Core struct {
	epoch      uint64                // of this holding
	working    Bucket                // the bucket with changes that may not have been written yet
	committed  Bucket                // the bucket as the store is known to hold it
	inFlight   *Bucket               // the copy being written; nil when no write is under way
	recordSize int                   // bytes of the record when it was last encoded, plus an allowance for jobs added since
	dirty      bool                  // working has changes that are in no write
	racks      map[string]rackStatus // by name
}

// rackStatus keeps what a rack's last report said.
type rackStatus struct {
	epoch         uint64    // of the rack's holder
	largestWorker wire.Size // Offer.Max
	reportedAt    time.Time
}

// New returns a Core for a bucket that was read from the store and is held with the given epoch.
func New(b Bucket, epoch uint64) *Core {
	if b.Jobs == nil {
		b.Jobs = map[string]*Job{}
	}
	c := &Core{epoch: epoch, committed: b, working: b.clone(), racks: map[string]rackStatus{}}
	// The first write is made even without a change: it makes the writes of a former holder fail.
	c.dirty = b.HolderEpoch != epoch
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
	clone := *j
	clone.Done = j.Done.Clone()
	clone.Place, clone.Won = cloneMap(j.Place), cloneMap(j.Won)
	clone.Kept, clone.Fails = cloneMap(j.Kept), cloneMap(j.Fails)
	return &clone
}

// cloneMap returns a copy of a map. The copy is never nil: the record omits empty maps, so
// that they are nil when it has been read.
func cloneMap[V any](m map[int]V) map[int]V {
	out := make(map[int]V, len(m))
	maps.Copy(out, m)
	return out
}

// Submit adds a job to the working copy. The job may be confirmed to its user once
// CommittedJob returns it. Submitting the same job again changes nothing.
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

// Cancel cancels a job unless it has ended. Of a cancellation and another end of the job
// the one handled first takes effect, and is final.
func (c *Core) Cancel(now time.Time, id string) error {
	j := c.working.Jobs[id]
	if j == nil {
		return ErrNotFound
	}
	c.endJob(now, j, StateCancelled, "")
	return nil
}

// endJob moves an open job to a final state; why gives the reason to the user.
func (c *Core) endJob(now time.Time, j *Job, state State, why string) {
	if j.State != StateOpen {
		return
	}
	j.State, j.Why, j.Since = state, why, now
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

// CommittedJobs returns the jobs as the store holds them, sorted by id.
func (c *Core) CommittedJobs() []Job {
	var committed []Job
	for _, id := range slices.Sorted(maps.Keys(c.committed.Jobs)) {
		committed = append(committed, *c.committed.Jobs[id])
	}
	return committed
}

// NeedsWrite reports whether there are changes to write and no write is under way.
func (c *Core) NeedsWrite() bool { return c.dirty && c.inFlight == nil }

// BeginWrite returns the encoded record to write, with id as its WriteID. The next write may
// begin only after EndWrite.
func (c *Core) BeginWrite(id string) ([]byte, error) {
	b := c.working.clone()
	b.WriteID, b.HolderEpoch = id, c.epoch
	value, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "jobs: encode bucket record")
	}
	c.recordSize = len(value)
	c.inFlight, c.dirty = &b, false
	return value, nil
}

// DropUnencodable undoes the changes of the jobs that can't be encoded: one that was never written is removed, any other is as
// the store holds it. It returns why, by job id. No write may be under way.
func (c *Core) DropUnencodable() map[string]error {
	dropped := map[string]error{}
	for id, j := range c.working.Jobs {
		if _, err := json.Marshal(j); err != nil {
			dropped[id] = errors.Wrap(err, "jobs: encode job")
		}
	}
	for id := range dropped {
		if old := c.committed.Jobs[id]; old != nil {
			c.working.Jobs[id] = old.clone()
		} else {
			delete(c.working.Jobs, id)
		}
	}
	return dropped
}

// WorkingJob returns a job with the changes that aren't written yet.
func (c *Core) WorkingJob(id string) (Job, bool) {
	j := c.working.Jobs[id]
	if j == nil {
		return Job{}, false
	}
	return *j, true
}

// EndWrite ends a write that took effect (ok) or failed. It must not be called while the
// outcome of the write is unknown.
func (c *Core) EndWrite(ok bool) {
	if ok {
		c.committed = *c.inFlight
	} else {
		c.dirty = true
	}
	c.inFlight = nil
}
