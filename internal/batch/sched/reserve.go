package sched

import (
	"cmp"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// maxTimed bounds the workers for which a plan finds out when they will have room.
const maxTimed = 1024

// reservation is room on a worker that a plan keeps for a lasting task which waits for tasks there to end.
type reservation struct {
	plan int // number of the plan; in any other it means nothing
	size wire.Size
}

// candidate is a worker with how long it is expected to take until it has room.
type candidate struct {
	worker *worker
	rest   time.Duration
}

// reserve keeps room for n tasks of a lasting step that have found no place, where tasks that end are in their way. What
// comes after the step in this plan leaves it free.
//
// The failure it guards against: smaller tasks take each bit of room that is freed, and on no worker is there ever enough
// for a large one, though its like leave room for it.
func (c *Core) reserve(now time.Time, s *stage, n int) {
	all := c.candidates[:0]
	for _, w := range c.ranks {
		if c.timed >= maxTimed {
			break
		}
		if w.Service != s.job.Service || w.kept.plan == c.plans || !w.Size.Minus(w.lasting).Covers(s.spec.Size) || !w.allows(now, s) {
			continue
		}
		c.timed++
		if rest, ok := c.roomIn(now, w, s.spec.Size); ok {
			all = append(all, candidate{w, rest})
		}
	}
	c.candidates = all
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.rest, b.rest) })
	for _, k := range all[:min(n, len(all))] {
		k.worker.kept = reservation{c.plans, s.spec.Size}
	}
}

// roomIn returns how long it is expected to take until enough of a worker's tasks have ended for it to have room, and
// whether it will have.
func (c *Core) roomIn(now time.Time, w *worker, z wire.Size) (time.Duration, bool) {
	ends := c.ends[:0]
	for _, r := range w.list {
		if r.task != nil && !r.task.stage.spec.Lasting {
			ends = append(ends, expectedEnd{r.task.stage.spec, c.rest(now, r)})
		}
	}
	c.ends = ends
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.rest, b.rest) })
	free := w.free()
	for _, e := range ends {
		free.Mem += e.step.Size.Mem
		free.Accel += e.step.Size.Accel
		if !e.step.Fills {
			free.CPU += e.step.Size.CPU
		}
		if free.Covers(z) {
			return e.rest, true
		}
	}
	return 0, false
}

// expectedEnd is how long a run of a step is expected to go on.
type expectedEnd struct {
	step *Step
	rest time.Duration
}

// rest returns how long a run is expected to go on. One that takes longer than expected is taken to go on for as long
// again as it is late.
func (c *Core) rest(now time.Time, r *run) time.Duration {
	s := r.task.stage
	return (c.speeds.expect(s.job.Queue, s.spec.Estimate) - now.Sub(r.began)).Abs()
}

// spares reports whether a task of a step leaves free what a plan keeps on a worker.
func (w *worker) spares(plan int, s *Step) bool {
	if w.kept.plan != plan {
		return true
	}
	left, kept := w.free().Minus(s.Size), w.kept.size
	if s.Fills {
		left.CPU = kept.CPU // it has only what others leave
	}
	return left.Covers(kept)
}
