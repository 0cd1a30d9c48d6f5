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
	// ErrExists says that another job has the id.
	ErrExists = errors.New("jobs: id taken by a different job")
	// ErrAbsent says that no job has the id.
	ErrAbsent = errors.New("jobs: no such job")
)

const (
	// roomLeft is how much of the largest value stays free for what accepted jobs add.
	roomLeft   = 1 << 18
	maxRecord  = 1 << 20
	keepFinal  = time.Hour // how long finished jobs stay, for repeats of their submission
	failsToEnd = 3         // failures of one task, that park its job
)

// Offer is what a rack has free.
type Offer struct {
	Free []wire.Size // of each worker
	Max  wire.Size   // the largest worker's whole size
}

// Report is what a rack's holder tells a bucket's holder.
type Report struct {
	Rack     string
	Zone     string
	Ep       uint64 // of the rack's holder
	Usable   bool   // tasks may start there
	Offer    Offer
	Heard    uint64 // the highest number of a placement that it was told of; the offer knows nothing of later ones
	Finished []Place
	Released []Place // finished ones whose worker has learned that they count
	Failed   []Place
	Back     map[Place]time.Duration // given back: not run there and never will be; with the work kept
}

// Task is a task that a rack is to run.
type Task struct {
	Place Place
	Spec  Spec
	From  time.Duration
}

// Answer is what a bucket's holder answers to a report.
type Answer struct {
	OK       bool    // false: the report is a former holder's, nothing was taken in
	Run      []Task  // everything that the rack is to run
	Counts   []Place // finished ones that count; their results may go out
	Recorded []Place // the other reported ones that are dealt with
	Ended    []Place // those of jobs that have ended; the rack stops them or says that it hasn't got them
	Waiting  int     // tasks that have no rack yet
	Urgent   int     // those of them that are standing or urgent
}

// Core holds one bucket. What happened since the last write is in work; kept is what
// the store is known to hold. Others are only ever told what stands in both.
type Core struct {
	ep    uint64
	work  Bucket
	kept  Bucket
	sent  *Bucket
	size  int // of the record in bytes when it was last written
	dirty bool
	racks map[string]rackInfo
}

type rackInfo struct {
	ep  uint64
	max wire.Size
	at  time.Time
}

// New returns the core for the bucket as read from the store, held with epoch ep.
func New(b Bucket, ep uint64) *Core {
	if b.Jobs == nil {
		b.Jobs = map[string]*Job{}
	}
	c := &Core{ep: ep, kept: b, work: b.clone(), racks: map[string]rackInfo{}}
	// The first write, even without a change, makes an earlier holder's writes fail.
	c.dirty = b.Ep != ep
	return c
}

func (b Bucket) clone() Bucket {
	out := Bucket{ID: b.ID, Ep: b.Ep, No: b.No, Jobs: make(map[string]*Job, len(b.Jobs))}
	for id, j := range b.Jobs {
		out.Jobs[id] = j.clone()
	}
	return out
}

func (j *Job) clone() *Job {
	k := *j
	k.Done = j.Done.Clone()
	k.Place, k.Won = cloned(j.Place), cloned(j.Won)
	k.Kept, k.Fails = cloned(j.Kept), cloned(j.Fails)
	return &k
}

// cloned copies a map; one that was empty in the store comes back ready for use.
func cloned[V any](m map[int]V) map[int]V {
	out := make(map[int]V, len(m))
	maps.Copy(out, m)
	return out
}

// Submit accepts a job into the working copy; it is accepted for its user once Kept
// says so. The same job again changes nothing.
func (c *Core) Submit(now time.Time, s Spec) error {
	if err := s.Check(); err != nil {
		return err
	}
	if old := c.work.Jobs[s.ID]; old != nil {
		if old.Spec != s {
			return ErrExists
		}
		return nil
	}
	if c.size > maxRecord-roomLeft {
		return ErrFull
	}
	c.work.Jobs[s.ID] = &Job{Spec: s, State: StateOpen, Since: now, Done: bitset.New(uint(s.N)),
		Place: map[int]At{}, Won: map[int]uint64{}, Kept: map[int]time.Duration{}, Fails: map[int]int{}}
	c.size += 2 * len(s.ID)
	c.dirty = true
	return nil
}

// Cancel ends a job unless it has ended before; which of the two came first is
// decided here, once.
func (c *Core) Cancel(now time.Time, id string) error {
	j := c.work.Jobs[id]
	if j == nil {
		return ErrAbsent
	}
	c.end(now, j, StateCancelled, "")
	return nil
}

func (c *Core) end(now time.Time, j *Job, s State, why string) {
	if j.State != StateOpen {
		return
	}
	j.State, j.Why, j.Since = s, why, now
	clear(j.Kept)
	clear(j.Fails)
	c.dirty = true
}

// Kept returns a job as the store holds it.
func (c *Core) Kept(id string) (Job, bool) {
	j := c.kept.Jobs[id]
	if j == nil {
		return Job{}, false
	}
	return *j, true
}

// Jobs returns the jobs as the store holds them, in order of id.
func (c *Core) Jobs() []Job {
	var list []Job
	for _, id := range slices.Sorted(maps.Keys(c.kept.Jobs)) {
		list = append(list, *c.kept.Jobs[id])
	}
	return list
}

// Dirty reports whether there is something to write and no write under way.
func (c *Core) Dirty() bool { return c.dirty && c.sent == nil }

// Begin returns the record to write; until Ended nothing else may be written.
func (c *Core) Begin(id string) ([]byte, error) {
	b := c.work.clone()
	b.ID, b.Ep = id, c.ep
	value, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "jobs")
	}
	c.size = len(value)
	c.sent, c.dirty = &b, false
	return value, nil
}

// Ended takes in whether the write took effect. When it may or may not have, it isn't
// called until that is known.
func (c *Core) Ended(ok bool) {
	if ok {
		c.kept = *c.sent
	} else {
		c.dirty = true
	}
	c.sent = nil
}
