package jobs

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Hear takes in a rack's report. allowed says whether a kind of job may use the rack's
// failure domain.
//
// A report of an older epoch is a former holder's: what it says of tasks isn't true
// any more and nothing is answered.
func (c *Core) Hear(now time.Time, r Report, allowed func(kind string) bool) Answer {
	if r.Ep < c.racks[r.Rack].ep || !c.Ready() {
		return Answer{}
	}
	c.racks[r.Rack] = rackInfo{r.Ep, r.Offer.Max, now}
	for _, p := range r.Finished {
		c.finished(now, r.Rack, p)
	}
	for _, p := range r.Released {
		c.released(p)
	}
	for _, p := range r.Failed {
		c.failed(now, r.Rack, p)
	}
	for p, kept := range r.Back {
		c.back(r.Rack, p, kept)
	}
	if r.Usable {
		c.place(r, allowed)
	}
	a := Answer{OK: true, Run: c.list(r.Rack), Ended: c.ended(r.Rack)}
	a.Waiting, a.Urgent = c.Waiting()
	c.recorded(r, &a)
	return a
}

// Ready reports whether this holding has written the record.
//
// It guards against a former holder's last write that is still on its way: it may take
// effect after the record was read here, and what was told from that reading, such as
// a task's place, would be wrong. After this holding's own write it can't.
func (c *Core) Ready() bool { return c.kept.Ep == c.ep }

// unplace ends a placement that is in force on the rack and returns its job while that
// is open, or nil. What is said of any other placement, or after its job has ended,
// changes nothing more.
func (c *Core) unplace(rack string, p Place) *Job {
	j := c.work.Jobs[p.Job]
	if j == nil || j.Place[p.Index] != (At{rack, p.No}) {
		return nil
	}
	delete(j.Place, p.Index)
	c.dirty = true
	if j.State != StateOpen {
		return nil
	}
	return j
}

// finished notes a task's end. Only the placement in force counts, once: a task that
// was given up for lost, placed again and then turns out to have finished first
// doesn't finish twice. One that ends after its job was cancelled changes nothing.
func (c *Core) finished(now time.Time, rack string, p Place) {
	j := c.unplace(rack, p)
	if j == nil {
		return
	}
	j.Done.Set(uint(p.Index))
	j.Won[p.Index] = p.No
	delete(j.Kept, p.Index)
	if j.left() == 0 {
		c.end(now, j, StateDone, "")
	}
}

// released forgets which placement finished a task, as nobody will ask again.
func (c *Core) released(p Place) {
	if j := c.work.Jobs[p.Job]; j != nil && j.Won[p.Index] == p.No {
		delete(j.Won, p.Index)
		c.dirty = true
	}
}

func (c *Core) failed(now time.Time, rack string, p Place) {
	j := c.unplace(rack, p)
	if j == nil {
		return
	}
	j.Fails[p.Index]++
	if j.Fails[p.Index] >= failsToEnd && !j.Spec.Standing {
		c.end(now, j, StateParked, fmt.Sprintf("task %d failed %d times", p.Index, failsToEnd))
	}
}

func (c *Core) back(rack string, p Place, kept time.Duration) {
	if j := c.unplace(rack, p); j != nil && kept > j.Kept[p.Index] {
		j.Kept[p.Index] = kept
	}
}

// list returns the tasks that a rack is to run: those that it has both in the store
// and in the working copy.
//
// It guards against a task in two places: a task on its way from one rack to another
// is named to neither until the store holds its new place.
func (c *Core) list(rack string) []Task {
	var out []Task
	for id, j := range c.kept.Jobs {
		w := c.work.Jobs[id]
		if w == nil || j.State != StateOpen || w.State != StateOpen {
			continue
		}
		for i, at := range j.Place {
			if at.Rack == rack && w.Place[i] == at {
				out = append(out, Task{Place{id, i, at.No}, j.Spec, j.Kept[i]})
			}
		}
	}
	slices.SortFunc(out, func(a, b Task) int { return cmp.Compare(a.Place.No, b.Place.No) })
	return out
}

// ended lists the placements on a rack that jobs which have ended still have.
func (c *Core) ended(rack string) []Place {
	var out []Place
	for id, j := range c.work.Jobs {
		if j.State == StateOpen {
			continue
		}
		for i, at := range j.Place {
			if at.Rack == rack {
				out = append(out, Place{id, i, at.No})
			}
		}
	}
	return out
}

// recorded tells which of the reported placements the store has settled.
func (c *Core) recorded(r Report, a *Answer) {
	for _, p := range r.Finished {
		switch j := c.kept.Jobs[p.Job]; {
		case j != nil && j.Place[p.Index].No == p.No:
		case j != nil && j.Won[p.Index] == p.No:
			a.Counts = append(a.Counts, p)
		default:
			a.Recorded = append(a.Recorded, p)
		}
	}
	settled := func(p Place) {
		if j := c.kept.Jobs[p.Job]; j == nil || j.Place[p.Index].No != p.No {
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
		if j := c.kept.Jobs[p.Job]; j == nil || j.Won[p.Index] != p.No {
			a.Recorded = append(a.Recorded, p)
		}
	}
}
