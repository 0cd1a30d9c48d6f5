package sched

import (
	"slices"
	"sort"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

const (
	// runNumbersPerTerm is how many run numbers each holder's term has for itself: no task is started as often within
	// a term.
	runNumbersPerTerm = 1_000_000
	// defaultUtilization is the assumed share of their declared CPU that long-running tasks use whose load is not
	// measured.
	defaultUtilization = 0.6
	// minUnusedShare is the share of a best-effort task's declared CPU that a worker must have unused for placing it.
	minUnusedShare = 0.9
	// usefulDeadlineFactor times its relative deadline is how long a late job may take and still be useful to its
	// caller.
	usefulDeadlineFactor = 3
)

// placeWaiting appends the starts of waiting tasks, as far as workers have the resources and the start limiter allows.
func (c *Core) placeWaiting(now time.Time, orders []Order) []Order {
	if !c.mayStart(now) {
		return orders
	}
	formerRuns := c.formerRunsPossible(now)
	c.waitQueue.sort(now)
	c.startLimiter.refresh(now)
	c.planNumber++
	c.reserveScans, c.relocationSearches = 0, 0
	c.dropRelocations(now)
	orders = c.startRelocated(now, formerRuns, orders)
	departures := c.departures(now, formerRuns)
	for _, s := range c.waitQueue.steps {
		if c.startLimiter.limited {
			break
		}
		departures, orders = c.relocateBefore(now, s.precedence, departures, orders)
		orders = c.placeStep(now, s, formerRuns && s.job.restored, orders)
		s.lacksWorker = s.pending > 0 && !c.startLimiter.limited
		if s.pending == 0 {
			c.recordPlaced(now, s)
		}
	}
	if !c.startLimiter.limited {
		_, orders = c.relocateBefore(now, precedence{batch: true}, departures, orders)
	}
	c.updateStartBacklog(now, formerRuns)
	return orders
}

// formerRunsPossible reports whether runs that a former holder started may exist on workers that haven't reported their
// inventory to this holder: until they do, a task taken over may run there or have ended there. This concerns only
// workers in the stored record that this holder took over, as a worker is recorded there before its first start. Their leases
// may have been renewed by this holder while it loaded the state, when it didn't handle their reports.
//
// As in expireLeases, the store must have confirmed this holder after the leases' end. Otherwise, a successor may have
// renewed them, or have counted the end of such a task.
func (c *Core) formerRunsPossible(now time.Time) bool {
	for _, w := range c.workersByID {
		end := latest(c.leaseEnd(w), c.formerLeasesEnd())
		if w.inherited && !w.inventoryComplete && (now.Before(end) || c.confirmedByStore.Before(end)) {
			return true
		}
	}
	return false
}

// mayRunElsewhere reports whether a run of the task that a former holder started may exist unseen, if former runs are possible.
func (t *task) mayRunElsewhere(formerRuns bool) bool {
	return formerRuns && t.step.job.restored && !t.soleRunSeen
}

// placementClass is what decides, besides its size, on which workers a task may be placed.
type placementClass struct {
	bestEffort bool
	starved    bool
	image      string // of a best-effort task: its interference depends on it; empty for others
	label      string // that the worker must have
	service    string // whose workers run it
}

// placementClass returns the placement class of the step's tasks.
func (s *stepInstance) placementClass() placementClass {
	class := placementClass{bestEffort: s.spec.BestEffort, starved: s.starved, label: s.spec.RequiredLabel, service: s.job.Service}
	if class.bestEffort {
		class.image = s.spec.Image
	}
	return class
}

// infeasibleSizes are the task sizes of a placement class for which a plan has found no worker. A task that is at least as
// large in every dimension needn't be tried, which keeps planning cheap with hundreds of steps waiting.
type infeasibleSizes struct {
	plan  int // number of the plan that found them
	sizes []wire.Size
}

// rulesOut reports whether the plan has found no worker for a task of the size z or a smaller one.
func (m *infeasibleSizes) rulesOut(plan int, z wire.Size) bool {
	if m.plan != plan {
		return false
	}
	return slices.ContainsFunc(m.sizes, z.Covers)
}

// add records that the plan has found no worker for a task of the size z.
func (m *infeasibleSizes) add(plan int, z wire.Size) {
	if m.plan != plan {
		m.plan, m.sizes = plan, m.sizes[:0]
	}
	m.sizes = append(m.sizes, z)
}

// infeasibleSizes returns the infeasible sizes of a step's placement class.
func (c *Core) infeasibleSizes(s *stepInstance) *infeasibleSizes {
	if s.infeasible == nil {
		class := s.placementClass()
		if c.infeasibleByClass[class] == nil {
			c.infeasibleByClass[class] = &infeasibleSizes{}
		}
		s.infeasible = c.infeasibleByClass[class]
	}
	return s.infeasible
}

// placeStep appends the starts of a step's pending tasks. If former runs are possible, it starts only tasks whose sole run
// this holder has seen.
func (c *Core) placeStep(now time.Time, s *stepInstance, formerRuns bool, orders []Order) []Order {
	c.updateStarved(now, s)
	infeasible := c.infeasibleSizes(s)
	if infeasible.rulesOut(c.planNumber, s.spec.Size) {
		c.handleUnplaced(now, s, formerRuns)
		return orders
	}
	if s.spec.Gang {
		if formerRuns {
			return orders
		}
		return c.placeGang(now, s, orders)
	}
	var feasible *feasibleWorkers
	for _, t := range s.tasks {
		if t.done || t.run != nil || formerRuns && !t.soleRunSeen {
			continue
		}
		if !c.startLimiter.allows(1) {
			break
		}
		if l := c.pendingStart(now, t); l != nil {
			if w := c.workers[l.ID]; c.canPlace(now, w, s) {
				orders = append(orders, c.startRun(now, t, w, t.nextRunNumber(c.opts.Term)))
				feasible = nil
				continue
			}
			if !s.spec.LongRunning {
				continue
			}
		}
		if feasible == nil {
			feasible = c.findFeasible(now, s, "")
		}
		i := feasible.best(t)
		if i < 0 && s.precedence.interrupted() {
			if w := c.takeReserved(now, s); w != nil {
				orders = append(orders, c.startRun(now, t, w, t.nextRunNumber(c.opts.Term)))
				continue
			}
		}
		if i < 0 {
			c.handleUnplaced(now, s, formerRuns)
			if s.spec.LongRunning && !s.spec.BestEffort {
				c.preemptStarved(now, s)
			}
			if s.spec.MaxPerWorker == 0 {
				infeasible.add(c.planNumber, s.spec.Size)
			}
			break
		}
		orders = append(orders, c.startRun(now, t, feasible.workers[i], t.nextRunNumber(c.opts.Term)))
		if s.starved {
			// One running task is enough for the job to progress. The others wait for a worker without such interference;
			// the started one isn't moved to another worker where it would interfere as well.
			c.updateStarved(now, s)
			if s.pending > 0 {
				c.noteUnplacedStep(now, s)
			}
			break
		}
		c.rescore(now, feasible, i)
	}
	return orders
}

// handleUnplaced records that a task of a step found no worker, and reserves workers for a long-running step.
func (c *Core) handleUnplaced(now time.Time, s *stepInstance, formerRuns bool) {
	c.noteUnplacedStep(now, s)
	if !s.spec.LongRunning || s.spec.Gang {
		return
	}
	n := s.pending
	if formerRuns {
		n -= s.unseenTasks()
	}
	if n > 0 {
		c.reserveWorkers(now, s, n)
	}
}

// placeGang appends the starts of all tasks of a gang or of none. A gang that is slower when spread is placed on one rack
// if possible.
func (c *Core) placeGang(now time.Time, s *stepInstance, orders []Order) []Order {
	for _, t := range s.tasks {
		if t.run != nil {
			return orders // the remaining runs of the gang's former start have to end first
		}
	}
	if !c.startLimiter.allows(len(s.tasks)) {
		return orders
	}
	racks := []string{""}
	if s.spec.SameRack {
		racks = append(c.rackNames(), "")
	}
	for _, rack := range racks {
		if starts, ok := c.tryPlaceGang(now, s, rack); ok {
			return append(orders, starts...)
		}
	}
	return orders
}

// tryPlaceGang returns the starts of all tasks of a gang, on one rack unless rack is empty. If a task finds no worker, it
// undoes the others' placements and returns false.
func (c *Core) tryPlaceGang(now time.Time, s *stepInstance, rack string) ([]Order, bool) {
	var number int64
	for _, t := range s.tasks {
		number = max(number, t.nextRunNumber(c.opts.Term))
	}
	var orders []Order
	for _, t := range s.tasks {
		w := c.bestWorker(now, t, rack)
		if l := c.pendingStart(now, t); l != nil {
			if own := c.workers[l.ID]; c.canPlace(now, own, s) && (rack == "" || own.Rack == rack) {
				w = own
			} else if !s.spec.LongRunning {
				w = nil
			}
		}
		if w == nil {
			for _, u := range s.tasks {
				if u.run != nil {
					c.releaseRun(u.run)
				}
			}
			c.startLimiter.cancelNewest(len(orders))
			return nil, false
		}
		orders = append(orders, c.startRun(now, t, w, number))
	}
	return orders, true
}

// rackNames returns the known racks of all workers, sorted.
func (c *Core) rackNames() []string {
	seen := map[string]bool{}
	var names []string
	for _, w := range c.workersByID {
		if w.Rack != "" && !seen[w.Rack] {
			seen[w.Rack] = true
			names = append(names, w.Rack)
		}
	}
	sort.Strings(names)
	return names
}

// nextRunNumber returns the number of the task's next run, which is above all numbers of former terms.
func (t *task) nextRunNumber(term int64) int64 {
	return max(t.lastRunNumber, term*runNumbersPerTerm) + 1
}

// startRun assigns a new run of a task to a worker and returns the order that starts it.
func (c *Core) startRun(now time.Time, t *task, w *worker, number int64) Order {
	r := &run{runKey: runKey{t.id(), number}, task: t, worker: w, state: RunSent, incarnation: w.StartedAt, orderedAt: now, startedAt: now, cpuLimit: newCPULimit(), wantedCPULimit: fullCPULimit,
		starved: t.step.starved, lane: c.lane(w)}
	t.run = r
	t.lastRunNumber = number
	s := t.step
	s.pending--
	s.heldSince = time.Time{}
	if s.spec.BestEffort {
		w.colocation.bestEffortActiveAt = now
	}
	c.attachRun(r)
	c.startLimiter.add(r)
	o := r.newOrder(VerbStart)
	o.Spec = s.job.Spec
	o.Checkpoint = s.job.checkpoints[t.id()]
	o.Starved = s.starved
	o.LeaseUntil = w.leaseUntil.Truncate(time.Millisecond)
	o.ClockFloor = w.clock.floor(now)
	return o
}

// bestWorker returns the worker with the best score for a task, of one rack unless rack is empty, or nil if none is
// feasible.
func (c *Core) bestWorker(now time.Time, t *task, rack string) *worker {
	feasible := c.findFeasible(now, t.step, rack)
	if i := feasible.best(t); i >= 0 {
		return feasible.workers[i]
	}
	return nil
}

// canPlace reports whether a task of a step may be placed on a worker now; nil: the worker isn't known.
func (c *Core) canPlace(now time.Time, w *worker, s *stepInstance) bool {
	if w == nil || c.lane(w).full() {
		return false
	}
	_, ok := c.placementScore(now, w, s)
	return ok
}

// fitsBestEffort reports whether a worker has the resources for a best-effort task of a step. A starved task needs no unused
// CPU.
func (c *Core) fitsBestEffort(now time.Time, w *worker, s *stepInstance) bool {
	size, free := s.spec.Size, w.free()
	return size.Mem <= free.Mem && size.Accel <= free.Accel && (s.starved || float64(c.forecast(now, w).unused) >= minUnusedShare*float64(size.CPU))
}

// affinity returns how similar a worker's long-running tasks are to an image in their sensitivity to best-effort images,
// from -1 to 1, weighted by declared CPU. Tasks of the same image count 1, others by their dissimilarity from 0 to -1.
//
// Placing by affinity gathers an image on few workers. Others stay free of latency-critical tasks, for best-effort images
// that interfere with all of them; and images that have to share a worker are ones with which the same best-effort images
// interfere. As latency-critical images differ in this, with one image per worker most best-effort images find workers
// without interference.
func (c *Core) affinity(w *worker, image string) float64 {
	sum := 0.0
	for _, r := range w.runList {
		if r.task == nil || !r.task.step.spec.LongRunning {
			continue
		}
		s := r.task.step.spec
		similarity := 1.0
		if s.Image != image {
			similarity = -c.interference.Dissimilarity(s.Image, image)
		}
		sum += similarity * float64(s.Size.CPU)
	}
	return sum / float64(max(w.Size.CPU, 1))
}

// taskCount returns the number of a step's tasks that run on the worker or are being moved there.
func (w *worker) taskCount(s *stepInstance) int {
	n := 0
	for _, r := range w.runList {
		if r.task != nil && r.task.step == s {
			n++
		}
	}
	for _, t := range w.incomingTasks {
		if t.step == s {
			n++
		}
	}
	return n
}
