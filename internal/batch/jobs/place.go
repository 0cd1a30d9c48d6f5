package jobs

import (
	"cmp"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// urgentPrecedence is the precedence of urgent jobs; only long-running jobs precede them.
const urgentPrecedence = 1

// Precedence returns the position of a job in the order of placement, 0 to 3: long-running
// jobs come first, then urgent, normal and low ones.
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

// placeTasks places waiting tasks on the rack's offer, in order of precedence, then of age.
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

// remainingOffer returns the rack's offer, reduced by placements on it that it hasn't received.
//
// A rack may repeat an offer before the store holds the placements made on the last one.
// Without the reduction the same resources would be used twice, and the excess tasks would
// wait on this rack while others have free resources.
func (c *Core) remainingOffer(r RackReport) []wire.Size {
	free := slices.Clone(r.Offer.Free)
	type unseen struct {
		no   uint64
		size wire.Size
	}
	var unseenPlacements []unseen
	for _, j := range c.working.Jobs {
		if j.State != StateOpen {
			continue
		}
		for _, assignment := range j.Place {
			if assignment.Rack == r.Rack && assignment.No > r.Heard {
				unseenPlacements = append(unseenPlacements, unseen{assignment.No, j.Spec.Size})
			}
		}
	}
	slices.SortFunc(unseenPlacements, func(a, b unseen) int { return cmp.Compare(a.no, b.no) })
	for _, u := range unseenPlacements {
		allocateFirstFit(free, u.size)
	}
	return free
}

// waitingJobs returns the open jobs with unplaced tasks, in the order in which they are placed.
func (c *Core) waitingJobs() []*Job {
	var waiting []*Job
	for _, j := range c.working.Jobs {
		if j.State == StateOpen && len(j.Place)+int(j.Done.Count()) < j.Spec.N {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.Spec.Precedence(), b.Spec.Precedence()), a.Since.Compare(b.Since), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return waiting
}

// CountWaiting returns the number of tasks that have no rack yet, and the number of those
// that are long-running or urgent.
func (c *Core) CountWaiting() (tasks, urgent int) {
	for _, j := range c.waitingJobs() {
		waiting := j.Spec.N - len(j.Place) - int(j.Done.Count())
		tasks += waiting
		if j.Spec.Precedence() <= urgentPrecedence {
			urgent += waiting
		}
	}
	return tasks, urgent
}

// countFitting returns how many tasks of a job fit into the free resources of the workers.
func (c *Core) countFitting(free []wire.Size, s Spec) int {
	n := 0
	for _, remaining := range free {
		for remaining.Covers(s.Size) && n < s.N {
			remaining = remaining.Minus(s.Size)
			n++
		}
	}
	return n
}

// allocateFirstFit subtracts a size from the first worker's free resources that cover it.
func allocateFirstFit(free []wire.Size, size wire.Size) {
	for i := range free {
		if free[i].Covers(size) {
			free[i] = free[i].Minus(size)
			return
		}
	}
}

// maxReportAge is how old a rack's last report may be before the rack counts as silent. No job
// is parked as infeasible while a rack is silent.
const maxReportAge = 5 * time.Second

// ParkAndExpire parks jobs that fit on no worker of any rack they may use, and removes jobs
// that ended more than endedRetention ago. racks are the names of all racks; allowed reports
// whether a kind of job may use a rack. No job is parked while a rack is silent, as it may
// have a worker that is large enough.
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

// feasible reports whether a rack that the job may use has a worker large enough for its tasks.
func (c *Core) feasible(j *Job, racks []string, allowed func(kind, rack string) bool) bool {
	return slices.ContainsFunc(racks, func(r string) bool {
		return allowed(j.Spec.Kind, r) && c.racks[r].largestWorker.Covers(j.Spec.Size)
	})
}
