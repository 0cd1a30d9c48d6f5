package sched

import (
	"slices"
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
	// serveWorth is how many seconds of a filling task a second of a serving one is worth to
	// the users: four sixths of a job's 0.35 in 2 s for one over its target, against 1.2 to
	// 1.5 for some 30 s of tasks.
	serveWorth = 3
	// mostHarm is how many serving tasks a filling task may bring over their target.
	mostHarm = 0.3
	// pressureSpread is how far a serving task's pressure may be from what is expected.
	pressureSpread = 0.1
	// paceAhead is until when, in seconds, a pace has to suit: it is set anew with the next
	// look. placeAhead is the same of a place, where a filling task stays for some 2 s.
	paceAhead  = 1.0
	placeAhead = 2.0
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
	// disturbs is the pressure from which a filling task is slowed for a serving one that is
	// over its target: below, it would be slowed for the load's own peaks.
	disturbs = 0.03
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
	for _, r := range w.list {
		if !r.serves() || r.state != RunLive {
			continue
		}
		if st := r.task.stage; r.ready {
			c.press.learn(seconds(now), c.course(st), st.spec, r.tail, use)
		}
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
	for _, r := range w.list {
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
	for _, r := range w.list {
		if !r.over.IsZero() && r.serves() {
			return true
		}
	}
	return false
}

// usage is the share of a worker's processors that a filling image uses there.
type usage struct {
	image string
	share float64
}

// fillUse returns what each filling image uses on the worker.
func (w *worker) fillUse() []usage {
	var use []usage
	for _, r := range w.list {
		if !r.fills() || r.state != RunLive || r.usage <= 0 {
			continue
		}
		image, share := r.task.stage.spec.Image, r.usage/float64(max(w.Size.CPU, 1))
		if i := slices.IndexFunc(use, func(u usage) bool { return u.image == image }); i >= 0 {
			use[i].share += share
		} else {
			use = append(use, usage{image, share})
		}
	}
	return use
}

// course returns the load of a serving step.
func (c *Core) course(s *stage) *course {
	if s.course == nil {
		s.course = newCourse(seconds(s.at))
	}
	return s.course
}

// peak returns the most load expected of a serving step within some seconds.
func (c *Core) peak(now time.Time, s *stage, ahead float64) float64 {
	k, at := c.course(s), seconds(now)
	most := 0.0
	for _, x := range []float64{0, ahead / 2, ahead} {
		most = max(most, k.load(at+x, c.press.period))
	}
	return most
}

// pace sets the paces of a worker's filling tasks: those that are worth most to the users, and,
// whatever the model says, lower ones beside a serving task that has been over its target.
func (c *Core) pace(now time.Time, w *worker) {
	fills := w.filling()
	if len(fills) == 0 {
		return
	}
	b := c.weigh(now, w, fills)
	b.slow()
	for _, s := range w.list {
		if s.serves() && s.state == RunLive && !s.over.IsZero() {
			c.hold(now, w, s, fills, b.paces)
		}
	}
	for i, r := range fills {
		r.want = min(b.paces[i], r.want+paceStep)
		switch {
		case r.want >= movePace:
			r.slowed = time.Time{}
		case r.slowed.IsZero():
			r.slowed = now
		}
	}
}

// hold bounds the paces beside a serving task that has been over its target.
func (c *Core) hold(now time.Time, w *worker, s *run, fills []*run, paces []int) {
	most := fullPace
	switch d := now.Sub(s.over); {
	case d >= overLong:
		most = 0
	case d >= overSoon:
		most = soonPace
	}
	f := c.press.of(s.task.stage.spec.Image)
	for i, r := range fills {
		z := r.task.stage.spec
		if most == 0 || f.of(z.Image)*z.share(w) > disturbs {
			paces[i] = min(paces[i], most)
		}
	}
}

// balance weighs the paces of a worker's filling tasks against the pressure on its serving ones.
type balance struct {
	paces []int       // of each filling task, percent
	adds  [][]float64 // pressure on each serving task by each filling one at full pace
	above []float64   // of each serving task: pressure with these paces less the one at its target
}

// weigh returns the balance of a worker with all paces full.
func (c *Core) weigh(now time.Time, w *worker, fills []*run) *balance {
	b := &balance{paces: make([]int, len(fills))}
	for i := range b.paces {
		b.paces[i] = fullPace
	}
	for _, s := range w.list {
		if !s.serves() || s.state != RunLive {
			continue
		}
		f := c.press.of(s.task.stage.spec.Image)
		above := c.peak(now, s.task.stage, paceAhead) - limit(1)
		adds := make([]float64, len(fills))
		for i, r := range fills {
			z := r.task.stage.spec
			adds[i] = f.of(z.Image) * z.share(w)
			above += adds[i]
		}
		b.adds = append(b.adds, adds)
		b.above = append(b.above, above)
	}
	return b
}

// slow lowers the pace whose lowering gains most, until none gains.
func (b *balance) slow() {
	for {
		best, to, most := -1, 0, 0.0
		for i, pace := range b.paces {
			for p := 0; p < pace; p += paceStep {
				if g := b.gain(i, p); g > most {
					best, to, most = i, p, g
				}
			}
		}
		if best < 0 {
			return
		}
		for k := range b.above {
			b.above[k] += b.adds[k][best] * float64(to-b.paces[best]) / fullPace
		}
		b.paces[best] = to
	}
}

// gain returns what lowering a filling task's pace gains, in seconds of filling tasks.
func (b *balance) gain(i, pace int) float64 {
	part := float64(b.paces[i]-pace) / fullPace
	sum := -part
	for k, x := range b.above {
		sum += serveWorth * (over(x) - over(x-part*b.adds[k][i]))
	}
	return sum
}

// filling returns the worker's filling runs in a fixed order.
func (w *worker) filling() []*run {
	var fills []*run
	for _, r := range w.list {
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

// strain is the pressure on a serving run of a worker.
type strain struct {
	factors *factors
	above   float64 // pressure less the one at its target
}

// outlook is what placing looks at on a worker; it is kept until a run comes, goes or is
// read anew, or the loads have moved, as every waiting step asks for it.
type outlook struct {
	fresh   bool
	at      time.Time
	left    int // millicores likely to be unused
	strains []strain
}

// outlookAge is how long an outlook is kept. A load that swings within 10 s by half moves by
// 0.03 meanwhile, half of a reading's noise.
const outlookAge = 200 * time.Millisecond

func (c *Core) look(now time.Time, w *worker) *outlook {
	o := &w.outlook
	if o.fresh && now.Sub(o.at) < outlookAge {
		return o
	}
	o.fresh, o.at = true, now
	o.strains = o.strains[:0]
	fill := 0
	for _, r := range w.list {
		if r.fills() {
			fill += r.task.stage.spec.Size.CPU * r.want / fullPace
		}
		if r.serves() && r.state == RunLive {
			o.strains = append(o.strains, strain{c.press.of(r.task.stage.spec.Image), c.bears(now, w, r) - limit(1)})
		}
	}
	o.left = w.Size.CPU - int(baseLoad*float64(w.base)) - (w.used.CPU - w.base) - fill
	return o
}

// bears returns the pressure expected on a serving run while a task placed now would run.
func (c *Core) bears(now time.Time, w *worker, r *run) float64 {
	f := c.press.of(r.task.stage.spec.Image)
	sum := c.peak(now, r.task.stage, placeAhead)
	for _, o := range w.list {
		if o.fills() {
			z := o.task.stage.spec
			sum += f.of(z.Image) * z.share(w) * float64(o.want) / fullPace
		}
	}
	return sum
}

// share returns the share of a worker's processors that a task of the step asks for.
func (s *Step) share(w *worker) float64 {
	return float64(s.Size.CPU) / float64(max(w.Size.CPU, 1))
}

// harm returns how many serving runs of a worker a further filling task would bring over
// their target, in expectation.
func (c *Core) harm(now time.Time, w *worker, s *Step) float64 {
	sum := 0.0
	share := s.share(w)
	for _, k := range c.look(now, w).strains {
		sum += over(k.above+k.factors.of(s.Image)*share) - over(k.above)
	}
	return sum
}

// advantage is how much less a filling image disturbs the worker's serving tasks than filling
// images do on average. Placing by it leaves the workers on which nothing serves, and those
// whose serving tasks bear more, to the images that have no other place.
func (c *Core) advantage(now time.Time, w *worker, s *Step) float64 {
	sum := 0.0
	for _, k := range c.look(now, w).strains {
		sum += k.factors.mean() - k.factors.of(s.Image)
	}
	return sum * s.share(w)
}

// over returns the chance that a serving run is over its target whose pressure is expected to
// be x above it. It goes on rising above 1: what is far over takes longer to come back.
func over(x float64) float64 {
	return max(0, 0.5+x/(2*pressureSpread))
}
