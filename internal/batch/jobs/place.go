package jobs

import (
	"cmp"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// urgentPrecedence is the order of urgent jobs; standing ones go before.
const urgentPrecedence = 1

// Precedence ranks jobs: standing first, then by rank.
func (s Spec) Precedence() int {
	switch {
	case s.Standing:
		return 0
	case s.Rank == RankUrgent:
		return urgentPrecedence
	case s.Rank == RankLow:
		return 3
	}
	return 2
}

// placeTasks assigns waiting tasks to what the rack offers, in order of rank, then age.
func (c *Core) placeTasks(r RackReport, allowed func(string) bool) {
	waiting := c.waitingJobs()
	if len(r.Offer.Free) == 0 || len(waiting) == 0 {
		return
	}
	free := c.remainingOffer(r)
	for _, j := range waiting {
		if !allowed(j.Spec.Kind) {
			continue
		}
		for _, i := range j.unplaced(c.countFitting(free, j.Spec)) {
			allocateFirstFit(free, j.Spec.Size)
			c.working.LastPlacement++
			j.Place[i] = Assignment{r.Rack, c.working.LastPlacement}
			j.Next = max(j.Next, i+1)
			c.dirty = true
		}
	}
}

// remainingOffer returns what the rack offers less what it was given and hasn't heard of.
//
// It guards against room that is used twice: a rack offers again before the store holds
// what its last offer was used for, and the tasks above its room would wait there while
// other racks are free.
func (c *Core) remainingOffer(r RackReport) []wire.Size {
	free := slices.Clone(r.Offer.Free)
	type given struct {
		no   uint64
		size wire.Size
	}
	var list []given
	for _, j := range c.working.Jobs {
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
		allocateFirstFit(free, g.size)
	}
	return free
}

// waitingJobs returns the jobs with tasks to place, in the order in which they go.
func (c *Core) waitingJobs() []*Job {
	var list []*Job
	for _, j := range c.working.Jobs {
		if j.State == StateOpen && len(j.Place)+int(j.Done.Count()) < j.Spec.N {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.Spec.Precedence(), b.Spec.Precedence()), a.Since.Compare(b.Since), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return list
}

// CountWaiting returns how many tasks have no rack yet, and how many of them are standing or urgent.
func (c *Core) CountWaiting() (tasks, urgent int) {
	for _, j := range c.waitingJobs() {
		n := j.Spec.N - len(j.Place) - int(j.Done.Count())
		tasks += n
		if j.Spec.Precedence() <= urgentPrecedence {
			urgent += n
		}
	}
	return tasks, urgent
}

// countFitting returns how many tasks of the job countFitting into what is free.
func (c *Core) countFitting(free []wire.Size, s Spec) int {
	n := 0
	for _, f := range free {
		for f.Covers(s.Size) && n < s.N {
			f = f.Minus(s.Size)
			n++
		}
	}
	return n
}

func allocateFirstFit(free []wire.Size, s wire.Size) {
	for i := range free {
		if free[i].Covers(s) {
			free[i] = free[i].Minus(s)
			return
		}
	}
}

// maxReportAge is how recent a rack's word must be to count when a job is parked.
const maxReportAge = 5 * time.Second

// ParkAndExpire parks the jobs that no rack could ever run, and drops finished jobs after
// their time. zones maps each rack that exists to whether a kind may use it; nothing
// is parked while one of them is silent.
func (c *Core) ParkAndExpire(now time.Time, racks []string, allowed func(kind, rack string) bool) {
	silent := slices.ContainsFunc(racks, func(r string) bool {
		return now.Sub(c.racks[r].reportedAt) > maxReportAge
	})
	for id, j := range c.working.Jobs {
		switch {
		case j.State != StateOpen && now.Sub(j.Since) > endedRetention && len(j.Place) == 0:
			delete(c.working.Jobs, id)
			c.dirty = true
		case j.State == StateOpen && !silent && len(racks) > 0 && len(j.Place) == 0 && !c.feasible(j, racks, allowed):
			c.endJob(now, j, StateParked, "no worker in its failure domains is large enough")
		}
	}
}

func (c *Core) feasible(j *Job, racks []string, allowed func(kind, rack string) bool) bool {
	return slices.ContainsFunc(racks, func(r string) bool {
		return allowed(j.Spec.Kind, r) && c.racks[r].largestWorker.Covers(j.Spec.Size)
	})
}
