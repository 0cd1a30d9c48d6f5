package jobs

import (
	"cmp"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// urgentOrder is the order of urgent jobs; standing ones go before.
const urgentOrder = 1

// Order ranks jobs: standing first, then by rank.
func (s Spec) Order() int {
	switch {
	case s.Standing:
		return 0
	case s.Rank == RankUrgent:
		return urgentOrder
	case s.Rank == RankLow:
		return 3
	}
	return 2
}

// place assigns waiting tasks to what the rack offers, in order of rank, then age.
func (c *Core) place(r Report, allowed func(string) bool) {
	waiting := c.waiting()
	if len(r.Offer.Free) == 0 || len(waiting) == 0 {
		return
	}
	free := c.left(r)
	for _, j := range waiting {
		if !allowed(j.Spec.Kind) {
			continue
		}
		for _, i := range j.open(c.fit(free, j.Spec)) {
			take(free, j.Spec.Size)
			c.work.No++
			j.Place[i] = At{r.Rack, c.work.No}
			j.Next = max(j.Next, i+1)
			c.dirty = true
		}
	}
}

// left returns what the rack offers less what it was given and hasn't heard of.
//
// It guards against room that is used twice: a rack offers again before the store holds
// what its last offer was used for, and the tasks above its room would wait there while
// other racks are free.
func (c *Core) left(r Report) []wire.Size {
	free := slices.Clone(r.Offer.Free)
	type given struct {
		no   uint64
		size wire.Size
	}
	var list []given
	for _, j := range c.work.Jobs {
		if j.State != StateOpen {
			continue
		}
		for _, at := range j.Place {
			if at.Rack == r.Rack && at.No > r.Heard {
				list = append(list, given{at.No, j.Spec.Size})
			}
		}
	}
	slices.SortFunc(list, func(a, b given) int { return cmp.Compare(a.no, b.no) })
	for _, g := range list {
		take(free, g.size)
	}
	return free
}

// waiting returns the jobs with tasks to place, in the order in which they go.
func (c *Core) waiting() []*Job {
	var list []*Job
	for _, j := range c.work.Jobs {
		if j.State == StateOpen && len(j.Place)+int(j.Done.Count()) < j.Spec.N {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.Spec.Order(), b.Spec.Order()), a.Since.Compare(b.Since), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return list
}

// Waiting returns how many tasks have no rack yet, and how many of them are standing or urgent.
func (c *Core) Waiting() (tasks, urgent int) {
	for _, j := range c.waiting() {
		n := j.Spec.N - len(j.Place) - int(j.Done.Count())
		tasks += n
		if j.Spec.Order() <= urgentOrder {
			urgent += n
		}
	}
	return tasks, urgent
}

// fit returns how many tasks of the job fit into what is free.
func (c *Core) fit(free []wire.Size, s Spec) int {
	n := 0
	for _, f := range free {
		for f.Covers(s.Size) && n < s.N {
			f = f.Minus(s.Size)
			n++
		}
	}
	return n
}

func take(free []wire.Size, s wire.Size) {
	for i := range free {
		if free[i].Covers(s) {
			free[i] = free[i].Minus(s)
			return
		}
	}
}

// rackFresh is how recent a rack's word must be to count when a job is parked.
const rackFresh = 5 * time.Second

// Review parks the jobs that no rack could ever run, and drops finished jobs after
// their time. zones maps each rack that exists to whether a kind may use it; nothing
// is parked while one of them is silent.
func (c *Core) Review(now time.Time, racks []string, allowed func(kind, rack string) bool) {
	silent := slices.ContainsFunc(racks, func(r string) bool {
		return now.Sub(c.racks[r].at) > rackFresh
	})
	for id, j := range c.work.Jobs {
		switch {
		case j.State != StateOpen && now.Sub(j.Since) > keepFinal && len(j.Place) == 0:
			delete(c.work.Jobs, id)
			c.dirty = true
		case j.State == StateOpen && !silent && len(racks) > 0 && len(j.Place) == 0 && !c.possible(j, racks, allowed):
			c.end(now, j, StateParked, "no worker in its failure domains is large enough")
		}
	}
}

func (c *Core) possible(j *Job, racks []string, allowed func(kind, rack string) bool) bool {
	return slices.ContainsFunc(racks, func(r string) bool {
		return allowed(j.Spec.Kind, r) && c.racks[r].max.Covers(j.Spec.Size)
	})
}
