package sched

import (
	"slices"
	"sort"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

const (
	// runStride parts the run numbers of one holder's term from the next: no task is started
	// so often within a term.
	runStride = 1_000_000
	// baseLoad is the share of their declared processors that lasting tasks are taken to use whose load doesn't show.
	baseLoad = 0.6
	// fillShare is how much of a filling task's processors must be left for it to be placed.
	fillShare = 0.9
	// lateAims is how many times its aim a job may take for its end to be worth something to
	// its caller.
	lateAims = 3
)

// place starts what waits, as far as there is room.
func (c *Core) place(now time.Time, orders []Order) []Order {
	if !c.starts(now) {
		return orders
	}
	doubt := c.inDoubt(now)
	c.waiting.sort(now)
	c.flow.open(now)
	c.plans++
	c.timed = 0
	for _, s := range c.waiting.steps {
		if c.flow.limited {
			break
		}
		orders = c.placeStage(now, s, doubt && s.job.restored, orders)
		if s.waiting == 0 {
			c.notePlaced(now, s)
		}
	}
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
		if w.inherited && !w.reported {
			return true
		}
	}
	return false
}

// kind is what, besides its size, decides whether a task fits somewhere.
type kind struct {
	fills   bool
	starved bool
	image   string // of a task that fills: what it disturbs depends on it
	label   string
	service string
}

func (s *stage) kind() kind {
	k := kind{fills: s.spec.Fills, starved: s.starved, label: s.spec.Label, service: s.job.Service}
	if k.fills {
		k.image = s.spec.Image
	}
	return k
}

// misfits are the sizes of a kind for which a plan has found no room: a task that is as large in everything needn't
// be tried. With hundreds of steps waiting, this is what keeps planning cheap.
type misfits struct {
	plan  int // number of the plan that found them
	sizes []wire.Size
}

func (m *misfits) has(plan int, z wire.Size) bool {
	if m.plan != plan {
		return false
	}
	return slices.ContainsFunc(m.sizes, z.Covers)
}

func (m *misfits) add(plan int, z wire.Size) {
	if m.plan != plan {
		m.plan, m.sizes = plan, m.sizes[:0]
	}
	m.sizes = append(m.sizes, z)
}

// misfits returns the misfits of a step's kind.
func (c *Core) misfits(s *stage) *misfits {
	if s.misfits == nil {
		k := s.kind()
		if c.kinds[k] == nil {
			c.kinds[k] = &misfits{}
		}
		s.misfits = c.kinds[k]
	}
	return s.misfits
}

// placeStage places the tasks of a stage; with doubt only those of which this holder has seen a run.
func (c *Core) placeStage(now time.Time, s *stage, doubt bool, orders []Order) []Order {
	c.starve(now, s)
	full := c.misfits(s)
	if full.has(c.plans, s.spec.Size) {
		c.unplaced(now, s, doubt)
		return orders
	}
	if s.spec.Gang {
		if doubt {
			return orders
		}
		return c.placeGang(now, s, orders)
	}
	var ch *choices
	for _, t := range s.tasks {
		if t.done || t.run != nil || doubt && !t.seen {
			continue
		}
		if !c.flow.has(1) {
			break
		}
		if ch == nil {
			ch = c.choose(now, s, "")
		}
		i := ch.best(t)
		if i < 0 {
			c.unplaced(now, s, doubt)
			if s.spec.Lasting && !s.spec.Fills {
				c.makeRoom(now, s)
			}
			if s.spec.Apart == 0 {
				full.add(c.plans, s.spec.Size)
			}
			break
		}
		orders = append(orders, c.start(now, t, ch.workers[i], t.next(c.opt.Term)))
		if s.starved {
			// One task keeps the job going; the others wait for a place where they disturb nobody, and it is moved to no other.
			c.starve(now, s)
			if s.waiting > 0 {
				c.noteUnplaced(now, s)
			}
			break
		}
		c.rescore(now, ch, i)
	}
	return orders
}

// unplaced takes that a task of a stage has found no place.
func (c *Core) unplaced(now time.Time, s *stage, doubt bool) {
	c.noteUnplaced(now, s)
	if !s.spec.Lasting || s.spec.Gang {
		return
	}
	n := s.waiting
	if doubt {
		n -= s.unseen()
	}
	if n > 0 {
		c.reserve(now, s, n)
	}
}

// placeGang starts all tasks of a gang or none, on one rack where that is faster.
func (c *Core) placeGang(now time.Time, s *stage, orders []Order) []Order {
	for _, t := range s.tasks {
		if t.run != nil {
			return orders // the rest of a former run has to end first
		}
	}
	if !c.flow.has(len(s.tasks)) {
		return orders
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
			c.flow.undo(len(orders))
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
	r := &run{runKey: runKey{t.id(), number}, task: t, worker: w, state: RunSent, born: w.Born, sent: now, began: now, pace: fullPace, want: fullPace,
		starved: t.stage.starved}
	t.run = r
	t.n = number
	s := t.stage
	s.waiting--
	if s.spec.Fills {
		w.share.busy = now
	}
	c.attach(r)
	c.flow.start(r)
	o := r.order(VerbStart)
	o.Spec = s.job.Spec
	o.Save = s.job.saves[t.id()]
	o.Starved = s.starved
	o.Until = w.until.Truncate(time.Millisecond)
	return o
}

// pick returns the worker that suits a task best, or nil.
func (c *Core) pick(now time.Time, t *task, rack string) *worker {
	ch := c.choose(now, t.stage, rack)
	if i := ch.best(t); i >= 0 {
		return ch.workers[i]
	}
	return nil
}

// hasRoom reports whether a worker has room for a filling task of a stage.
func (c *Core) hasRoom(now time.Time, w *worker, s *stage) bool {
	z, free := s.spec.Size, w.free()
	return z.Mem <= free.Mem && z.Accel <= free.Accel && (s.starved || float64(c.forecast(now, w).left) >= fillShare*float64(z.CPU))
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
	for _, r := range w.list {
		if r.task == nil || !r.task.stage.spec.Lasting {
			continue
		}
		s := r.task.stage.spec
		like := 1.0
		if s.Image != image {
			like = -c.interference.Dissimilarity(s.Image, image)
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
