package sched

import (
	"math"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/base/bucket"
)

const (
	// cpuBucketWidth is the width of the buckets in which workers are indexed by free CPU, in millicores.
	cpuBucketWidth = 250
	// maxScored bounds the workers that are scored for a step. Of more than that with enough free CPU, a sample is scored.
	maxScored = 256
	// unusedWeight is the weight of a worker's unused CPU in the score of a best-effort task, as a secondary criterion.
	unusedWeight = 0.1
	// advantageWeight is the weight of the advantage that interferenceOf returns against the expected violations.
	advantageWeight = 0.5
	// remoteRackPenalty lowers the score of a worker in another rack than the task's data, and avoidPenalty that of the
	// worker on which the task failed or from which it was moved.
	remoteRackPenalty = 1
	avoidPenalty      = 10
)

// workerIndex holds a service's workers by free CPU and by rack.
type workerIndex struct {
	byDeclared bucket.Index[*worker] // by CPU that tasks have not declared
	byUnused   bucket.Index[*worker] // by CPU expected to be unused, for best-effort tasks
	byRack     map[string][]*worker  // by name of the rack
}

// attachRun adds a run to its worker and to the counts of its job.
func (c *Core) attachRun(r *run) {
	r.worker.addRun(r)
	c.noteRunCount(r.worker)
	if r.starved {
		c.starvedRuns++
	}
	if r.task != nil {
		r.task.step.job.countRun(r, 1)
	}
	c.markStale(r.worker)
}

// detachRun removes a run from its worker and from the counts of its job.
func (c *Core) detachRun(r *run) {
	if r.sent && !r.answered {
		c.noteLateStart(r)
	}
	if r.worker.removeRun(r) && r.task != nil {
		if r.starved {
			c.starvedRuns--
		}
		r.task.step.job.countRun(r, -1)
	}
	c.noteRunCount(r.worker)
	c.markStale(r.worker)
}

// noteRunCount notes that a worker's number of runs has changed, by which an expired worker is tracked or not.
func (c *Core) noteRunCount(w *worker) {
	if w.expired {
		c.trackedVersion++
	}
}

// markStale invalidates a worker's forecast and its index entry.
func (c *Core) markStale(w *worker) {
	w.forecast.valid = false
	if !w.indexStale {
		w.indexStale = true
		c.staleWorkers = append(c.staleWorkers, w)
	}
}

// refreshIndex recomputes the index entries of stale workers.
func (c *Core) refreshIndex(now time.Time) {
	for _, w := range c.staleWorkers {
		w.indexStale = false
		if c.workers[w.ID] == w {
			c.indexWorker(now, w)
		}
	}
	c.staleWorkers = c.staleWorkers[:0]
}

// indexWorker adds a worker to its service's index or updates its entry.
func (c *Core) indexWorker(now time.Time, w *worker) {
	if w.indexKey != nil && (w.indexKey.service != w.Service || w.indexKey.rack != w.Rack) {
		c.unindexWorker(w)
	}
	index := c.workerIndexes[w.Service]
	if index == nil {
		index = &workerIndex{byRack: map[string][]*worker{}}
		c.workerIndexes[w.Service] = index
	}
	if w.indexKey == nil {
		w.indexKey = &indexKey{w.Service, w.Rack}
		index.byRack[w.Rack] = append(index.byRack[w.Rack], w)
	}
	index.byDeclared.Set(w, w.free().CPU/cpuBucketWidth)
	index.byUnused.Set(w, c.forecast(now, w).unused/cpuBucketWidth)
}

// unindexWorker removes a worker from its service's index.
func (c *Core) unindexWorker(w *worker) {
	if w.indexKey == nil {
		return
	}
	index := c.workerIndexes[w.indexKey.service]
	index.byDeclared.Remove(w)
	index.byUnused.Remove(w)
	sameRack := index.byRack[w.indexKey.rack]
	index.byRack[w.indexKey.rack] = slices.DeleteFunc(sameRack, func(other *worker) bool { return other == w })
	w.indexKey = nil
}

// indexKey is the service and the rack under which a worker is indexed.
type indexKey struct {
	service string
	rack    string
}

// feasibleWorkers are the workers on which a task of a step may be placed.
type feasibleWorkers struct {
	step    *stepInstance
	workers []*worker
	scores  []float64 // of each worker; a higher one is better
}

// findFeasible returns the feasible workers for a step, of one rack unless rack is empty. The result is valid until the
// next call, which reuses it.
func (c *Core) findFeasible(now time.Time, s *stepInstance, rack string) *feasibleWorkers {
	c.refreshIndex(now)
	f := &c.feasibleBuf
	f.step, f.workers, f.scores = s, f.workers[:0], f.scores[:0]
	index := c.workerIndexes[s.job.Service]
	if index == nil {
		return f
	}
	byCPU, minCPU := &index.byDeclared, s.spec.Size.CPU
	if s.spec.BestEffort {
		byCPU, minCPU = &index.byUnused, int(minUnusedShare*float64(minCPU))
		if s.starved {
			minCPU = 0
		}
	}
	if rack != "" {
		for _, w := range index.byRack[rack] {
			c.addIfFeasible(now, f, w, s)
		}
		return f
	}
	// A sample may miss the few workers in the rack of the data.
	dataRack := s.spec.DataRack
	if dataRack != "" {
		for _, w := range index.byRack[dataRack] {
			c.addIfFeasible(now, f, w, s)
		}
	}
	c.sampleCount++
	for w := range byCPU.SampleAtLeast(minCPU/cpuBucketWidth, maxScored, c.sampleCount) {
		if dataRack == "" || w.Rack != dataRack {
			c.addIfFeasible(now, f, w, s)
		}
	}
	return f
}

// addIfFeasible adds a worker with its score if a task of the step may be placed there.
func (c *Core) addIfFeasible(now time.Time, f *feasibleWorkers, w *worker, s *stepInstance) {
	if c.lane(w).full() {
		return
	}
	if score, ok := c.placementScore(now, w, s); ok {
		f.workers = append(f.workers, w)
		f.scores = append(f.scores, score)
	}
}

// rescore updates the score of the i-th worker after a start there.
func (c *Core) rescore(now time.Time, f *feasibleWorkers, i int) {
	score, ok := c.placementScore(now, f.workers[i], f.step)
	if !ok || c.lane(f.workers[i]).full() {
		score = math.Inf(-1)
	}
	f.scores[i] = score
}

// best returns the index of the worker with the best score for a task, or -1 if there is none. Of equal scores, the lowest
// worker id wins.
func (f *feasibleWorkers) best(t *task) int {
	best, bestScore := -1, math.Inf(-1)
	for i, score := range f.scores {
		w := f.workers[i]
		if t.avoidWorker != "" && w.ID == t.avoidWorker {
			score -= avoidPenalty
		}
		if score > bestScore || score == bestScore && best >= 0 && w.ID < f.workers[best].ID {
			best, bestScore = i, score
		}
	}
	return best
}

// placementScore returns the score of a worker for a step's tasks, and whether one may be placed there now.
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

// eligible reports whether a worker meets the constraints on a step's tasks, apart from resources and reservations.
func (w *worker) eligible(now time.Time, s *stepInstance) bool {
	return w.schedulable(now) && w.serves(s) && (s.spec.MaxPerWorker == 0 || w.taskCount(s) < s.spec.MaxPerWorker)
}

// resourceScore returns the score of a worker for a step's tasks by resources and interference, higher being better, and
// whether one fits. It ignores reservations and other constraints.
func (c *Core) resourceScore(now time.Time, w *worker, s *stepInstance) (float64, bool) {
	free := w.free()
	unused := float64(c.forecast(now, w).unused)
	total := float64(max(w.Size.CPU, 1))
	switch {
	case s.spec.BestEffort:
		if w.colocation.bestEffortBlocked || !c.fitsBestEffort(now, w, s) {
			return 0, false
		}
		violations, advantage := c.interferenceOf(now, w, s.spec)
		return unusedWeight*unused/total + advantageWeight*advantage - violations, violations <= maxExpectedViolations || s.starved
	case !free.Covers(s.spec.Size):
		return 0, false
	case s.spec.LongRunning:
		return c.affinity(w, s.spec.Image), w.fitsBeside(s.spec.Size)
	}
	return unused / total, true
}
