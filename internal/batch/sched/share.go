package sched

import (
	"sort"
	"time"
)

// sharing is what is known of a worker on which tasks that fill run beside tasks that serve.
type sharing struct {
	clock clock
	last  time.Time // of the last reading that was used
}

const (
	fullPace = 100
	// aimShare is the share of a serving task's target at which filling tasks are held:
	// readings are rough and half a second old.
	aimShare = 0.7
	// placeShare is the share of a target that a new filling task may bring a serving task to.
	placeShare = 0.6
	// paceStep is the most that a pace is raised at a time, in percent; it is lowered at once.
	paceStep = 25
	// readEvery is the least time between two readings that are used: each covers half a second.
	readEvery = 450 * time.Millisecond
	// overSoon and overLong are how long a serving task may be over its target before all
	// filling tasks beside it are slowed and, then, stand still, whatever the model says.
	overSoon = 1200 * time.Millisecond
	overLong = 2200 * time.Millisecond
	soonPace = 20
)

// shared reports whether filling tasks run beside serving ones.
func (w *worker) shared() bool {
	return w.fill > 0 && w.base > 0
}

// serves reports whether a run is one with a tail to keep.
func (r *run) serves() bool {
	return r.task != nil && r.task.stage.spec.Target > 0 && r.task.stage.spec.Lasting
}

func (r *run) fills() bool {
	return r.task != nil && r.task.stage.spec.Fills
}

// watch learns from a worker's reading and sets the paces of its filling tasks.
func (c *Core) watch(now time.Time, w *worker) {
	if now.Sub(w.calm.last) < readEvery {
		return
	}
	w.calm.last = now
	w.fresh = false
	use := w.fillUse()
	for _, r := range w.runs {
		if !r.serves() || r.state != RunLive {
			continue
		}
		s := r.task.stage.spec
		if r.ready {
			c.press.learn(s.Image, r.tail, use)
		}
		if r.tail < s.Target {
			r.over = time.Time{}
		} else if r.over.IsZero() {
			r.over = now
		}
	}
	c.pace(now, w, use)
}

// fillUse returns the share of the worker's processors that each filling image uses.
func (w *worker) fillUse() map[string]float64 {
	use := map[string]float64{}
	for _, r := range w.runs {
		if r.fills() && r.state == RunLive {
			use[r.task.stage.spec.Image] += r.usage / float64(max(w.Size.CPU, 1))
		}
	}
	return use
}

// pace sets the paces at which the filling tasks of a worker leave every serving task below
// its target. It starts from full and slows those that disturb the most.
func (c *Core) pace(now time.Time, w *worker, use map[string]float64) {
	fills := w.filling()
	if len(fills) == 0 {
		return
	}
	want := make(map[*run]float64, len(fills))
	for _, r := range fills {
		want[r] = fullPace
	}
	for _, s := range w.runs {
		if !s.serves() || s.state != RunLive {
			continue
		}
		c.paceFor(now, w, s, use, fills, want)
	}
	for _, r := range fills {
		p := int(want[r])
		r.want = min(p, r.want+paceStep)
	}
}

// paceFor lowers the paces in want as far as the serving task s needs.
func (c *Core) paceFor(now time.Time, w *worker, s *run, use map[string]float64, fills []*run, want map[*run]float64) {
	spec := s.task.stage.spec
	if !s.over.IsZero() {
		cap := float64(fullPace)
		switch d := now.Sub(s.over); {
		case d >= overLong:
			cap = 0
		case d >= overSoon:
			cap = soonPace
		}
		for _, r := range fills {
			want[r] = min(want[r], cap)
		}
	}
	load := c.press.of(spec.Image, s.tail)
	for image, u := range use {
		load -= c.press.factor(pair{spec.Image, image}) * u
	}
	load = max(load, 0)
	room := c.press.limit(spec, aimShare) - load
	sum := 0.0
	weight := func(r *run) float64 {
		z := r.task.stage.spec
		return c.press.factor(pair{spec.Image, z.Image}) * z.share(w)
	}
	for _, r := range fills {
		sum += weight(r) * want[r] / fullPace
	}
	if sum <= room {
		return
	}
	order := append([]*run(nil), fills...)
	sort.Slice(order, func(i, k int) bool { return weight(order[i]) > weight(order[k]) })
	for _, r := range order {
		if sum <= room {
			return
		}
		full := weight(r)
		if full <= 0 {
			return
		}
		cut := min(sum-room, full*want[r]/fullPace)
		want[r] -= cut / full * fullPace
		sum -= cut
	}
}

// filling returns the worker's filling runs in a fixed order.
func (w *worker) filling() []*run {
	var fills []*run
	for _, r := range w.runs {
		if r.fills() && r.state == RunLive {
			fills = append(fills, r)
		}
	}
	sort.Slice(fills, func(i, k int) bool {
		if fills[i].began.Equal(fills[k].began) {
			return fills[i].runKey.task.String() < fills[k].runKey.task.String()
		}
		return fills[i].began.Before(fills[k].began)
	})
	return fills
}

// slack is the pressure that a worker's tightest serving task of an image can still bear, up
// to the limit for new tasks.
type slack struct {
	image string
	left  float64
}

// slacks returns the slack for each serving image of a worker; they are kept until a run
// comes, goes or is read anew.
func (c *Core) slacks(w *worker) []slack {
	if w.fresh {
		return w.slacks
	}
	w.slacks = w.slacks[:0]
	w.fresh = true
	for _, r := range w.runs {
		if r.serves() && r.state == RunLive {
			w.tighten(r.task.stage.spec.Image, c.bears(w, r))
		}
	}
	return w.slacks
}

func (w *worker) tighten(image string, left float64) {
	for i := range w.slacks {
		if s := &w.slacks[i]; s.image == image {
			s.left = min(s.left, left)
			return
		}
	}
	w.slacks = append(w.slacks, slack{image, left})
}

// bears returns the slack of one serving run.
func (c *Core) bears(w *worker, r *run) float64 {
	spec := r.task.stage.spec
	now := max(c.press.of(spec.Image, r.tail), c.press.own(spec.Image))
	for _, f := range w.runs {
		// What began after the reading isn't in it.
		if f.fills() && f.usage == 0 {
			now += c.press.factor(pair{spec.Image, f.task.stage.spec.Image}) * f.task.stage.spec.share(w)
		}
	}
	return c.press.limit(spec, placeShare) - now
}

// share returns the share of a worker's processors that a task of the step asks for.
func (s *Step) share(w *worker) float64 {
	return float64(s.Size.CPU) / float64(max(w.Size.CPU, 1))
}

// strain returns the slack that would be left on the serving image of a worker that a
// further filling task disturbs the most; below 0 it mustn't go there.
func (c *Core) strain(w *worker, s *Step) float64 {
	least := 1.0
	for _, k := range c.slacks(w) {
		least = min(least, k.left-c.press.factor(pair{k.image, s.Image})*s.share(w))
	}
	return least
}
