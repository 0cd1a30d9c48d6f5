package sched

import (
	"sort"
	"time"
)

// sharing is what is known of a worker on which tasks that fill run beside tasks that serve.
type sharing struct {
	last time.Time // of the last reading that was used
	busy time.Time // when a filling task was last at work
	shut bool      // a serving task is over its target for long: nothing more that fills
}

const (
	fullPace = 100
	// unknownPace has a pace ordered anew.
	unknownPace = -1
	// paceError is the share of a filling task's size by which a reading of its use may be off.
	paceError = 0.2
	// aimShare is the share of a serving task's target at which filling tasks are held:
	// readings are rough and half a second old.
	aimShare = 0.9
	// mostHarm is how many serving tasks a filling task may bring over their target. A second
	// of a serving task is worth some three seconds of a filling one to the users.
	mostHarm = 0.15
	// loadSwing is how far a serving task's pressure may be from what is expected while a
	// filling task runs.
	loadSwing = 0.15
	// paceStep is the most that a pace is raised at a time, in percent; it is lowered at once.
	paceStep = 25
	// readEvery is the least time between two readings that are used: each covers half a second.
	readEvery = 450 * time.Millisecond
	// overSoon and overLong are how long a serving task may be over its target before the
	// filling tasks beside it that disturb it at all are slowed and, then, all of them stand
	// still, whatever the model says.
	overSoon = 1700 * time.Millisecond
	overLong = 2 * time.Second
	soonPace = 20
	// overBegins and overEnds are the shares of a target above which a serving task counts as
	// over and below which it no longer does.
	overBegins = 0.9
	overEnds   = 0.75
	// oldest is how long ago at most the reading before counts.
	oldest = time.Second
	// reading is the time that a reading covers, and its way here.
	reading = 700 * time.Millisecond
	// disturbs is the pressure from which slowing a filling task helps a serving one: below,
	// it would be slowed for the load's own peaks.
	disturbs = 0.03
	// loadShare is the weight of a new reading in a serving task's own load, which swings
	// within some ten seconds; a reading's error is about as large as the swing of a second.
	loadShare = 0.5
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
	if now.Sub(w.share.last) < readEvery {
		return
	}
	before := w.share.last
	w.share.last = now
	w.outlook.fresh = false
	use := w.fillUse()
	if w.filled() {
		w.share.busy = now
	}
	w.share.shut = false
	for _, r := range w.runs {
		if !r.serves() || r.state != RunLive {
			continue
		}
		s := r.task.stage.spec
		if r.ready {
			c.press.learn(s, r.tail, use)
		}
		load := max(0, c.press.of(s.Image, r.tail)-c.press.sum(s.Image, use))
		r.load += loadShare * (load - r.load)
		r.clock(now, later(before, now.Add(-oldest)), w.share.busy)
		if !r.over.IsZero() && now.Sub(r.over) >= overSoon {
			w.share.shut = true
		}
	}
	c.pace(now, w)
}

// clock keeps since when a serving run has been over its target with filling tasks at work
// beside it. It may have begun right after the reading before, at before: a clock that began
// with the reading that shows it stopped the filling tasks up to a second late. Readings are
// rough: one below the target amid others above doesn't end it.
func (r *run) clock(now, before, busy time.Time) {
	target := float64(r.task.stage.spec.Target)
	switch tail := float64(r.tail); {
	case tail < overEnds*target:
		r.over = time.Time{}
	case r.over.IsZero() && tail < overBegins*target:
	case now.Sub(busy) > reading:
		// With nothing that fills at work, it is over by its own load.
		r.over = now
	case r.over.IsZero():
		r.over = before
	}
}

// filled reports whether a filling task is at work on the worker.
func (w *worker) filled() bool {
	for _, r := range w.runs {
		if r.fills() && (r.pace > 0 || r.state != RunLive) {
			return true
		}
	}
	return false
}

// outpaced reports whether a filling run uses more than its pace allows. An earlier order for
// its pace that wasn't answered may have been carried out after the newest.
func (r *run) outpaced(now time.Time) bool {
	if !r.fills() || r.pace == unknownPace || now.Sub(r.paced) < 2*reading {
		return false
	}
	size := float64(r.task.stage.spec.Size.CPU)
	return r.usage > size*(float64(r.pace)/fullPace+paceError)
}

// strained reports whether a serving task of the worker counts as over its target.
func (w *worker) strained() bool {
	for _, r := range w.runs {
		if !r.over.IsZero() && r.serves() {
			return true
		}
	}
	return false
}

// fillUse returns the share of the worker's processors that each filling image uses.
func (w *worker) fillUse() map[string]float64 {
	use := map[string]float64{}
	for _, r := range w.runs {
		if r.fills() && r.state == RunLive && r.usage > 0 {
			use[r.task.stage.spec.Image] += r.usage / float64(max(w.Size.CPU, 1))
		}
	}
	return use
}

// pace sets the paces at which the filling tasks of a worker leave every serving task below
// its target. It starts from full and slows those that disturb the most.
func (c *Core) pace(now time.Time, w *worker) {
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
		c.paceFor(now, w, s, fills, want)
	}
	for _, r := range fills {
		p := int(want[r])
		r.want = min(p, r.want+paceStep)
	}
}

// paceFor lowers the paces in want as far as the serving task s needs.
func (c *Core) paceFor(now time.Time, w *worker, s *run, fills []*run, want map[*run]float64) {
	spec := s.task.stage.spec
	weight := func(r *run) float64 {
		z := r.task.stage.spec
		return c.press.factor(pair{spec.Image, z.Image}) * z.share(w)
	}
	if !s.over.IsZero() {
		most := float64(fullPace)
		switch d := now.Sub(s.over); {
		case d >= overLong:
			most = 0
		case d >= overSoon:
			most = soonPace
		}
		for _, r := range fills {
			if most == 0 || weight(r) > disturbs {
				want[r] = min(want[r], most)
			}
		}
	}
	room := c.press.limit(spec, aimShare) - s.load
	sum := 0.0
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
		if full < disturbs {
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

// strain is the pressure on a serving run of a worker and the pressure that is its target.
type strain struct {
	image     string
	now, most float64
	mean      float64 // factor of the filling images known, on average
}

// outlook is what placing looks at on a worker; it is kept until a run comes, goes or is
// read anew, as every waiting step asks for it.
type outlook struct {
	fresh   bool
	left    int // millicores likely to be unused
	strains []strain
}

func (c *Core) look(w *worker) *outlook {
	o := &w.outlook
	if o.fresh {
		return o
	}
	o.fresh = true
	o.strains = o.strains[:0]
	fill := 0
	for _, r := range w.runs {
		if r.fills() {
			fill += r.task.stage.spec.Size.CPU * r.want / fullPace
		}
		if r.serves() && r.state == RunLive {
			spec := r.task.stage.spec
			o.strains = append(o.strains, strain{spec.Image, c.bears(w, r), c.press.limit(spec, 1), c.press.mean(spec.Image)})
		}
	}
	o.left = w.Size.CPU - int(baseLoad*float64(w.base)) - (w.used.CPU - w.base) - fill
	return o
}

// bears returns the pressure on a serving run.
func (c *Core) bears(w *worker, r *run) float64 {
	image := r.task.stage.spec.Image
	now := r.load
	if r.tail == 0 {
		now = c.press.own(image)
	}
	for _, f := range w.runs {
		if f.fills() {
			z := f.task.stage.spec
			now += c.press.factor(pair{image, z.Image}) * z.share(w) * float64(f.want) / fullPace
		}
	}
	return now
}

// share returns the share of a worker's processors that a task of the step asks for.
func (s *Step) share(w *worker) float64 {
	return float64(s.Size.CPU) / float64(max(w.Size.CPU, 1))
}

// harm returns how many serving runs of a worker a further filling task would bring over
// their target, in expectation.
func (c *Core) harm(w *worker, s *Step) float64 {
	sum := 0.0
	share := s.share(w)
	for _, k := range c.look(w).strains {
		add := c.press.factor(pair{k.image, s.Image}) * share
		sum += over(k.now+add-k.most) - over(k.now-k.most)
	}
	return sum
}

// advantage is how much less a filling image disturbs the worker's serving tasks than filling
// images do on average. Placing by it leaves the workers on which nothing serves, and those
// whose serving tasks bear more, to the images that have no other place.
func (c *Core) advantage(w *worker, s *Step) float64 {
	sum := 0.0
	for _, k := range c.look(w).strains {
		sum += k.mean - c.press.factor(pair{k.image, s.Image})
	}
	return sum * s.share(w)
}

// over returns the chance that a serving run is over its target whose pressure is expected to
// be x above it. It goes on rising above 1: what is far over takes longer to come back.
func over(x float64) float64 {
	return max(0, 0.5+x/(2*loadSwing))
}
