package jobs

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// HandleReport takes in a rack's report. allowed says whether a kind of job may use the rack's
// failure domain.
//
// A report of an older epoch is a former holder's: what it says of tasks isn't true
// any more and nothing is answered.
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
	for p, kept := range r.Back {
		c.handleReturned(r.Rack, p, kept)
	}
	if r.Usable {
		c.placeTasks(r, allowed)
	}
	a := RackReply{OK: true, Run: c.tasksFor(r.Rack), Ended: c.endedPlacements(r.Rack)}
	a.Waiting, a.Urgent = c.CountWaiting()
	c.acknowledge(r, &a)
	return a
}

// EpochCommitted reports whether this holding has written the record.
//
// It guards against a former holder's last write that is still on its way: it may take
// effect after the record was read here, and what was told from that reading, such as
// a task's place, would be wrong. After this holding's own write it can't.
func (c *Core) EpochCommitted() bool { return c.committed.HolderEpoch == c.epoch }

// removePlacement ends a placement that is in force on the rack and returns its job while that
// is open, or nil. What is said of any other placement, or after its job has ended,
// changes nothing more.
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

// handleFinished notes a task's end. Only the placement in force counts, once: a task that
// was given up for lost, placed again and then turns out to have handleFinished first
// doesn't finish twice. One that ends after its job was cancelled changes nothing.
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

// handleReleased forgets which placement finished a task, as nobody will ask again.
func (c *Core) handleReleased(p Placement) {
	if j := c.working.Jobs[p.Job]; j != nil && j.Won[p.Index] == p.No {
		delete(j.Won, p.Index)
		c.dirty = true
	}
}

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

func (c *Core) handleReturned(rack string, p Placement, kept time.Duration) {
	if j := c.removePlacement(rack, p); j != nil && kept > j.Kept[p.Index] {
		j.Kept[p.Index] = kept
	}
}

// tasksFor returns the tasks that a rack is to run: those that it has both in the store
// and in the working copy.
//
// It guards against a task in two places: a task on its way from one rack to another
// is named to neither until the store holds its new place.
func (c *Core) tasksFor(rack string) []Task {
	var out []Task
	for id, j := range c.committed.Jobs {
		w := c.working.Jobs[id]
		if w == nil || j.State != StateOpen || w.State != StateOpen {
			continue
		}
		for i, at := range j.Place {
			if at.Rack == rack && w.Place[i] == at {
				out = append(out, Task{Placement{id, i, at.No}, j.Spec, j.Kept[i]})
			}
		}
	}
	slices.SortFunc(out, func(a, b Task) int { return cmp.Compare(a.Place.No, b.Place.No) })
	return out
}

// endedPlacements lists the placements on a rack that jobs which have endedPlacements still have.
func (c *Core) endedPlacements(rack string) []Placement {
	var out []Placement
	for id, j := range c.working.Jobs {
		if j.State == StateOpen {
			continue
		}
		for i, at := range j.Place {
			if at.Rack == rack {
				out = append(out, Placement{id, i, at.No})
			}
		}
	}
	return out
}

// acknowledge tells which of the reported placements the store has settled.
func (c *Core) acknowledge(r RackReport, a *RackReply) {
	for _, p := range r.Finished {
		switch j := c.committed.Jobs[p.Job]; {
		case j != nil && j.Place[p.Index].No == p.No:
		case j != nil && j.Won[p.Index] == p.No:
			a.Counts = append(a.Counts, p)
		default:
			a.Recorded = append(a.Recorded, p)
		}
	}
	settled := func(p Placement) {
		if j := c.committed.Jobs[p.Job]; j == nil || j.Place[p.Index].No != p.No {
			a.Recorded = append(a.Recorded, p)
		}
	}
	for _, p := range r.Failed {
		settled(p)
	}
	for p := range r.Back {
		settled(p)
	}
	for _, p := range r.Released {
		if j := c.committed.Jobs[p.Job]; j == nil || j.Won[p.Index] != p.No {
			a.Recorded = append(a.Recorded, p)
		}
	}
}
