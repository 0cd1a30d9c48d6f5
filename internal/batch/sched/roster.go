package sched

import (
	"slices"
	"strings"
	"time"

	"bramleysail.example/bramleysail/internal/batch/health"
)

// Roster takes the directory's list of workers. One that is missing gets nothing more; it
// is polled on until it is surely empty.
func (c *Core) Roster(now time.Time, members []Member) {
	for _, w := range c.workers {
		w.listed = false
	}
	for _, m := range members {
		c.join(now, m, true)
	}
	c.sweep(now)
}

// Inherit takes the workers that a former holder may have given work to.
func (c *Core) Inherit(now time.Time, crew []Member) {
	for _, m := range crew {
		if c.workers[m.ID] == nil {
			c.join(now, m, false)
		}
		w := c.workers[m.ID]
		w.stored, w.inherited = true, true
	}
}

func (c *Core) join(now time.Time, m Member, listed bool) {
	w := c.workers[m.ID]
	if w != nil && w.Born != 0 && m.Born > w.Born {
		c.restart(now, w, m.Born)
	}
	if w == nil {
		w = &worker{runs: map[runKey]*run{}, lapse: c.clear()}
		c.workers[m.ID] = w
		w.ID = m.ID
		c.rank(w)
	}
	if m.Born < w.Born {
		m.Born = w.Born
	}
	w.Member = m
	c.touch(w)
	w.listed = listed
	// The entry is read again with any other's change, so the first word counts.
	switch {
	case !m.Draining:
		w.leaves = time.Time{}
	case w.leaves.IsZero():
		w.leaves = now.Add(m.Left)
	}
	w.out = c.zones[m.Zone]
}

// restart notes that a worker has started anew under its id. What its former life has shown to run has ended
// with that. Any other order may have been carried out by the new one, or may be, as its fence is
// unset, also where it was answered: answers don't name a life. Such runs stay until a poll of
// the new life, a stop or their time settles them. No lease of the new life has lapsed
// before it is heard of: its ends would be passed over as of before a lapse, and be acknowledged uncounted.
func (c *Core) restart(now time.Time, w *worker, born int64) {
	for _, r := range w.all() {
		switch {
		case r.shown:
			c.free(r)
		case r.state == RunStopped:
			r.state = RunStopping // the new life knows of no stop
		}
	}
	w.Born = born
	w.lapse = now
	w.fresh, w.reported = true, false
	w.acked, w.heard, w.pending = 0, 0, nil
	w.contact = ContactNone
	w.stored = false
	w.void = false
	w.breaker = health.Breaker{}
	w.share = sharing{}
	w.clock = clock{}
	w.until = 0
	c.touch(w)
}

// all returns the runs of a worker as they are now, to be walked while some are dropped.
func (w *worker) all() []*run {
	return slices.Clone(w.list)
}

// Out takes the failure domains that operators have taken out.
func (c *Core) Out(zones map[string]bool) {
	c.zones = zones
	for _, w := range c.workers {
		w.out = zones[w.Zone]
	}
}

// Gone tells that another life answers at a worker's address: this one has ended.
func (c *Core) Gone(now time.Time, id string, born int64) {
	w := c.workers[id]
	if w == nil || w.Born != born {
		return
	}
	for _, r := range w.all() {
		c.free(r)
	}
	w.contact = ContactLost
	w.lapse = now
	c.sweep(now)
}

// Missed tells that a poll of a worker was not answered.
func (c *Core) Missed(now time.Time, id string, born int64) {
	if w := c.workers[id]; w != nil && w.Born == born && w.contact == ContactGood {
		w.contact = ContactLost
	}
}

// sweep gives up the runs of workers whose lease has surely lapsed and drops workers that
// are gone.
//
// The store's word that this process holds has to be of after the lapse. Of before, another holder may have
// been chosen since, on the far side of a cut, and renew the lease: the tasks run on there
// while they look lapsed from here.
func (c *Core) sweep(now time.Time) {
	for _, w := range slices.Clone(c.ranks) {
		if w.contact == ContactGood || now.Before(w.lapse) || c.sure.Before(w.lapse) {
			continue
		}
		kept, prolonged := false, c.prolonged(now, w)
		for _, r := range w.all() {
			if c.orphaned(now, r) || prolonged && r.born == w.Born {
				kept = true
				continue
			}
			c.free(r)
		}
		w.void = !prolonged && (!w.fresh || now.Sub(w.lapse) >= c.lateMost())
		if !w.listed && !kept {
			c.unindex(w)
			delete(c.workers, w.ID)
			c.unrank(w)
		}
	}
}

// prolonged reports whether the lease of a worker's present life may be longer than what was granted to it.
//
// An order that was given to a former life and is carried out late, by the present one, brings a lease by the former
// clock, which is ahead by all of that life: everything there runs on, up to the longest lease that
// workers grant. Taken for lapsed, tasks ran twice, or again after their end was acknowledged uncounted. As
// soon as no such order can come any more, what was granted holds.
func (c *Core) prolonged(now time.Time, w *worker) bool {
	for _, r := range w.list {
		if c.orphaned(now, r) {
			return true
		}
	}
	return false
}

// extendLapse notes how long the lease of a worker's present life may be by an order that was given to a former one and
// has been carried out up to now; see prolonged, which is for those that may come yet.
func (c *Core) extendLapse(now time.Time, w *worker) {
	for _, r := range w.list {
		if r.born != w.Born {
			w.lapse = later(w.lapse, now.Add(c.lapses(c.opt.Hold)))
			return
		}
	}
}

// orphaned reports whether an order that was given to a former life of a worker may still be
// carried out by the present one. Its time, on the former life's clock, doesn't bound that:
// the clock has begun anew. Only a stop settles it, or the time after which no order is
// carried out any more.
func (c *Core) orphaned(now time.Time, r *run) bool {
	return !r.shown && r.state != RunStopped && r.born != r.worker.Born && now.Sub(r.began) < c.lateMost()
}

const (
	// carriedMost is the time after which workers no longer carry out an order that they left unanswered.
	carriedMost = 12 * time.Second
	// lateLeast is the least time for which such an order is waited for.
	lateLeast = 20 * time.Second
)

// lateMost returns how long after its order a run may go on that began late, in a later life of its worker: the lease that
// the order brings is by the former life's clock, and may be as long as workers grant.
func (c *Core) lateMost() time.Duration {
	return max(lateLeast, carriedMost+c.lapses(c.opt.Hold))
}

// rank enters a worker into the list in the order of ids, by which equals are chosen among the same way every time.
func (c *Core) rank(w *worker) {
	i, _ := slices.BinarySearchFunc(c.ranks, w.ID, compareID)
	c.ranks = slices.Insert(c.ranks, i, w)
}

// unrank takes a worker out of that list.
func (c *Core) unrank(w *worker) {
	if i, ok := slices.BinarySearchFunc(c.ranks, w.ID, compareID); ok {
		c.ranks = slices.Delete(c.ranks, i, i+1)
	}
}

func compareID(w *worker, id string) int {
	return strings.Compare(w.ID, id)
}
