package sched

import "time"

// fenceCountBits is the size of the low part of a fencing token. With it, tokens of terms up to two million are whole numbers
// that JSON clients keep exact.
const fenceCountBits = 32

// Fence returns the fencing token of the next call to a worker: the term, and in the low part a count that rises with each
// restart of the worker that this holder notices. The new incarnation does nothing for calls of a former one once it has
// taken a call with the new token.
func (c *Core) Fence(id string) int64 {
	fence := c.opts.Term << fenceCountBits
	if w := c.workers[id]; w != nil {
		fence |= w.fenceCount
	}
	return fence
}

// raiseFence raises the fencing token of a worker that has restarted. Calls with a lower one may be carried out until a poll
// that was sent after now is answered; any of them may give the worker the longest lease that it accepts, as the end of
// their lease is on the former clock.
func (c *Core) raiseFence(now time.Time, w *worker) {
	w.fenceCount = min(w.fenceCount+1, 1<<fenceCountBits-1)
	w.fenceRaisedAt, w.fencePending = now, true
	w.longLease, w.longLeaseEnd = true, now.Add(c.expiryBound(c.opts.MaxWorkerLease))
	if w.formerLease && w.contact == ContactNone {
		w.longLeaseEnd = unbounded // the former holder's calls count from when it ceases to act
	}
	c.trackedVersion++
}

// handleFenced bounds the longest lease that calls of former incarnations may have given to a worker, at the answer to a poll
// that was sent at the time sent. It returns false if that poll didn't have the newest token, so that another one is needed.
func (c *Core) handleFenced(sent, now time.Time, w *worker) bool {
	if sent.Before(w.fenceRaisedAt) {
		return false
	}
	if w.fencePending {
		w.fencePending = false
		w.longLeaseEnd = now.Add(c.expiryBound(c.opts.MaxWorkerLease))
	}
	return true
}

// expireLongLease notes when a worker's longest lease ends before the leases that a successor waits for anyway.
func (c *Core) expireLongLease(now time.Time, w *worker) {
	if w.longLease && !w.fencePending && !w.longLeaseEnd.After(now.Add(c.expiryBound(c.opts.WorkerLease))) {
		w.longLease = false
		c.trackedVersion++
	}
}

// noteUnseenRestart records that a worker has restarted of which no report and no entry of the directory tells yet. It gets
// no orders until a poll tells the new incarnation.
func (c *Core) noteUnseenRestart(now time.Time, w *worker, former Incarnation) {
	if w.Incarnation == former && w.contact == ContactGood {
		w.contact = ContactLost
		c.raiseFence(now, w)
	}
}
