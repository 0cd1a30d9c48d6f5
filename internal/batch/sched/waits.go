package sched

import (
	"math"
	"time"
)

// Wait tells why tasks of a step have found no place for a while.
type Wait struct {
	Job     string
	Step    int
	Image   string
	Tasks   int // that wait
	Since   time.Duration
	Workers int // of the service
	Closed  int // of these, that take nothing at present
	Shut    int // where a serving task is over its target for long
	Full    int // without room for it
	Memory  int // of these, with the processors it asks for
	Harm    int // where they would disturb serving tasks too much
	// Least is the least harm among these: the expected number of serving tasks brought over their target.
	Least float64
}

// waitTold is after how long without a place a step is told of: one that is on time as a rule
// waits for less.
const waitTold = time.Second

// Waits returns the steps that have waited for long since the last call. Each is told again whenever its wait has
// doubled.
func (c *Core) Waits() []Wait {
	w := c.waits
	c.waits = nil
	return w
}

// noteUnplaced notes that a task of a step has found no place.
func (c *Core) noteUnplaced(now time.Time, s *stage) {
	if s.short.IsZero() {
		s.short = now
	}
	since := now.Sub(s.short)
	if s.spec.Fills && !s.spec.Lasting && s.rank.prospect <= prospectFresh && now.Sub(s.at) < timelyMost {
		c.timely[s.job.Service] = c.plans
	}
	if since < max(waitTold, 2*s.told) {
		return
	}
	s.told = since
	t := Wait{Job: s.job.ID, Step: s.idx, Image: s.spec.Image, Tasks: s.waiting, Since: since}
	least := math.Inf(1)
	for _, w := range c.ranks {
		if w.Service != s.job.Service {
			continue
		}
		t.Workers++
		_, fits := c.score(now, w, s)
		switch {
		case !w.open(now) || !w.labelled(s.spec.Label):
			t.Closed++
		case !w.spares(c.plans, s.spec):
			t.Full++
		case s.spec.Fills && w.share.shut:
			t.Shut++
		case fits:
		case s.spec.Fills && c.hasRoom(now, w, s):
			t.Harm++
			harm, _ := c.effect(now, w, s.spec)
			least = min(least, harm)
		default:
			t.Full++
			if free := w.free(); free.Mem < s.spec.Size.Mem && (s.spec.Fills || free.CPU >= s.spec.Size.CPU) {
				t.Memory++
			}
		}
	}
	if t.Harm > 0 {
		t.Least = least
	}
	c.waits = append(c.waits, t)
}
