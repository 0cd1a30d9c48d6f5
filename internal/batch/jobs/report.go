package jobs

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// HandleReport applies a rack's report, places waiting tasks on the rack's offer and returns
// the reply. allowed reports whether a kind of job may use the rack's failure domain.
//
// A report with an older epoch than the rack's last one comes from a former holder of the
// rack. What it says of tasks is out of date, so it is ignored.
func (c *Core) HandleReport(now time.Time, r RackReport, allowed func(kind string) bool) RackReply {
	if r.Ep < c.racks[r.Rack].epoch || !c.EpochCommitted() {
		return RackReply{}
	}
	c.racks[r.Rack] = rackStatus{r.Ep, r.Offer.Max, now}
	for _, p := range r.Finished {
		c.handleFinished(now, r.Rack, p)
	}
	for _, p := range r.Released {
		c.handleReleased(p)
	}
	for _, p := range r.Failed {
		c.handleFailed(now, r.Rack, p)
	}
	for p, savedWork := range r.Back {
		c.handleReturned(r.Rack, p, savedWork)
	}
	if r.Usable {
		c.placeTasks(r, allowed)
	}
	reply := RackReply{OK: true, Ep: c.epoch, Run: c.tasksFor(r.Rack), Ended: c.endedPlacements(r.Rack)}
	reply.Waiting, reply.Urgent = c.CountWaiting()
	c.acknowledge(r, &reply)
	return reply
}

// EpochCommitted reports whether the store holds a record written during this holding.
//
// Before that, the last write of a former holder may still be in flight and take effect
// after the record was read here. A reply based on that read would then name wrong
// placements. Once this holding has written the record, the former holder's write fails.
func (c *Core) EpochCommitted() bool { return c.committed.HolderEpoch == c.epoch }

// removePlacement removes a placement that is in force on the rack, and returns its job if
// that is open. Otherwise it returns nil: a report about a superseded placement or about an
// ended job has no further effect.
func (c *Core) removePlacement(rack string, p Placement) *Job {
	j := c.working.Jobs[p.Job]
	if j == nil || j.Place[p.Index] != (Assignment{rack, p.No}) {
		return nil
	}
	delete(j.Place, p.Index)
	c.dirty = true
	if j.State != StateOpen {
		return nil
	}
	return j
}

// handleFinished marks a task as finished if the placement is in force and its job is open.
// When a task was presumed lost and placed again, a late report that the first placement
// finished doesn't count, so the task never finishes twice.
func (c *Core) handleFinished(now time.Time, rack string, p Placement) {
	j := c.removePlacement(rack, p)
	if j == nil {
		return
	}
	j.Done.Set(uint(p.Index))
	j.Won[p.Index] = p.No
	delete(j.Kept, p.Index)
	if j.unfinished() == 0 {
		c.endJob(now, j, StateDone, "")
	}
}

// handleReleased forgets which placement finished a task: its worker has accepted the result,
// so the rack won't report the placement as finished again.
func (c *Core) handleReleased(p Placement) {
	if j := c.working.Jobs[p.Job]; j != nil && j.Won[p.Index] == p.No {
		delete(j.Won, p.Index)
		c.dirty = true
	}
}

// handleFailed counts a failure of a task, and parks the job when one task has failed
// maxTaskFailures times. A long-running job is never parked for failures.
func (c *Core) handleFailed(now time.Time, rack string, p Placement) {
	j := c.removePlacement(rack, p)
	if j == nil {
		return
	}
	j.Fails[p.Index]++
	if j.Fails[p.Index] >= maxTaskFailures && !j.Spec.Standing {
		c.endJob(now, j, StateParked, fmt.Sprintf("task %d failed %d times", p.Index, maxTaskFailures))
	}
}

// handleReturned makes a task wait again that its rack doesn't run, and records the work saved
// by checkpoints.
func (c *Core) handleReturned(rack string, p Placement, savedWork time.Duration) {
	if j := c.removePlacement(rack, p); j != nil && savedWork > j.Kept[p.Index] {
		j.Kept[p.Index] = savedWork
	}
}

// tasksFor returns the tasks that a rack is to run: those placed on it both in the committed
// and in the working copy, in order of placement number.
//
// So a task never runs on two racks: while it moves from one rack to another, neither is
// to run it until the store holds the new placement.
func (c *Core) tasksFor(rack string) []Task {
	var tasks []Task
	for id, j := range c.committed.Jobs {
		working := c.working.Jobs[id]
		if working == nil || j.State != StateOpen || working.State != StateOpen {
			continue
		}
		for i, assignment := range j.Place {
			if assignment.Rack == rack && working.Place[i] == assignment {
				tasks = append(tasks, Task{Placement{id, i, assignment.No}, j.Spec, j.Kept[i]})
			}
		}
	}
	slices.SortFunc(tasks, func(a, b Task) int { return cmp.Compare(a.Place.No, b.Place.No) })
	return tasks
}

// endedPlacements returns the placements that ended jobs still have on a rack.
func (c *Core) endedPlacements(rack string) []Placement {
	var placements []Placement
	for id, j := range c.working.Jobs {
		if j.State == StateOpen {
			continue
		}
		for i, assignment := range j.Place {
			if assignment.Rack == rack {
				placements = append(placements, Placement{id, i, assignment.No})
			}
		}
	}
	return placements
}

// acknowledge adds the reported placements whose outcome is committed to the reply. The
// rack reports the others again.
func (c *Core) acknowledge(r RackReport, reply *RackReply) {
	for _, p := range r.Finished {
		switch j := c.committed.Jobs[p.Job]; {
		case j != nil && j.Place[p.Index].No == p.No:
		case j != nil && j.Won[p.Index] == p.No:
			reply.Counts = append(reply.Counts, p)
		default:
			reply.Recorded = append(reply.Recorded, p)
		}
	}
	acknowledgeRemoved := func(p Placement) {
		if j := c.committed.Jobs[p.Job]; j == nil || j.Place[p.Index].No != p.No {
			reply.Recorded = append(reply.Recorded, p)
		}
	}
	for _, p := range r.Failed {
		acknowledgeRemoved(p)
	}
	for p := range r.Back {
		acknowledgeRemoved(p)
	}
	for _, p := range r.Released {
		if j := c.committed.Jobs[p.Job]; j == nil || j.Won[p.Index] != p.No {
			reply.Recorded = append(reply.Recorded, p)
		}
	}
}
