package sched

import (
	"slices"
	"strings"
	"time"

	"bramleysail.example/bramleysail/internal/batch/health"
)

// UpdateDirectory takes the directory's list of workers. One that is missing gets nothing more; it
// is polled on until it is surely empty.
func (c *Core) UpdateDirectory(now time.Time, members []Member) {
	for _, w := range c.workers {
		w.listed = false
	}
	for _, m := range members {
		c.updateMember(now, m, true)
	}
	c.expireLeases(now)
}

// InheritWorkers takes the workers that a former holder may have given work to.
func (c *Core) InheritWorkers(now time.Time, crew []Member) {
	for _, m := range crew {
		if c.workers[m.ID] == nil {
			c.updateMember(now, m, false)
		}
		w := c.workers[m.ID]
		w.tracked, w.inherited = true, true
	}
}

func (c *Core) updateMember(now time.Time, m Member, listed bool) {
	w := c.workers[m.ID]
	if w != nil && w.StartedAt != 0 && m.StartedAt > w.StartedAt {
		c.handleRestart(now, w, m.StartedAt)
	}
	if w == nil {
		w = &worker{runs: map[runKey]*run{}, leaseExpiry: c.formerLeasesEnd()}
		c.workers[m.ID] = w
		w.ID = m.ID
		c.insertByID(w)
	}
	if m.StartedAt < w.StartedAt {
		m.StartedAt = w.StartedAt
	}
	w.Member = m
	c.markStale(w)
	w.listed = listed
	// The entry is read again with any other's change, so the first word counts.
	switch {
	case !m.Draining:
		w.drainUntil = time.Time{}
	case w.drainUntil.IsZero():
		w.drainUntil = now.Add(m.DrainRemaining)
	}
	w.evacuated = c.evacuatedZones[m.Zone]
}

// handleRestart notes that a worker has started anew under its id. What its former life has shown to run has ended
// with that. Any other order may have been carried out by the new one, or may be, as its fence is
// unset, also where it was answered: answers don't name a life. Such runs stay until a poll of
// the new life, a stop or their time settles them. No lease of the new life has lapsed
// before it is heard of: its ends would be passed over as of before a lapse, and be acknowledged uncounted.
func (c *Core) handleRestart(now time.Time, w *worker, born int64) {
	for _, r := range w.cloneRuns() {
		switch {
		case r.reported:
			c.releaseRun(r)
		case r.state == RunStopped:
			r.state = RunStopping // the new life knows of no stop
		}
	}
	w.StartedAt = born
	w.leaseExpiry = now
	w.restarted, w.inventoryComplete = true, false
	w.ackedSeq, w.handledSeq, w.pendingAcks = 0, 0, nil
	w.contact = ContactNone
	w.tracked = false
	w.expired = false
	w.breaker = health.Breaker{}
	w.colocation = colocation{}
	w.clock = clockReading{}
	w.leaseUntil = 0
	c.markStale(w)
}

// cloneRuns returns the runs of a worker as they are now, to be walked while some are dropped.
func (w *worker) cloneRuns() []*run {
	return slices.Clone(w.runList)
}

// SetEvacuatedZones takes the failure domains that operators have taken out.
func (c *Core) SetEvacuatedZones(zones map[string]bool) {
	c.evacuatedZones = zones
	for _, w := range c.workers {
		w.evacuated = zones[w.Zone]
	}
}

// IncarnationEnded tells that another life answers at a worker's address: this one has ended.
func (c *Core) IncarnationEnded(now time.Time, id string, born int64) {
	w := c.workers[id]
	if w == nil || w.StartedAt != born {
		return
	}
	for _, r := range w.cloneRuns() {
		c.releaseRun(r)
	}
	w.contact = ContactLost
	w.leaseExpiry = now
	c.expireLeases(now)
}

// PollFailed tells that a poll of a worker was not answered.
func (c *Core) PollFailed(now time.Time, id string, born int64) {
	if w := c.workers[id]; w != nil && w.StartedAt == born && w.contact == ContactGood {
		w.contact = ContactLost
	}
}

// expireLeases gives up the runs of workers whose lease has surely lapsed and drops workers that
// are gone.
//
// The store's word that this process holds has to be of after the lapse. Of before, another holder may have
// been chosen since, on the far side of a cut, and renew the lease: the tasks run on there
// while they look lapsed from here.
func (c *Core) expireLeases(now time.Time) {
	for _, w := range slices.Clone(c.workersByID) {
		if w.contact == ContactGood || now.Before(w.leaseExpiry) || c.confirmedByStore.Before(w.leaseExpiry) {
			continue
		}
		kept, prolonged := false, c.leaseMayBeLonger(now, w)
		for _, r := range w.cloneRuns() {
			if c.orphaned(now, r) || prolonged && r.incarnation == w.StartedAt {
				kept = true
				continue
			}
			c.releaseRun(r)
		}
		w.expired = !prolonged && (!w.restarted || now.Sub(w.leaseExpiry) >= c.lateOrderWait())
		if !w.listed && !kept {
			c.unindexWorker(w)
			delete(c.workers, w.ID)
			c.removeByID(w)
		}
	}
}

// leaseMayBeLonger reports whether the lease of a worker's present life may be longer than what was granted to it.
//
// An order that was given to a former life and is carried out late, by the present one, brings a lease by the former
// clock, which is ahead by all of that life: everything there runs on, up to the longest lease that
// workers grant. Taken for lapsed, tasks ran twice, or again after their end was acknowledged uncounted. As
// soon as no such order can come any more, what was granted holds.
func (c *Core) leaseMayBeLonger(now time.Time, w *worker) bool {
	for _, r := range w.runList {
		if c.orphaned(now, r) {
			return true
		}
	}
	return false
}

// extendExpiry notes how long the lease of a worker's present life may be by an order that was given to a former one and
// has been carried out up to now; see prolonged, which is for those that may come yet.
func (c *Core) extendExpiry(now time.Time, w *worker) {
	for _, r := range w.runList {
		if r.incarnation != w.StartedAt {
			w.leaseExpiry = latest(w.leaseExpiry, now.Add(c.expiryBound(c.opts.MaxWorkerLease)))
			return
		}
	}
}

// orphaned reports whether an order that was given to a former life of a worker may still be
// carried out by the present one. Its time, on the former life's clock, doesn't bound that:
// the clock has begun anew. Only a stop settles it, or the time after which no order is
// carried out any more.
func (c *Core) orphaned(now time.Time, r *run) bool {
	return !r.reported && r.state != RunStopped && r.incarnation != r.worker.StartedAt && now.Sub(r.startedAt) < c.lateOrderWait()
}

const (
	// maxOrderDelay is the time after which workers no longer carry out an order that they left unanswered.
	maxOrderDelay = 12 * time.Second
	// minLateOrderWait is the least time for which such an order is waited for.
	minLateOrderWait = 20 * time.Second
)

// lateOrderWait returns how long after its order a run may go on that began late, in a later life of its worker: the lease that
// the order brings is by the former life's clock, and may be as long as workers grant.
func (c *Core) lateOrderWait() time.Duration {
	return max(minLateOrderWait, maxOrderDelay+c.expiryBound(c.opts.MaxWorkerLease))
}

// insertByID enters a worker into the list in the order of ids, by which equals are chosen among the same way every time.
func (c *Core) insertByID(w *worker) {
	i, _ := slices.BinarySearchFunc(c.workersByID, w.ID, compareID)
	c.workersByID = slices.Insert(c.workersByID, i, w)
}

// removeByID takes a worker out of that list.
func (c *Core) removeByID(w *worker) {
	if i, ok := slices.BinarySearchFunc(c.workersByID, w.ID, compareID); ok {
		c.workersByID = slices.Delete(c.workersByID, i, i+1)
	}
}

func compareID(w *worker, id string) int {
	return strings.Compare(w.ID, id)
}
