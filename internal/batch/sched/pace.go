package sched

import (
	"sort"
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

const (
	// fullPace is the pace of a task that is not slowed, in percent.
	fullPace = 100
	// unknownPace has a pace ordered anew.
	unknownPace = -1
	// serveWorth is how many seconds of a filling task a second of a serving one is worth. A job is as late as the last
	// of its tasks, so slowing one costs more than its own time.
	serveWorth = 1.5
	// paceAhead is until when, in seconds, a pace has to suit: it is set anew with the next poll.
	paceAhead = 1.0
	// paceStep is the most that a pace is raised at a time, in percent; it is lowered at once.
	paceStep = 25
	// overSoon and overLong are how long a serving task may be over its target before the
	// filling tasks beside it that disturb it at all are slowed and, then, all of them stand
	// still, whatever the model says.
	overSoon = 1700 * time.Millisecond
	overLong = 2 * time.Second
	soonPace = 20
	// disturbs is the pressure from which a filling task is slowed for a serving one that is
	// over its target: below, it would be slowed for the load's own peaks.
	disturbs = 0.03
)

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
	f := c.interference.Factors(s.task.stage.spec.Image)
	for i, r := range fills {
		z := r.task.stage.spec
		if most == 0 || f.Factor(z.Image)*z.share(w) > disturbs {
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
		f := c.interference.Factors(s.task.stage.spec.Image)
		above := c.peakLoad(now, s.task.stage, paceAhead) - interf.TargetPressure
		adds := make([]float64, len(fills))
		for i, r := range fills {
			z := r.task.stage.spec
			adds[i] = f.Factor(z.Image) * z.share(w)
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
		sum += serveWorth * (interf.OverTargetRisk(x) - interf.OverTargetRisk(x-part*b.adds[k][i]))
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
