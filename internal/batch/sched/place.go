package sched

import (
	"math"
	"slices"
	"sort"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

const (
	// runStride parts the run numbers of one holder's term from the next: no task is started
	// so often within a term.
	runStride = 1_000_000
	// baseLoad is the share of their declared processors that serving tasks use, from
	// measurements of the users' workloads: about half, swinging by half of that.
	baseLoad = 0.6
	// fillShare is how much of a filling task's processors must be left for it to be placed.
	fillShare = 0.9
	// lateBy moves a step whose job can't be on time any more behind those whose jobs can.
	lateBy = time.Hour
	// lateAims is how many times its aim a job may take for its end to be worth something to
	// its caller.
	lateAims = 3
)

// place starts what waits, as far as there is room.
func (c *Core) place(now time.Time, orders []Order) []Order {
	if !c.acts(now) {
		return orders
	}
	doubt := c.inDoubt(now)
	c.sortActive(now)
	full := misfits{}
	rest := c.active[:0]
	for _, s := range c.active {
		if s.job.state.Final() || s.waiting == 0 {
			s.listed = false
			continue
		}
		rest = append(rest, s)
		orders = c.placeStage(now, s, doubt && s.job.restored, full, orders)
	}
	c.active = rest
	return orders
}

// inDoubt reports whether a former holder's orders may still live on workers that haven't
// been reached: until then a task taken over may run there, or have ended there. Workers that the record
// didn't name have got none: each is named there before the first start on it.
func (c *Core) inDoubt(now time.Time) bool {
	if !now.Before(c.clear()) {
		return false
	}
	for _, w := range c.ranks {
		if w.heir && !w.told {
			return true
		}
	}
	return false
}

// kind is what, besides its size, decides whether a task fits somewhere.
type kind struct {
	fills   bool
	image   string // of a task that fills: what it disturbs depends on it
	label   string
	service string
}

func (s *stage) kind() kind {
	k := kind{fills: s.spec.Fills, label: s.spec.Label, service: s.job.Service}
	if k.fills {
		k.image = s.spec.Image
	}
	return k
}

// misfits holds for each kind the sizes for which there was no room: a task of the kind that
// is as large in everything needn't be tried. With hundreds of steps waiting, this is what
// keeps planning cheap.
type misfits map[kind][]wire.Size

func (m misfits) has(k kind, z wire.Size) bool {
	for _, f := range m[k] {
		if z.Covers(f) {
			return true
		}
	}
	return false
}

// resortEvery is how often the order of what waits is made anew without a newcomer: what
// becomes late meanwhile moves behind the rest.
const resortEvery = 200 * time.Millisecond

func (c *Core) sortActive(now time.Time) {
	if !c.resort && now.Sub(c.sorted) < resortEvery {
		return
	}
	c.resort, c.sorted = false, now
	slices.SortStableFunc(c.active, func(a, b *stage) int {
		switch {
		case a.spec.Lasting != b.spec.Lasting:
			if a.spec.Lasting {
				return -1
			}
			return 1
		case a.job.Priority != b.job.Priority:
			return a.job.Priority - b.job.Priority
		}
		return a.key(now).Compare(b.key(now))
	})
}

// key orders stages by the latest start with which their jobs are on time. Those for which it
// has passed come after all others, and last the ones whose jobs are worth nothing to their
// callers any more. With the time of the steps that follow left out, a job that couldn't be
// on time took the places of those that could until its due time had passed.
func (s *stage) key(now time.Time) time.Time {
	switch {
	case now.After(s.worth):
		return s.due.Add(2 * lateBy)
	case now.After(s.due):
		return s.due.Add(lateBy)
	}
	return s.due
}

// placeStage places the tasks of a stage; with doubt only those of which this holder has seen a run.
func (c *Core) placeStage(now time.Time, s *stage, doubt bool, full misfits, orders []Order) []Order {
	k := s.kind()
	if full.has(k, s.spec.Size) {
		return orders
	}
	if s.spec.Gang {
		if doubt {
			return orders
		}
		return c.placeGang(now, s, orders)
	}
	for _, t := range s.tasks {
		if t.done || t.run != nil || doubt && !t.seen {
			continue
		}
		w := c.pick(now, t, "")
		if w == nil {
			c.lack(now, s)
			if s.spec.Apart == 0 {
				full[k] = append(full[k], s.spec.Size)
			}
			break
		}
		orders = append(orders, c.start(now, t, w, t.next(c.opt.Term)))
	}
	return orders
}

// placeGang starts all tasks of a gang or none, on one rack where that is faster.
func (c *Core) placeGang(now time.Time, s *stage, orders []Order) []Order {
	for _, t := range s.tasks {
		if t.run != nil {
			return orders // the rest of a former run has to end first
		}
	}
	racks := []string{""}
	if s.spec.Tight {
		racks = append(c.racks(), "")
	}
	for _, rack := range racks {
		if got, ok := c.tryGang(now, s, rack); ok {
			return append(orders, got...)
		}
	}
	return orders
}

func (c *Core) tryGang(now time.Time, s *stage, rack string) ([]Order, bool) {
	var number int64
	for _, t := range s.tasks {
		number = max(number, t.next(c.opt.Term))
	}
	var orders []Order
	for _, t := range s.tasks {
		w := c.pick(now, t, rack)
		if w == nil {
			for _, u := range s.tasks {
				if u.run != nil {
					c.free(u.run)
				}
			}
			return nil, false
		}
		orders = append(orders, c.start(now, t, w, number))
	}
	return orders, true
}

func (c *Core) racks() []string {
	seen := map[string]bool{}
	var all []string
	for _, w := range c.ranks {
		if !seen[w.Rack] {
			seen[w.Rack] = true
			all = append(all, w.Rack)
		}
	}
	sort.Strings(all)
	return all
}

func (t *task) next(term int64) int64 {
	return max(t.n, term*runStride) + 1
}

func (c *Core) start(now time.Time, t *task, w *worker, number int64) Order {
	r := &run{runKey: runKey{t.id(), number}, task: t, worker: w, state: RunSent, born: w.Born, sent: now, began: now, pace: fullPace, want: fullPace}
	t.run = r
	t.n = number
	s := t.stage
	s.waiting--
	if s.spec.Fills {
		w.share.busy = now
	}
	w.add(r)
	o := r.order(VerbStart)
	o.Spec = s.job.Spec
	o.Save = s.job.saves[t.id()]
	o.Until = w.until.Truncate(time.Millisecond)
	return o
}

// pick returns the worker that suits a task best, or nil.
func (c *Core) pick(now time.Time, t *task, rack string) *worker {
	s := t.stage
	var best *worker
	bestScore := math.Inf(-1)
	for _, w := range c.ranks {
		if w.Service != s.job.Service || rack != "" && w.Rack != rack || !w.open(now) || !w.labelled(s.spec.Label) {
			continue
		}
		score, ok := c.score(now, w, s)
		if !ok || s.spec.Apart > 0 && w.holds(s) >= s.spec.Apart {
			continue
		}
		if s.spec.Rack != "" && w.Rack != s.spec.Rack {
			score -= 1
		}
		if w.ID == t.avoid {
			score -= 10
		}
		if score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// score returns how well a stage's task suits a worker, higher being better, and whether it fits.
func (c *Core) score(now time.Time, w *worker, s *stage) (float64, bool) {
	z := s.spec.Size
	free := w.free()
	left := float64(c.look(now, w).left)
	whole := float64(max(w.Size.CPU, 1))
	switch {
	case s.spec.Fills:
		if w.share.shut || !c.roomy(now, w, s) {
			return 0, false
		}
		harm := c.harm(now, w, s.spec)
		return leftWeight*left/whole + advantageWeight*c.advantage(now, w, s.spec) - harm, harm <= mostHarm
	case !free.Covers(z):
		return 0, false
	case s.spec.Lasting:
		return c.kinship(w, s.spec.Image), true
	}
	return left / whole, true
}

// roomy reports whether a worker has room for a filling task of a stage.
func (c *Core) roomy(now time.Time, w *worker, s *stage) bool {
	z, free := s.spec.Size, w.free()
	return z.Mem <= free.Mem && z.Accel <= free.Accel && float64(c.look(now, w).left) >= fillShare*float64(z.CPU)
}

// advantageWeight is the weight of what a place is worth to other images beside the harm done
// there. On six days of both users the worth added up to 3.05 without it, 3.09 at 0.3, 3.20 at
// 0.5 and 3.14 at 1.
const advantageWeight = 0.5

// leftWeight is the weight of the processors left beside what is decided first.
const leftWeight = 0.1

// kinship prefers the worker that is fullest of the image, so that others stay free of serving
// tasks for filling images that disturb them all, and, where images have to share a worker,
// ones that the same filling images disturb.
//
// It is how much a serving task of an image is among its like on the worker, from -1 to
// 1. Images differ in which filling images disturb them: with one serving image on a
// worker, most filling images find workers where they disturb nobody.
func (c *Core) kinship(w *worker, image string) float64 {
	sum := 0.0
	for _, r := range w.list {
		if r.task == nil || !r.task.stage.spec.Lasting {
			continue
		}
		s := r.task.stage.spec
		like := 1.0
		if s.Image != image {
			like = -c.press.unlike(s.Image, image)
		}
		sum += like * float64(s.Size.CPU)
	}
	return sum / float64(max(w.Size.CPU, 1))
}

func (w *worker) holds(s *stage) int {
	n := 0
	for _, r := range w.list {
		if r.task != nil && r.task.stage == s {
			n++
		}
	}
	return n
}
