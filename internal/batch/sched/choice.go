package sched

import (
	"math"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/base/bucket"
)

const (
	// levelStep is the width of a bucket of workers by their free processors, in millicores.
	levelStep = 250
	// maxScored bounds the workers that are scored for a step. Of more than that with room, a sample is scored.
	maxScored = 512
	// leftWeight is the weight of the processors left beside what is decided first.
	leftWeight = 0.1
	// advantageWeight is the weight of what a place is worth to other images beside the harm done there.
	advantageWeight = 0.5
	// awayCost and avoidCost lower the score of a worker in another rack than the task's data, and of the one on
	// which the task failed or was slowed.
	awayCost  = 1
	avoidCost = 10
)

// rooms is a service's workers by their free processors.
type rooms struct {
	declared bucket.Index[*worker] // by what no task has declared
	unused   bucket.Index[*worker] // by what is likely to be unused, for tasks that fill
	racks    map[string][]*worker
}

// attach enters a run into its worker's ledger.
func (c *Core) attach(r *run) {
	r.worker.add(r)
	if r.starved {
		c.starved++
	}
	if r.task != nil {
		r.task.stage.job.count(r, 1)
	}
	c.touch(r.worker)
}

// detach takes a run out of its worker's ledger.
func (c *Core) detach(r *run) {
	if r.worker.drop(r) && r.task != nil {
		if r.starved {
			c.starved--
		}
		r.task.stage.job.count(r, -1)
	}
	c.touch(r.worker)
}

// touch notes that what was known of a worker's room is out of date.
func (c *Core) touch(w *worker) {
	w.forecast.fresh = false
	if !w.stale {
		w.stale = true
		c.stale = append(c.stale, w)
	}
}

// reindex brings rooms up to date.
func (c *Core) reindex(now time.Time) {
	for _, w := range c.stale {
		w.stale = false
		if c.workers[w.ID] == w {
			c.index(now, w)
		}
	}
	c.stale = c.stale[:0]
}

func (c *Core) index(now time.Time, w *worker) {
	if w.indexed != nil && (w.indexed.service != w.Service || w.indexed.rack != w.Rack) {
		c.unindex(w)
	}
	r := c.rooms[w.Service]
	if r == nil {
		r = &rooms{racks: map[string][]*worker{}}
		c.rooms[w.Service] = r
	}
	if w.indexed == nil {
		w.indexed = &indexed{w.Service, w.Rack}
		r.racks[w.Rack] = append(r.racks[w.Rack], w)
	}
	r.declared.Set(w, w.free().CPU/levelStep)
	r.unused.Set(w, c.forecast(now, w).left/levelStep)
}

// unindex takes a worker out of rooms.
func (c *Core) unindex(w *worker) {
	if w.indexed == nil {
		return
	}
	r := c.rooms[w.indexed.service]
	r.declared.Remove(w)
	r.unused.Remove(w)
	in := r.racks[w.indexed.rack]
	r.racks[w.indexed.rack] = slices.DeleteFunc(in, func(o *worker) bool { return o == w })
	w.indexed = nil
}

// indexed is under what a worker stands in rooms.
type indexed struct {
	service string
	rack    string
}

// choices are the workers on which a task of a step may run, with their scores; a higher one is better.
type choices struct {
	stage   *stage
	workers []*worker
	scores  []float64
}

// choose returns the choices for a step, of one rack unless rack is empty. They hold until the next call.
func (c *Core) choose(now time.Time, s *stage, rack string) *choices {
	c.reindex(now)
	ch := &c.choices
	ch.stage, ch.workers, ch.scores = s, ch.workers[:0], ch.scores[:0]
	r := c.rooms[s.job.Service]
	if r == nil {
		return ch
	}
	in, least := &r.declared, s.spec.Size.CPU
	if s.spec.Fills {
		in, least = &r.unused, int(fillShare*float64(least))
		if s.starved {
			least = 0
		}
	}
	if rack != "" {
		for _, w := range r.racks[rack] {
			c.consider(now, ch, w, s)
		}
		return ch
	}
	// A sample may miss the few workers beside the data.
	near := s.spec.Rack
	if near != "" {
		for _, w := range r.racks[near] {
			c.consider(now, ch, w, s)
		}
	}
	c.sampled++
	for w := range in.Sample(least/levelStep, maxScored, c.sampled) {
		if near == "" || w.Rack != near {
			c.consider(now, ch, w, s)
		}
	}
	return ch
}

func (c *Core) consider(now time.Time, ch *choices, w *worker, s *stage) {
	if score, ok := c.suits(now, w, s); ok {
		ch.workers = append(ch.workers, w)
		ch.scores = append(ch.scores, score)
	}
}

// rescore updates the i-th choice after a start there.
func (c *Core) rescore(now time.Time, ch *choices, i int) {
	score, ok := c.suits(now, ch.workers[i], ch.stage)
	if !ok {
		score = math.Inf(-1)
	}
	ch.scores[i] = score
}

// best returns the number of the choice that suits a task best, or -1 if there is none.
func (ch *choices) best(t *task) int {
	best, top := -1, math.Inf(-1)
	for i, score := range ch.scores {
		w := ch.workers[i]
		if t.avoid != "" && w.ID == t.avoid {
			score -= avoidCost
		}
		if score > top || score == top && best >= 0 && w.ID < ch.workers[best].ID {
			best, top = i, score
		}
	}
	return best
}

// suits returns how well a step's tasks suit a worker, and whether one may be placed there now.
func (c *Core) suits(now time.Time, w *worker, s *stage) (float64, bool) {
	if !w.allows(now, s) || !w.spares(c.plans, s.spec) {
		return 0, false
	}
	score, ok := c.score(now, w, s)
	if s.spec.Rack != "" && w.Rack != s.spec.Rack {
		score -= awayCost
	}
	return score, ok
}

// allows reports whether a step's tasks may be placed on a worker, if it has room.
func (w *worker) allows(now time.Time, s *stage) bool {
	return w.open(now) && w.labelled(s.spec.Label) && (s.spec.Apart == 0 || w.holds(s) < s.spec.Apart)
}

// score returns how well a step's tasks suit a worker, higher being better, and whether one fits.
func (c *Core) score(now time.Time, w *worker, s *stage) (float64, bool) {
	free := w.free()
	left := float64(c.forecast(now, w).left)
	whole := float64(max(w.Size.CPU, 1))
	switch {
	case s.spec.Fills:
		if w.share.shut || !c.hasRoom(now, w, s) {
			return 0, false
		}
		harm, advantage := c.effect(now, w, s.spec)
		return leftWeight*left/whole + advantageWeight*advantage - harm, harm <= maxHarm || s.starved
	case !free.Covers(s.spec.Size):
		return 0, false
	case s.spec.Lasting:
		return c.affinity(w, s.spec.Image), true
	}
	return left / whole, true
}
