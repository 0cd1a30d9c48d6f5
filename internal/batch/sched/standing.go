package sched

import "time"

// Standing is what a holder has and knows, for its logs and metrics.
type Standing struct {
	Good    int           // workers whose last poll was answered
	Lost    int           // workers whose last poll wasn't
	Unheard int           // workers that this holder hasn't heard from
	Held    int           // tasks held back because a worker that isn't reached may run them
	Left    time.Duration // for which they are held back at most
	Age     time.Duration // since this process was last confirmed as the holder
	Roster  time.Duration // by which the reading of the directory that is held is older than the store's last word to this holder
	Intent  time.Duration // likewise of what operators have written
	Open    int           // starts under way
	Window  int           // starts that may be
	Waiting int           // steps with tasks that have found no place
	Longest time.Duration // since when one of these waits
}

// unseen returns how many tasks wait of which this holder has seen no run.
func (s *stage) unseen() int {
	n := 0
	for _, t := range s.tasks {
		if !t.done && t.run == nil && !t.seen {
			n++
		}
	}
	return n
}

// Standing returns the state at a time.
func (c *Core) Standing(now time.Time) Standing {
	s := Standing{Age: c.age(now), Open: len(c.flow.under), Window: c.flow.window}
	s.Roster, s.Intent = c.readAges()
	for _, w := range c.ranks {
		switch w.contact {
		case ContactGood:
			s.Good++
		case ContactLost:
			s.Lost++
		default:
			s.Unheard++
		}
	}
	for _, st := range c.waiting.all() {
		if st.waiting > 0 && !st.short.IsZero() && !st.job.state.Final() {
			s.Waiting++
			s.Longest = max(s.Longest, now.Sub(st.short))
		}
	}
	if !c.inDoubt(now) {
		return s
	}
	s.Left = c.clear().Sub(now)
	for _, st := range c.waiting.all() {
		if st.job.restored && !st.job.state.Final() {
			s.Held += st.unseen()
		}
	}
	return s
}
