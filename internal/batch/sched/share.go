package sched

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

// sharing is what is known of a worker on which tasks that fill run beside tasks that serve.
type sharing struct {
	last time.Time // of the last reading that was used
	busy time.Time // when a filling task was last at work
	shut bool      // a serving task is over its target for long: nothing more that fills
}

const (
	// paceError is the share of a filling task's size by which a reading of its use may be off.
	paceError = 0.2
	// readEvery is the least time between two readings that are used: each covers half a second.
	readEvery = 450 * time.Millisecond
	// overBegins and overEnds are the shares of a target above which a serving task counts as
	// over and below which it no longer does.
	overBegins = 0.9
	overEnds   = 0.75
	// oldest is how long ago at most the reading before counts.
	oldest = time.Second
	// reading is the time that a reading covers, and its way here.
	reading = 700 * time.Millisecond
)

// shared reports whether filling tasks run beside serving ones.
func (w *worker) shared() bool {
	return w.fill > 0 && w.lasting.CPU > 0
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
	c.touch(w)
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
			c.interference.Observe(c.seconds(now), c.loadOf(st), st.spec.Image, r.tail, st.spec.Target, use)
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

// overTarget reports whether a serving task of the worker counts as over its target.
func (w *worker) overTarget() bool {
	for _, r := range w.list {
		if !r.over.IsZero() && r.serves() {
			return true
		}
	}
	return false
}

// fillUse returns what each filling image uses on the worker.
func (w *worker) fillUse() interf.CPUUsage {
	var use interf.CPUUsage
	for _, r := range w.list {
		if r.fills() && r.state == RunLive && r.usage > 0 {
			use.Add(r.task.stage.spec.Image, r.usage/float64(max(w.Size.CPU, 1)))
		}
	}
	return use
}
