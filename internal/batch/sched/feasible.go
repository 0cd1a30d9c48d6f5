package sched

import (
	"math"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/base/bucket"
)

const (
	// cpuBucketWidth is the width of a bucket of workers by their free processors, in millicores.
	cpuBucketWidth = 250
	// maxScored bounds the workers that are scored for a step. Of more than that with room, a sample is scored.
	maxScored = 512
	// unusedWeight is the weight of the processors left beside what is decided first.
	unusedWeight = 0.1
	// advantageWeight is the weight of what a place is worth to other images beside the harm done there.
	advantageWeight = 0.5
	// remoteRackPenalty and avoidCost lower the score of a worker in another rack than the task's data, and of the one on
	// which the task failed or was slowed.
	remoteRackPenalty = 1
	avoidPenalty      = 10
)

// workerIndex is a service's workers by their free processors.
type workerIndex struct {
	byDeclared bucket.Index[*worker] // by what no task has declared
	byUnused   bucket.Index[*worker] // by what is likely to be unused, for tasks that fill
	byRack     map[string][]*worker
}

// attachRun enters a run into its worker's ledger.
func (c *Core) attachRun(r *run) {
	r.worker.addRun(r)
	if r.starved {
		c.starvedRuns++
	}
	if r.task != nil {
		r.task.step.job.countRun(r, 1)
	}
	c.markStale(r.worker)
}

// detachRun takes a run out of its worker's ledger.
func (c *Core) detachRun(r *run) {
	if r.worker.removeRun(r) && r.task != nil {
		if r.starved {
			c.starvedRuns--
		}
		r.task.step.job.countRun(r, -1)
	}
	c.markStale(r.worker)
}

// markStale notes that what was known of a worker's room is out of date.
func (c *Core) markStale(w *worker) {
	w.forecast.valid = false
	if !w.indexStale {
		w.indexStale = true
		c.staleWorkers = append(c.staleWorkers, w)
	}
}

// refreshIndex brings rooms up to date.
func (c *Core) refreshIndex(now time.Time) {
	for _, w := range c.staleWorkers {
		w.indexStale = false
		if c.workers[w.ID] == w {
			c.indexWorker(now, w)
		}
	}
	c.staleWorkers = c.staleWorkers[:0]
}

func (c *Core) indexWorker(now time.Time, w *worker) {
	if w.indexKey != nil && (w.indexKey.service != w.Service || w.indexKey.rack != w.Rack) {
		c.unindexWorker(w)
	}
	r := c.workerIndexes[w.Service]
	if r == nil {
		r = &workerIndex{byRack: map[string][]*worker{}}
		c.workerIndexes[w.Service] = r
	}
	if w.indexKey == nil {
		w.indexKey = &indexKey{w.Service, w.Rack}
		r.byRack[w.Rack] = append(r.byRack[w.Rack], w)
	}
	r.byDeclared.Set(w, w.free().CPU/cpuBucketWidth)
	r.byUnused.Set(w, c.forecast(now, w).unused/cpuBucketWidth)
}

// unindexWorker takes a worker out of rooms.
func (c *Core) unindexWorker(w *worker) {
	if w.indexKey == nil {
		return
	}
	r := c.workerIndexes[w.indexKey.service]
	r.byDeclared.Remove(w)
	r.byUnused.Remove(w)
	in := r.byRack[w.indexKey.rack]
	r.byRack[w.indexKey.rack] = slices.DeleteFunc(in, func(o *worker) bool { return o == w })
	w.indexKey = nil
}

// indexKey is under what a worker stands in rooms.
type indexKey struct {
	service string
	rack    string
}

// feasibleWorkers are the workers on which a task of a step may run, with their scores; a higher one is better.
type feasibleWorkers struct {
	stage   *stepInstance
	workers []*worker
	scores  []float64
}

// findFeasible returns the choices for a step, of one rack unless rack is empty. They hold until the next call.
func (c *Core) findFeasible(now time.Time, s *stepInstance, rack string) *feasibleWorkers {
	c.refreshIndex(now)
	ch := &c.feasibleBuf
	ch.stage, ch.workers, ch.scores = s, ch.workers[:0], ch.scores[:0]
	r := c.workerIndexes[s.job.Service]
	if r == nil {
		return ch
	}
	in, least := &r.byDeclared, s.spec.Size.CPU
	if s.spec.BestEffort {
		in, least = &r.byUnused, int(minUnusedShare*float64(least))
		if s.starved {
			least = 0
		}
	}
	if rack != "" {
		for _, w := range r.byRack[rack] {
			c.addIfFeasible(now, ch, w, s)
		}
		return ch
	}
	// A sample may miss the few workers beside the data.
	near := s.spec.DataRack
	if near != "" {
		for _, w := range r.byRack[near] {
			c.addIfFeasible(now, ch, w, s)
		}
	}
	c.sampleCount++
	for w := range in.Sample(least/cpuBucketWidth, maxScored, c.sampleCount) {
		if near == "" || w.Rack != near {
			c.addIfFeasible(now, ch, w, s)
		}
	}
	return ch
}

func (c *Core) addIfFeasible(now time.Time, ch *feasibleWorkers, w *worker, s *stepInstance) {
	if score, ok := c.placementScore(now, w, s); ok {
		ch.workers = append(ch.workers, w)
		ch.scores = append(ch.scores, score)
	}
}

// rescore updates the i-th choice after a start there.
func (c *Core) rescore(now time.Time, ch *feasibleWorkers, i int) {
	score, ok := c.placementScore(now, ch.workers[i], ch.stage)
	if !ok {
		score = math.Inf(-1)
	}
	ch.scores[i] = score
}

// best returns the number of the choice that suits a task best, or -1 if there is none.
func (ch *feasibleWorkers) best(t *task) int {
	best, top := -1, math.Inf(-1)
	for i, score := range ch.scores {
		w := ch.workers[i]
		if t.avoidWorker != "" && w.ID == t.avoidWorker {
			score -= avoidPenalty
		}
		if score > top || score == top && best >= 0 && w.ID < ch.workers[best].ID {
			best, top = i, score
		}
	}
	return best
}

// placementScore returns how well a step's tasks suit a worker, and whether one may be placed there now.
func (c *Core) placementScore(now time.Time, w *worker, s *stepInstance) (float64, bool) {
	if !w.eligible(now, s) || !w.respectsReservation(c.planNumber, s.spec) {
		return 0, false
	}
	score, ok := c.resourceScore(now, w, s)
	if s.spec.DataRack != "" && w.Rack != s.spec.DataRack {
		score -= remoteRackPenalty
	}
	return score, ok
}

// eligible reports whether a step's tasks may be placed on a worker, if it has room.
func (w *worker) eligible(now time.Time, s *stepInstance) bool {
	return w.schedulable(now) && w.hasLabel(s.spec.RequiredLabel) && (s.spec.MaxPerWorker == 0 || w.taskCount(s) < s.spec.MaxPerWorker)
}

// resourceScore returns how well a step's tasks suit a worker, higher being better, and whether one fits.
func (c *Core) resourceScore(now time.Time, w *worker, s *stepInstance) (float64, bool) {
	free := w.free()
	left := float64(c.forecast(now, w).unused)
	whole := float64(max(w.Size.CPU, 1))
	switch {
	case s.spec.BestEffort:
		if w.colocation.bestEffortBlocked || !c.fitsBestEffort(now, w, s) {
			return 0, false
		}
		harm, advantage := c.interferenceOf(now, w, s.spec)
		return unusedWeight*left/whole + advantageWeight*advantage - harm, harm <= maxExpectedViolations || s.starved
	case !free.Covers(s.spec.Size):
		return 0, false
	case s.spec.LongRunning:
		return c.affinity(w, s.spec.Image), true
	}
	return left / whole, true
}
