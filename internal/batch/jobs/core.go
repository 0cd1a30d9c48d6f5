package jobs

import (
	"cmp"
	"encoding/json"
	"fmt"
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

// Hear takes in a rack's report. allowed says whether a kind of job may use the rack's
// failure domain.
//
// A report of an older epoch is a former holder's: what it says of tasks isn't true
// any more and nothing is answered.
func (c *Core) Hear(now time.Time, r Report, allowed func(kind string) bool) Answer {
	if r.Ep < c.racks[r.Rack].ep || !c.Ready() {
		return Answer{}
	}
	c.racks[r.Rack] = rackInfo{r.Ep, r.Offer.Max, now}
	for _, p := range r.Finished {
		c.finished(now, r.Rack, p)
	}
	for _, p := range r.Released {
		c.released(p)
	}
	for _, p := range r.Failed {
		c.failed(now, r.Rack, p)
	}
	for p, kept := range r.Back {
		c.back(r.Rack, p, kept)
	}
	if r.Usable {
		c.place(r, allowed)
	}
	a := Answer{OK: true, Run: c.list(r.Rack), Ended: c.ended(r.Rack)}
	a.Waiting, a.Urgent = c.Waiting()
	c.recorded(r, &a)
	return a
}

// Ready reports whether this holding has written the record.
//
// It guards against a former holder's last write that is still on its way: it may take
// effect after the record was read here, and what was told from that reading, such as
// a task's place, would be wrong. After this holding's own write it can't.
func (c *Core) Ready() bool { return c.kept.Ep == c.ep }

// placed returns the job of a placement that is in force on the rack, or nil.
func (c *Core) placed(rack string, p Place) *Job {
	j := c.work.Jobs[p.Job]
	if j == nil || j.Place[p.Index] != (At{rack, p.No}) {
		return nil
	}
	return j
}

// finished notes a task's end. Only the placement in force counts, once: a task that
// was given up for lost, placed again and then turns out to have finished first
// doesn't finish twice. One that ends after its job was cancelled changes nothing.
func (c *Core) finished(now time.Time, rack string, p Place) {
	j := c.placed(rack, p)
	if j == nil {
		return
	}
	delete(j.Place, p.Index)
	c.dirty = true
	if j.State != StateOpen {
		return
	}
	j.Done.Set(uint(p.Index))
	j.Won[p.Index] = p.No
	delete(j.Kept, p.Index)
	if j.left() == 0 {
		c.end(now, j, StateDone, "")
	}
}

// released forgets which placement finished a task, as nobody will ask again.
func (c *Core) released(p Place) {
	if j := c.work.Jobs[p.Job]; j != nil && j.Won[p.Index] == p.No {
		delete(j.Won, p.Index)
		c.dirty = true
	}
}

func (c *Core) failed(now time.Time, rack string, p Place) {
	j := c.placed(rack, p)
	if j == nil {
		return
	}
	delete(j.Place, p.Index)
	c.dirty = true
	if j.State != StateOpen {
		return
	}
	j.Fails[p.Index]++
	if j.Fails[p.Index] >= failsToEnd && !j.Spec.Standing {
		c.end(now, j, StateParked, fmt.Sprintf("task %d failed %d times", p.Index, failsToEnd))
	}
}

func (c *Core) back(rack string, p Place, kept time.Duration) {
	j := c.placed(rack, p)
	if j == nil {
		return
	}
	delete(j.Place, p.Index)
	c.dirty = true
	if j.State == StateOpen && kept > j.Kept[p.Index] {
		j.Kept[p.Index] = kept
	}
}

// list returns the tasks that a rack is to run: those that it has both in the store
// and in the working copy.
//
// It guards against a task in two places: a task on its way from one rack to another
// is named to neither until the store holds its new place.
func (c *Core) list(rack string) []Task {
	var out []Task
	for id, j := range c.kept.Jobs {
		w := c.work.Jobs[id]
		if w == nil || j.State != StateOpen || w.State != StateOpen {
			continue
		}
		for i, at := range j.Place {
			if at.Rack == rack && w.Place[i] == at {
				out = append(out, Task{Place{id, i, at.No}, j.Spec, j.Kept[i]})
			}
		}
	}
	slices.SortFunc(out, func(a, b Task) int { return cmp.Compare(a.Place.No, b.Place.No) })
	return out
}

// ended lists the placements on a rack that jobs which have ended still have.
func (c *Core) ended(rack string) []Place {
	var out []Place
	for id, j := range c.work.Jobs {
		if j.State == StateOpen {
			continue
		}
		for i, at := range j.Place {
			if at.Rack == rack {
				out = append(out, Place{id, i, at.No})
			}
		}
	}
	return out
}

// urgentOrder is the order of urgent jobs; standing ones go before.
const urgentOrder = 1

// Order ranks jobs: standing first, then by rank.
func (s Spec) Order() int {
	switch {
	case s.Standing:
		return 0
	case s.Rank == RankUrgent:
		return urgentOrder
	case s.Rank == RankLow:
		return 3
	}
	return 2
}

// recorded tells which of the reported placements the store has settled.
func (c *Core) recorded(r Report, a *Answer) {
	for _, p := range r.Finished {
		switch j := c.kept.Jobs[p.Job]; {
		case j != nil && j.Place[p.Index].No == p.No:
		case j != nil && j.Won[p.Index] == p.No:
			a.Counts = append(a.Counts, p)
		default:
			a.Recorded = append(a.Recorded, p)
		}
	}
	settled := func(p Place) {
		if j := c.kept.Jobs[p.Job]; j == nil || j.Place[p.Index].No != p.No {
			a.Recorded = append(a.Recorded, p)
		}
	}
	for _, p := range r.Failed {
		settled(p)
	}
	for p := range r.Back {
		settled(p)
	}
	for _, p := range r.Released {
		if j := c.kept.Jobs[p.Job]; j == nil || j.Won[p.Index] != p.No {
			a.Recorded = append(a.Recorded, p)
		}
	}
}

// place assigns waiting tasks to what the rack offers, in order of rank, then age.
func (c *Core) place(r Report, allowed func(string) bool) {
	free := slices.Clone(r.Offer.Free)
	for _, j := range c.waiting() {
		if !allowed(j.Spec.Kind) {
			continue
		}
		for _, i := range j.open(c.fit(free, j.Spec)) {
			take(free, j.Spec.Size)
			c.work.No++
			j.Place[i] = At{r.Rack, c.work.No}
			j.Next = max(j.Next, i+1)
			c.dirty = true
		}
	}
}

// waiting returns the jobs with tasks to place, in the order in which they go.
func (c *Core) waiting() []*Job {
	var list []*Job
	for _, j := range c.work.Jobs {
		if j.State == StateOpen && len(j.Place)+int(j.Done.Count()) < j.Spec.N {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.Spec.Order(), b.Spec.Order()), a.Since.Compare(b.Since), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return list
}

// Waiting returns how many tasks have no rack yet, and how many of them are standing or urgent.
func (c *Core) Waiting() (tasks, urgent int) {
	for _, j := range c.waiting() {
		n := j.Spec.N - len(j.Place) - int(j.Done.Count())
		tasks += n
		if j.Spec.Order() <= urgentOrder {
			urgent += n
		}
	}
	return tasks, urgent
}

// fit returns how many tasks of the job fit into what is free.
func (c *Core) fit(free []wire.Size, s Spec) int {
	n := 0
	for _, f := range free {
		for f.Covers(s.Size) && n < s.N {
			f = f.Minus(s.Size)
			n++
		}
	}
	return n
}

func take(free []wire.Size, s wire.Size) {
	for i := range free {
		if free[i].Covers(s) {
			free[i] = free[i].Minus(s)
			return
		}
	}
}

// rackFresh is how recent a rack's word must be to count when a job is parked.
const rackFresh = 5 * time.Second

// Review parks the jobs that no rack could ever run, and drops finished jobs after
// their time. zones maps each rack that exists to whether a kind may use it; nothing
// is parked while one of them is silent.
func (c *Core) Review(now time.Time, racks []string, allowed func(kind, rack string) bool) {
	silent := slices.ContainsFunc(racks, func(r string) bool {
		return now.Sub(c.racks[r].at) > rackFresh
	})
	for id, j := range c.work.Jobs {
		switch {
		case j.State != StateOpen && now.Sub(j.Since) > keepFinal && len(j.Place) == 0:
			delete(c.work.Jobs, id)
			c.dirty = true
		case j.State == StateOpen && !silent && len(racks) > 0 && len(j.Place) == 0 && !c.possible(j, racks, allowed):
			c.end(now, j, StateParked, "no worker in its failure domains is large enough")
		}
	}
}

func (c *Core) possible(j *Job, racks []string, allowed func(kind, rack string) bool) bool {
	return slices.ContainsFunc(racks, func(r string) bool {
		return allowed(j.Spec.Kind, r) && c.racks[r].max.Covers(j.Spec.Size)
	})
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
