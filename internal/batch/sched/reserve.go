package sched

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// maxReserveScans bounds the workers for which a plan estimates when a waiting long-running task will fit.
const maxReserveScans = 1024

// reservation is the part of a worker's resources that a plan keeps free for a long-running task, which waits for other
// tasks there to end.
type reservation struct {
	plan int       // number of the plan; the reservation holds in this plan only
	size wire.Size // of the long-running task
}

// reserveCandidate is a worker on which resources may be reserved.
type reserveCandidate struct {
	worker *worker
	freeIn time.Duration // expected time until the task fits there
}

// reserveWorkers reserves resources for n tasks of a long-running step that found no worker, each on a worker where it will
// fit once tasks that aren't long-running have ended; it prefers the workers where that is soonest. Steps that are placed
// later in the same plan leave the reserved resources free. If there are too few workers, an interrupted step takes those
// that are reserved for tasks which still run.
//
// The failure it guards against: smaller tasks take the resources that are freed bit by bit, so that no worker ever has
// enough for a large task, although the long-running tasks would leave enough for it.
func (c *Core) reserveWorkers(now time.Time, s *stepInstance, n int) {
	candidates := c.candidateBuf[:0]
	for w, freeIn := range c.reservable(now, s) {
		candidates = append(candidates, reserveCandidate{w, freeIn})
	}
	c.candidateBuf = candidates
	slices.SortStableFunc(candidates, func(a, b reserveCandidate) int { return cmp.Compare(a.freeIn, b.freeIn) })
	for _, candidate := range candidates[:min(n, len(candidates))] {
		candidate.worker.reserved = reservation{c.planNumber, s.spec.Size}
	}
	if s.precedence.interrupted() {
		c.yieldRelocations(now, s, max(0, n-len(candidates)))
	}
}

// reservable returns the workers on which a task of a long-running step will fit once tasks that aren't long-running have ended,
// with the expected time until then. Workers with a reservation in this plan are left out.
func (c *Core) reservable(now time.Time, s *stepInstance) iter.Seq2[*worker, time.Duration] {
	return func(yield func(*worker, time.Duration) bool) {
		for _, w := range c.workersByID {
			if c.reserveScans >= maxReserveScans {
				return
			}
			if w.reserved.plan == c.planNumber || !w.fitsBeside(s.spec.Size) || !w.eligible(now, s) {
				continue
			}
			c.reserveScans++
			if freeIn, ok := c.fitsIn(now, w, s.spec.Size); ok && !yield(w, freeIn) {
				return
			}
		}
	}
}

// fitsIn returns the expected time until enough of a worker's tasks have ended for a size to fit, and whether it will fit at
// all beside the long-running tasks.
func (c *Core) fitsIn(now time.Time, w *worker, size wire.Size) (time.Duration, bool) {
	ends := c.expectedEndBuf[:0]
	for _, r := range w.runList {
		if r.task != nil && !r.task.step.spec.LongRunning {
			ends = append(ends, expectedEnd{r.task.step.spec, c.remaining(now, r)})
		}
	}
	c.expectedEndBuf = ends
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.remaining, b.remaining) })
	free := w.free()
	for _, e := range ends {
		free.Mem += e.step.Size.Mem
		free.Accel += e.step.Size.Accel
		if !e.step.BestEffort {
			free.CPU += e.step.Size.CPU
		}
		if free.Covers(size) {
			return e.remaining, true
		}
	}
	return 0, false
}

// expectedEnd is when a run is expected to end.
type expectedEnd struct {
	step      *Step         // of the run
	remaining time.Duration // until the run ends
}

// remaining returns the expected remaining time of a run. A run that exceeds its expected duration is assumed to need as
// much time again as it is late.
func (c *Core) remaining(now time.Time, r *run) time.Duration {
	s := r.task.step
	return (c.estimator.estimate(s.job.Queue, s.spec.Estimate) - now.Sub(r.startedAt)).Abs()
}

// respectsReservation reports whether placing a task of a step leaves the resources free that the plan has reserved on the
// worker.
func (w *worker) respectsReservation(plan int, s *Step) bool {
	if w.reserved.plan != plan {
		return true
	}
	left, reserved := w.free().Minus(s.Size), w.reserved.size
	if s.BestEffort {
		left.CPU = reserved.CPU // a best-effort task uses only CPU that others leave unused
	}
	return left.Covers(reserved)
}
