package sched

import (
	"slices"
	"sort"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

const (
	// runNumbersPerTerm parts the run numbers of one holder's term from the next: no task is started
	// so often within a term.
	runNumbersPerTerm = 1_000_000
	// defaultUtilization is the share of their declared processors that lasting tasks are taken to use whose load doesn't show.
	defaultUtilization = 0.6
	// minUnusedShare is how much of a filling task's processors must be left for it to be placed.
	minUnusedShare = 0.9
	// usefulDeadlineFactor is how many times its aim a job may take for its end to be worth something to
	// its caller.
	usefulDeadlineFactor = 3
)

// placeWaiting starts what waits, as far as there is room.
func (c *Core) placeWaiting(now time.Time, orders []Order) []Order {
	if !c.mayStart(now) {
		return orders
	}
	doubt := c.formerRunsPossible(now)
	c.waitQueue.sort(now)
	c.startLimiter.refresh(now)
	c.planNumber++
	c.reserveScans = 0
	for _, s := range c.waitQueue.steps {
		if c.startLimiter.limited {
			break
		}
		orders = c.placeStep(now, s, doubt && s.job.restored, orders)
		if s.pending == 0 {
			c.recordPlaced(now, s)
		}
	}
	return orders
}

// formerRunsPossible reports whether a former holder's orders may still live on workers that haven't
// been reached: until then a task taken over may run there, or have ended there. Workers that the record
// didn't name have got none: each is named there before the first start on it.
func (c *Core) formerRunsPossible(now time.Time) bool {
	if !now.Before(c.formerLeasesEnd()) {
		return false
	}
	for _, w := range c.workersByID {
		if w.inherited && !w.inventoryComplete {
			return true
		}
	}
	return false
}

// placementClass is what, besides its size, decides whether a task fits somewhere.
type placementClass struct {
	bestEffort bool
	starved    bool
	image      string // of a task that fills: what it disturbs depends on it
	label      string
	service    string
}

func (s *stepInstance) placementClass() placementClass {
	k := placementClass{bestEffort: s.spec.BestEffort, starved: s.starved, label: s.spec.RequiredLabel, service: s.job.Service}
	if k.bestEffort {
		k.image = s.spec.Image
	}
	return k
}

// infeasibleSizes are the sizes of a kind for which a plan has found no room: a task that is as large in everything needn't
// be tried. With hundreds of steps waiting, this is what keeps planning cheap.
type infeasibleSizes struct {
	plan  int // number of the plan that found them
	sizes []wire.Size
}

func (m *infeasibleSizes) rulesOut(plan int, z wire.Size) bool {
	if m.plan != plan {
		return false
	}
	return slices.ContainsFunc(m.sizes, z.Covers)
}

func (m *infeasibleSizes) add(plan int, z wire.Size) {
	if m.plan != plan {
		m.plan, m.sizes = plan, m.sizes[:0]
	}
	m.sizes = append(m.sizes, z)
}

// infeasibleSizes returns the infeasibleSizes of a step's kind.
func (c *Core) infeasibleSizes(s *stepInstance) *infeasibleSizes {
	if s.infeasible == nil {
		k := s.placementClass()
		if c.infeasibleByClass[k] == nil {
			c.infeasibleByClass[k] = &infeasibleSizes{}
		}
		s.infeasible = c.infeasibleByClass[k]
	}
	return s.infeasible
}

// placeStep places the tasks of a stage; with doubt only those of which this holder has seen a run.
func (c *Core) placeStep(now time.Time, s *stepInstance, doubt bool, orders []Order) []Order {
	c.updateStarved(now, s)
	full := c.infeasibleSizes(s)
	if full.rulesOut(c.planNumber, s.spec.Size) {
		c.handleUnplaced(now, s, doubt)
		return orders
	}
	if s.spec.Gang {
		if doubt {
			return orders
		}
		return c.placeGang(now, s, orders)
	}
	var ch *feasibleWorkers
	for _, t := range s.tasks {
		if t.done || t.run != nil || doubt && !t.soleRunSeen {
			continue
		}
		if !c.startLimiter.allows(1) {
			break
		}
		if ch == nil {
			ch = c.findFeasible(now, s, "")
		}
		i := ch.best(t)
		if i < 0 {
			c.handleUnplaced(now, s, doubt)
			if s.spec.LongRunning && !s.spec.BestEffort {
				c.preemptStarved(now, s)
			}
			if s.spec.MaxPerWorker == 0 {
				full.add(c.planNumber, s.spec.Size)
			}
			break
		}
		orders = append(orders, c.startRun(now, t, ch.workers[i], t.nextRunNumber(c.opts.Term)))
		if s.starved {
			// One task keeps the job going; the others wait for a place where they disturb nobody, and it is moved to no other.
			c.updateStarved(now, s)
			if s.pending > 0 {
				c.noteUnplacedStep(now, s)
			}
			break
		}
		c.rescore(now, ch, i)
	}
	return orders
}

// handleUnplaced takes that a task of a stage has found no place.
func (c *Core) handleUnplaced(now time.Time, s *stepInstance, doubt bool) {
	c.noteUnplacedStep(now, s)
	if !s.spec.LongRunning || s.spec.Gang {
		return
	}
	n := s.pending
	if doubt {
		n -= s.unseenTasks()
	}
	if n > 0 {
		c.reserveWorkers(now, s, n)
	}
}

// placeGang starts all tasks of a gang or none, on one rack where that is faster.
func (c *Core) placeGang(now time.Time, s *stepInstance, orders []Order) []Order {
	for _, t := range s.tasks {
		if t.run != nil {
			return orders // the rest of a former run has to end first
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
		if got, ok := c.tryPlaceGang(now, s, rack); ok {
			return append(orders, got...)
		}
	}
	return orders
}

func (c *Core) tryPlaceGang(now time.Time, s *stepInstance, rack string) ([]Order, bool) {
	var number int64
	for _, t := range s.tasks {
		number = max(number, t.nextRunNumber(c.opts.Term))
	}
	var orders []Order
	for _, t := range s.tasks {
		w := c.bestWorker(now, t, rack)
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

func (c *Core) rackNames() []string {
	seen := map[string]bool{}
	var all []string
	for _, w := range c.workersByID {
		if !seen[w.Rack] {
			seen[w.Rack] = true
			all = append(all, w.Rack)
		}
	}
	sort.Strings(all)
	return all
}

func (t *task) nextRunNumber(term int64) int64 {
	return max(t.lastRunNumber, term*runNumbersPerTerm) + 1
}

func (c *Core) startRun(now time.Time, t *task, w *worker, number int64) Order {
	r := &run{runKey: runKey{t.id(), number}, task: t, worker: w, state: RunSent, incarnation: w.StartedAt, orderedAt: now, startedAt: now, cpuLimit: fullCPULimit, wantedCPULimit: fullCPULimit,
		starved: t.step.starved}
	t.run = r
	t.lastRunNumber = number
	s := t.step
	s.pending--
	if s.spec.BestEffort {
		w.colocation.bestEffortActive = now
	}
	c.attachRun(r)
	c.startLimiter.add(r)
	o := r.newOrder(VerbStart)
	o.Spec = s.job.Spec
	o.Checkpoint = s.job.checkpoints[t.id()]
	o.Starved = s.starved
	o.LeaseUntil = w.leaseUntil.Truncate(time.Millisecond)
	return o
}

// bestWorker returns the worker that suits a task best, or nil.
func (c *Core) bestWorker(now time.Time, t *task, rack string) *worker {
	ch := c.findFeasible(now, t.step, rack)
	if i := ch.best(t); i >= 0 {
		return ch.workers[i]
	}
	return nil
}

// fitsBestEffort reports whether a worker has room for a filling task of a stage.
func (c *Core) fitsBestEffort(now time.Time, w *worker, s *stepInstance) bool {
	z, free := s.spec.Size, w.free()
	return z.Mem <= free.Mem && z.Accel <= free.Accel && (s.starved || float64(c.forecast(now, w).unused) >= minUnusedShare*float64(z.CPU))
}

// affinity prefers the worker that is fullest of the image, so that others stay free of serving
// tasks for filling images that disturb them all, and, where images have to share a worker,
// ones that the same filling images disturb.
//
// It is how much a serving task of an image is among its like on the worker, from -1 to
// 1. Images differ in which filling images disturb them: with one serving image on a
// worker, most filling images find workers where they disturb nobody.
func (c *Core) affinity(w *worker, image string) float64 {
	sum := 0.0
	for _, r := range w.runList {
		if r.task == nil || !r.task.step.spec.LongRunning {
			continue
		}
		s := r.task.step.spec
		like := 1.0
		if s.Image != image {
			like = -c.interference.Dissimilarity(s.Image, image)
		}
		sum += like * float64(s.Size.CPU)
	}
	return sum / float64(max(w.Size.CPU, 1))
}

func (w *worker) taskCount(s *stepInstance) int {
	n := 0
	for _, r := range w.runList {
		if r.task != nil && r.task.step == s {
			n++
		}
	}
	return n
}
