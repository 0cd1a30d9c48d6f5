package sched

import (
	"slices"
	"strings"
	"time"

	"bramleysail.example/bramleysail/internal/batch/health"
)

// UpdateDirectory applies the directory's list of workers. A worker that is missing from the list gets no more starts.
// It is polled until it is certain that no run remains on it.
func (c *Core) UpdateDirectory(now time.Time, members []Member) {
	for _, w := range c.workers {
		w.listed = false
	}
	for _, m := range members {
		c.updateMember(now, m)
	}
	c.expireLeases(now)
}

// UpdateMembers applies changes of the directory: the workers of changed entries, and the ids of workers that are no
// longer listed. A worker named by both is listed.
func (c *Core) UpdateMembers(now time.Time, changed []Member, removed []string) {
	for _, id := range removed {
		if w := c.workers[id]; w != nil {
			w.listed = false
		}
	}
	for _, m := range changed {
		c.updateMember(now, m)
	}
	c.expireLeases(now)
}

// InheritWorkers takes over the tracked workers of the former holder, which may have started runs on them. What the record says of
// a worker besides its incarnation and address is only used for estimates: tasks are placed by the directory.
func (c *Core) InheritWorkers(now time.Time, members []Member) {
	for _, m := range members {
		w := c.workers[m.ID]
		if w == nil {
			w = c.addWorker(m)
		}
		w.tracked, w.inherited = true, true
		w.unansweredAt = now
		if m.LongLease {
			w.longLease, w.longLeaseEnd, w.fencePending = true, unbounded, true
		}
	}
}

// updateMember adds a worker or updates it from its directory entry. An entry tells of the incarnation that has written it, and
// nothing of another one: that may be of another kind, size, service or zone.
func (c *Core) updateMember(now time.Time, m Member) {
	w := c.workers[m.ID]
	switch {
	case w == nil:
		w = c.addWorker(m)
	case w.StartedAt != 0 && m.StartedAt > w.StartedAt:
		c.handleRestart(now, w, m.StartedAt, RestartListed)
	}
	w.listed = true
	switch {
	case m.StartedAt == w.StartedAt || w.StartedAt == 0:
		c.applyEntry(now, w, m)
	case m.StartedAt == 0:
		w.hasEntry = false // it may be of any incarnation
	}
}

// addWorker adds a worker that wasn't known.
func (c *Core) addWorker(m Member) *worker {
	c.trackedVersion++
	w := &worker{Member: m, runs: map[runKey]*run{}, formerLease: true, fenceCount: c.removedFenceCount} // it may have been removed before
	c.workers[w.ID] = w
	c.insertByID(w)
	c.markStale(w)
	return w
}

// applyEntry applies the directory entry of a worker's current incarnation.
func (c *Core) applyEntry(now time.Time, w *worker, m Member) {
	if w.Incarnation != m.Incarnation || w.Addr != m.Addr {
		c.trackedVersion++
	}
	if !w.Member.equal(m) {
		w.Member = m
		c.markStale(w)
	}
	if !w.hasEntry {
		w.hasEntry = true
		c.recordListed(now, w)
	}
	// An entry may be read many times while its worker drains, so the drain time counts from the first read that shows
	// it.
	switch {
	case !m.Draining:
		w.drainUntil = time.Time{}
	case w.drainUntil.IsZero():
		w.drainUntil = now.Add(m.DrainRemaining)
		c.recordDraining(w)
	}
	w.evacuated = c.evacuatedZones[m.Zone]
}

// handleRestart resets a worker whose process has restarted under the same id.
//
// Runs that the former incarnation reported have ended with it. Any other start may have been carried out by the new
// incarnation, or may still be, since its fencing token is unset. This holds even for an answered start, as answers do
// not name the incarnation. Such runs are kept until a report of the new incarnation, a stop or a timeout resolves
// them.
//
// The new incarnation does not count as expired before its first report: its ends would be ignored as ends from
// before a lease expiry, and then acknowledged without having been counted.
func (c *Core) handleRestart(now time.Time, w *worker, startedAt int64, sign RestartSign) {
	c.recordRestarted(now, w, startedAt, sign)
	for _, r := range w.cloneRuns() {
		switch {
		case r.reported:
			c.releaseLost(r, ReleasedRestart)
		case r.state == RunStopped:
			r.state = RunStopping // the new incarnation has not received the stop
		}
	}
	c.forgetEntry(now, w)
	w.StartedAt = startedAt
	c.raiseFence(now, w)
	c.noteOrderDue(w)
	w.leaseExpiry, w.formerLease = now, false
	w.restarted, w.inventoryComplete = true, false
	w.ackedSeq, w.handledSeq, w.releasedSeq, w.pendingAcks = 0, 0, 0, nil
	w.polledSeq, w.deliveredSeq, w.verifying, w.verified = 0, 0, false, false
	w.contact = ContactNone
	w.tracked = false
	c.setExpired(w, false)
	w.breaker = health.Breaker{}
	w.colocation = colocation{}
	w.clock = clockReading{}
	w.leaseUntil = 0
}

// forgetEntry forgets what a worker's entry says of an incarnation that isn't the current one, with the room reserved there.
func (c *Core) forgetEntry(now time.Time, w *worker) {
	for _, t := range slices.Clone(w.incomingTasks) {
		c.cancelRelocation(t)
	}
	w.Member = Member{Incarnation: w.Incarnation, Addr: w.Addr}
	w.hasEntry, w.entryMissingSince = false, now
	w.drainUntil, w.evacuated = time.Time{}, false
	c.markStale(w)
}

// cloneRuns returns a copy of the run list that can be iterated while runs are removed.
func (w *worker) cloneRuns() []*run {
	return slices.Clone(w.runList)
}

// SetEvacuatedZones sets the failure domains that operators have taken out of service.
func (c *Core) SetEvacuatedZones(zones map[string]bool) {
	c.evacuatedZones = zones
	for _, w := range c.workers {
		w.evacuated = zones[w.Zone]
	}
}

// IncarnationEnded records that an incarnation has ended, as another one answers at the worker's address.
func (c *Core) IncarnationEnded(now time.Time, id string, startedAt int64) {
	w := c.workers[id]
	if w == nil || w.StartedAt != startedAt {
		return
	}
	for _, r := range w.cloneRuns() {
		c.releaseLost(r, ReleasedGone)
	}
	w.contact = ContactLost
	w.leaseExpiry, w.formerLease = now, false
	c.expireLeases(now)
}

// PollFailed records that a poll of a worker was not answered, or not within its ContactSlack.
func (c *Core) PollFailed(now time.Time, id string, startedAt int64) {
	if w := c.workers[id]; w != nil && w.StartedAt == startedAt && w.contact == ContactGood {
		w.contact = ContactLost
	}
}

// expireLeases releases the runs of workers whose lease has certainly expired. It removes a worker that is also missing
// from the directory and has no run left.
//
// The store must have confirmed this holder after the expiry. With an older confirmation, another holder may have been
// elected on the other side of a network partition and may have renewed the lease. The tasks would continue there while
// they look expired from here.
func (c *Core) expireLeases(now time.Time) {
	var gone []*worker
	for _, w := range c.workersByID {
		c.expireLongLease(now, w)
		if end := c.leaseEnd(w); w.contact == ContactGood || now.Before(end) || c.confirmedByStore.Before(end) {
			continue
		}
		if kept := c.releaseExpiredRuns(now, w); !w.listed && !kept {
			gone = append(gone, w)
		}
	}
	for _, w := range gone {
		c.unindexWorker(w)
		if len(w.lateStarts) > 0 {
			c.pendingStartWorkers--
		}
		delete(c.workers, w.ID)
		c.removedFenceCount = max(c.removedFenceCount, w.fenceCount)
		c.removeByID(w)
		c.trackedVersion++
	}
}

// releaseExpiredRuns releases the runs of a worker whose lease has expired, and reports whether one is kept because it
// may still be active.
func (c *Core) releaseExpiredRuns(now time.Time, w *worker) bool {
	kept, mayBeLonger := false, c.leaseMayBeLonger(now, w)
	for _, r := range w.cloneRuns() {
		if c.orphaned(now, r) || mayBeLonger && r.incarnation == w.StartedAt {
			kept = true
			continue
		}
		c.releaseLost(r, ReleasedLease)
	}
	c.setExpired(w, !mayBeLonger && (!w.restarted || now.Sub(c.leaseEnd(w)) >= c.lateOrderWait()))
	return kept
}

// setExpired sets whether a worker counts as expired.
func (c *Core) setExpired(w *worker, expired bool) {
	if w.expired != expired {
		w.expired = expired
		c.trackedVersion++
	}
}

// leaseMayBeLonger reports whether the lease of a worker's current incarnation may be longer than the one granted to
// it.
//
// A start that was sent to a former incarnation and is carried out late by the current one carries a lease on the
// former clock. That clock is ahead by the uptime of the former incarnation, so all runs on the worker continue for up
// to the longest lease that workers accept. If the lease counted as expired, tasks would run twice, or again after
// their end was acknowledged without having been counted. Once no such start can arrive any more, the granted lease is
// the limit.
func (c *Core) leaseMayBeLonger(now time.Time, w *worker) bool {
	for _, r := range w.runList {
		if c.orphaned(now, r) {
			return true
		}
	}
	return false
}

// extendExpiry extends the lease expiry of a worker's current incarnation if an order to a former incarnation may have
// been carried out by now. leaseMayBeLonger covers orders that may still arrive.
func (c *Core) extendExpiry(now time.Time, w *worker) {
	for _, r := range w.runList {
		if r.incarnation != w.StartedAt {
			w.leaseExpiry = latest(w.leaseExpiry, now.Add(c.expiryBound(c.opts.MaxWorkerLease)))
			return
		}
	}
}

// orphaned reports whether a start that was sent to a former incarnation of a worker may still be carried out by the
// current one, or may have been and the run may still be active. The end of the start's lease is no bound: it is on the
// former clock, and the clock restarts with the worker. Only an acknowledged stop resolves such a run, or the time
// after which a run that began late has ended.
func (c *Core) orphaned(now time.Time, r *run) bool {
	return !r.reported && r.state != RunStopped && r.incarnation != r.worker.StartedAt && now.Sub(r.startedAt) < c.lateOrderWait()
}

const (
	// maxOrderDelay is the time after which a worker no longer carries out an order that it has not answered.
	maxOrderDelay = 12 * time.Second
	// minLateOrderWait is the minimum time for which the scheduler waits for such an order.
	minLateOrderWait = 20 * time.Second
)

// lateOrderWait returns how long after its start order a run may remain active that began late, in a later incarnation
// of its worker. The lease of the order is on the former clock and may therefore be as long as workers accept.
func (c *Core) lateOrderWait() time.Duration {
	return max(minLateOrderWait, maxOrderDelay+c.expiryBound(c.opts.MaxWorkerLease))
}

// insertByID inserts a worker into the list sorted by id, which makes the choice between equal workers deterministic.
func (c *Core) insertByID(w *worker) {
	i, _ := slices.BinarySearchFunc(c.workersByID, w.ID, compareID)
	c.workersByID = slices.Insert(c.workersByID, i, w)
}

// removeByID removes a worker from the list sorted by id.
func (c *Core) removeByID(w *worker) {
	if i, ok := slices.BinarySearchFunc(c.workersByID, w.ID, compareID); ok {
		c.workersByID = slices.Delete(c.workersByID, i, i+1)
	}
}

// compareID compares a worker's id with id.
func compareID(w *worker, id string) int {
	return strings.Compare(w.ID, id)
}
