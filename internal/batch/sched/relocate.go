package sched

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

const (
	// relocationLead is how long before the earliest departure of a draining worker, or before the lease of a lost one has
	// expired, the resources that are reserved elsewhere for its long-running tasks are held against all others. Most tasks
	// that aren't long-running end within that time; a longer one would keep resources unused.
	relocationLead = 1900 * time.Millisecond
	// maxLeaseOverrun is how long after its bound the expiry of a lease is awaited with reserved resources.
	maxLeaseOverrun = time.Second
	// relocateInterval is the minimum time between two searches for the destination of a task.
	relocateInterval = 100 * time.Millisecond
	// maxRelocationSearches bounds the searches in a plan: each looks at all workers, and hundreds may drain at once.
	maxRelocationSearches = 16
)

// relocation is the planned restart of a long-running task whose worker drains or is lost. The task's size is reserved on the
// destination from when that is chosen until the task is started there: at first against other long-running tasks only, as
// the rest ends in time, and later against all.
//
// The failure it guards against: a task that is lost with its worker is restarted only after the worker's lease has
// certainly expired, and if it then has to wait for resources as well, it stands still for too long.
type relocation struct {
	run  *run    // on the draining or lost worker
	dest *worker // where the task is started once the run has ended
	held bool    // the resources are held against all tasks
}

// departure is a run whose worker drains or is lost.
type departure struct {
	run        *run
	precedence precedence // among the long-running steps that wait
}

// departures returns the runs for which resources have to be reserved elsewhere, in the order in which they get them. If
// former runs are possible, it leaves out the tasks that this holder can't restart yet.
func (c *Core) departures(now time.Time, formerRuns bool) []departure {
	var all []departure
	for _, w := range c.workersByID {
		if !w.departs() && !c.leaseEnds(now, w) {
			continue
		}
		p := precedence{continuity: departing, timeKey: w.drainUntil.UnixNano()}
		if w.contact != ContactGood {
			p = precedence{continuity: interrupted, timeKey: w.clock.receivedAt.UnixNano()}
		}
		for _, r := range w.runList {
			if r.relocatable() && !r.task.mayRunElsewhere(formerRuns) {
				p.priority = r.task.step.job.Priority
				all = append(all, departure{r, p})
			}
		}
	}
	// A large task is first among equals, as it fits on fewer workers.
	slices.SortStableFunc(all, func(a, b departure) int {
		return cmp.Or(a.precedence.compare(b.precedence), cmp.Compare(b.run.task.step.spec.Size.CPU, a.run.task.step.spec.Size.CPU))
	})
	return all
}

// departs reports whether a worker drains and its long-running tasks can still be stopped.
func (w *worker) departs() bool {
	return w.Draining && w.contact == ContactGood
}

// departsSoon reports whether it may leave so soon that its long-running tasks have to move.
func (w *worker) departsSoon(now time.Time) bool {
	return w.departs() && now.Add(relocationLead).After(w.drainUntil)
}

// leaseEnds reports whether the runs of a worker that is out of contact are about to be released, as its lease expires.
func (c *Core) leaseEnds(now time.Time, w *worker) bool {
	end := c.leaseEnd(w)
	return w.contact == ContactLost && now.Add(relocationLead).After(end) && now.Before(end.Add(maxLeaseOverrun))
}

// relocatable reports whether a run is that of a long-running task which can be moved by itself.
func (r *run) relocatable() bool {
	return r.task != nil && r.task.run == r && r.state == RunLive && r.task.step.spec.LongRunning && !r.task.step.spec.Gang
}

// relocateBefore reserves resources for the departures that precede a step, and appends the stops of those that can move now.
// It returns the departures that are left.
func (c *Core) relocateBefore(now time.Time, p precedence, left []departure, orders []Order) ([]departure, []Order) {
	for len(left) > 0 && left[0].precedence.compare(p) < 0 {
		orders = c.relocate(now, left[0].run, orders)
		left = left[1:]
	}
	return left, orders
}

// relocate reserves resources for the task of a departing run, and appends the run's stop if it can move now.
func (c *Core) relocate(now time.Time, r *run, orders []Order) []Order {
	rel := r.task.relocation
	if rel == nil || rel.held && !rel.fits() {
		rel = c.chooseDestination(now, r)
	}
	if rel == nil || !r.worker.departsSoon(now) && !c.leaseEnds(now, r.worker) {
		return orders
	}
	if !rel.held {
		c.holdRelocation(r.task)
	}
	if !r.worker.departsSoon(now) || !rel.fits() || !r.stopBackoff.ready(now) {
		return orders
	}
	c.recordMoved(now, rel)
	c.stopRun(r)
	return append(orders, r.orderStop(now))
}

// fits reports whether the task fits on its destination now, besides those that are already on their way there.
func (rel *relocation) fits() bool {
	free := rel.dest.unallocated()
	for _, t := range rel.dest.incomingTasks {
		if t != rel.run.task && !t.departing() {
			free = free.Minus(t.relocationSize())
		}
	}
	return free.Covers(rel.run.task.relocationSize())
}

// departing reports whether a task that is to be moved still has its run.
func (t *task) departing() bool {
	return t.run != nil && t.run.state == RunLive
}

// chooseDestination returns the relocation of a run: to a worker where the task fits now, else to the one where it is expected
// to fit first. It keeps a former destination if no task fits elsewhere, and returns nil if there is no destination.
func (c *Core) chooseDestination(now time.Time, r *run) *relocation {
	t := r.task
	if now.Sub(r.relocationTriedAt) < relocateInterval || c.relocationSearches >= maxRelocationSearches {
		return t.relocation
	}
	c.relocationSearches++
	r.relocationTriedAt = now
	dest := c.bestWorker(now, t, "")
	if dest == nil && t.relocation == nil {
		dest = c.earliestDestination(now, t)
	}
	if dest == nil {
		return t.relocation
	}
	if t.relocation != nil {
		c.cancelRelocation(t)
	}
	return c.reserveRelocation(r, dest)
}

// earliestDestination returns the worker on which a long-running task is expected to fit first, or nil.
func (c *Core) earliestDestination(now time.Time, t *task) *worker {
	var earliest *worker
	var least time.Duration
	for w, freeIn := range c.reservable(now, t.step) {
		if earliest == nil || freeIn < least {
			earliest, least = w, freeIn
		}
	}
	return earliest
}

// reserveRelocation reserves a task's size on the destination of its relocation.
func (c *Core) reserveRelocation(r *run, dest *worker) *relocation {
	rel := &relocation{run: r, dest: dest}
	r.task.relocation = rel
	c.relocating = append(c.relocating, r.task)
	dest.incoming = dest.incoming.Plus(r.task.relocationSize())
	dest.incomingTasks = append(dest.incomingTasks, r.task)
	return rel
}

// holdRelocation holds the resources of a task's relocation against all other tasks.
func (c *Core) holdRelocation(t *task) {
	rel := t.relocation
	rel.held = true
	rel.dest.held = rel.dest.held.Plus(t.relocationSize())
	c.markStale(rel.dest)
}

// cancelRelocation gives up the reservation of a task's relocation.
func (c *Core) cancelRelocation(t *task) {
	rel, size := t.relocation, t.relocationSize()
	t.relocation = nil
	isTask := func(other *task) bool { return other == t }
	c.relocating = slices.DeleteFunc(c.relocating, isTask)
	dest := rel.dest
	dest.incoming = dest.incoming.Minus(size)
	dest.incomingTasks = slices.DeleteFunc(dest.incomingTasks, isTask)
	if rel.held {
		dest.held = dest.held.Minus(size)
		c.markStale(dest)
	}
}

// relocationSize returns what is reserved for a task that is being moved. A best-effort task takes no CPU from others.
func (t *task) relocationSize() wire.Size {
	size := t.step.spec.Size
	if t.step.spec.BestEffort {
		size.CPU = 0
	}
	return size
}

// dropRelocations gives up the relocations that have become needless or impossible.
func (c *Core) dropRelocations(now time.Time) {
	for _, t := range slices.Clone(c.relocating) {
		if !c.relocationValid(now, t) {
			c.cancelRelocation(t)
		}
	}
}

// relocationValid reports whether a task is still to be started on the destination of its relocation.
func (c *Core) relocationValid(now time.Time, t *task) bool {
	rel := t.relocation
	switch {
	case t.done || t.step.job.state.Final():
		return false
	case c.workers[rel.dest.ID] != rel.dest || !rel.dest.serves(t.step) || !rel.dest.schedulable(now):
		return false
	case t.run == nil:
		return true
	}
	// While the worker has left and its lease goes on for longer, the resources would stay unused.
	return t.run == rel.run && (rel.run.worker.departs() || c.leaseEnds(now, rel.run.worker))
}

// takeReserved returns a worker where an interrupted task fits in place of one that still runs on a draining worker, and gives
// up the reservation for that one. It returns nil if there is none.
func (c *Core) takeReserved(now time.Time, s *stepInstance) *worker {
	for t, dest := range c.yielding(now, s) {
		needed := s.spec.Size
		if t.relocation.held {
			needed = needed.Minus(t.relocationSize())
		}
		if dest.respectsReservation(c.planNumber, s.spec) && !c.lane(dest).full() && dest.free().Covers(needed) {
			c.cancelRelocation(t)
			return dest
		}
	}
	return nil
}

// yieldRelocations gives up the relocations of n tasks that still run on draining workers, and reserves the resources for an
// interrupted step, where its tasks will fit once tasks that aren't long-running have ended.
func (c *Core) yieldRelocations(now time.Time, s *stepInstance, n int) {
	for t, dest := range c.yielding(now, s) {
		if n == 0 {
			return
		}
		if dest.reserved.plan != c.planNumber {
			c.cancelRelocation(t)
			dest.reserved = reservation{c.planNumber, s.spec.Size}
			n--
		}
	}
}

// yielding returns the tasks with reserved resources that still run on draining workers, each with its destination, where a
// task of an interrupted step fits instead beside the long-running ones.
func (c *Core) yielding(now time.Time, s *stepInstance) iter.Seq2[*task, *worker] {
	return func(yield func(*task, *worker) bool) {
		for _, t := range slices.Clone(c.relocating) {
			if !t.departing() || t.run.worker.contact != ContactGood {
				continue
			}
			dest := t.relocation.dest
			if !dest.eligible(now, s) || !dest.fitsBeside(s.spec.Size.Minus(t.relocationSize())) {
				continue
			}
			if !yield(t, dest) {
				return
			}
		}
	}
}

// startRelocated appends the starts of the relocated tasks whose runs have ended.
func (c *Core) startRelocated(now time.Time, formerRuns bool, orders []Order) []Order {
	for _, t := range slices.Clone(c.relocating) {
		dest := t.relocation.dest
		if t.run != nil || t.mayRunElsewhere(formerRuns) || c.lane(dest).full() {
			continue
		}
		if !c.startLimiter.allows(1) {
			break
		}
		c.cancelRelocation(t)
		if c.mayBePlacedOn(now, t, dest) && dest.eligible(now, t.step) && dest.unallocated().Covers(t.step.spec.Size) {
			orders = append(orders, c.startRun(now, t, dest, t.nextRunNumber(c.opts.Term)))
		}
	}
	return orders
}
