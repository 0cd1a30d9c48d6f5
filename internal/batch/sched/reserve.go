package sched

import (
	"cmp"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// maxReserveScans bounds the workers for which a plan finds out when they will have room.
const maxReserveScans = 1024

// reservation is room on a worker that a plan keeps for a lasting task which waits for tasks there to end.
type reservation struct {
	plan int // number of the plan; in any other it means nothing
	size wire.Size
}

// reserveCandidate is a worker with how long it is expected to take until it has room.
type reserveCandidate struct {
	worker *worker
	freeIn time.Duration
}

// reserveWorkers keeps room for n tasks of a lasting step that have found no place, where tasks that end are in their way. What
// comes after the step in this plan leaves it free.
//
// The failure it guards against: smaller tasks take each bit of room that is freed, and on no worker is there ever enough
// for a large one, though its like leave room for it.
func (c *Core) reserveWorkers(now time.Time, s *stepInstance, n int) {
	all := c.candidateBuf[:0]
	for _, w := range c.workersByID {
		if c.reserveScans >= maxReserveScans {
			break
		}
		if w.Service != s.job.Service || w.reserved.plan == c.planNumber || !w.Size.Minus(w.longRunning).Covers(s.spec.Size) || !w.eligible(now, s) {
			continue
		}
		c.reserveScans++
		if rest, ok := c.fitsIn(now, w, s.spec.Size); ok {
			all = append(all, reserveCandidate{w, rest})
		}
	}
	c.candidateBuf = all
	slices.SortStableFunc(all, func(a, b reserveCandidate) int { return cmp.Compare(a.freeIn, b.freeIn) })
	for _, k := range all[:min(n, len(all))] {
		k.worker.reserved = reservation{c.planNumber, s.spec.Size}
	}
}

// fitsIn returns how long it is expected to take until enough of a worker's tasks have ended for it to have room, and
// whether it will have.
func (c *Core) fitsIn(now time.Time, w *worker, z wire.Size) (time.Duration, bool) {
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
		if free.Covers(z) {
			return e.remaining, true
		}
	}
	return 0, false
}

// expectedEnd is how long a run of a step is expected to go on.
type expectedEnd struct {
	step      *Step
	remaining time.Duration
}

// remaining returns how long a run is expected to go on. One that takes longer than expected is taken to go on for as long
// again as it is late.
func (c *Core) remaining(now time.Time, r *run) time.Duration {
	s := r.task.step
	return (c.estimator.estimate(s.job.Queue, s.spec.Estimate) - now.Sub(r.startedAt)).Abs()
}

// respectsReservation reports whether a task of a step leaves free what a plan keeps on a worker.
func (w *worker) respectsReservation(plan int, s *Step) bool {
	if w.reserved.plan != plan {
		return true
	}
	left, kept := w.free().Minus(s.Size), w.reserved.size
	if s.BestEffort {
		left.CPU = kept.CPU // it has only what others leave
	}
	return left.Covers(kept)
}
