package sched

import "time"

// fenceCountBits is the size of the low part of a fencing token. With it, tokens of terms up to two million are whole numbers
// that JSON clients keep exact.
const fenceCountBits = 32

// ackTransit is well above the time in which a poll reaches its worker, so that a start that leaves later doesn't overtake it.
const ackTransit = 100 * time.Millisecond

// Fence returns the fencing token of the next call to a worker: the term, and in the low part a count. The count rises with
// each restart of the worker that this holder notices, so that the new incarnation does nothing for calls of a former one
// once it has taken a call with the new token. See also fencePoll.
func (c *Core) Fence(id string) int64 {
	w := c.workers[id]
	if w == nil {
		return c.fence(c.removedFenceCount)
	}
	return c.fence(w.fenceCount)
}

// fence returns the fencing token with a count.
func (c *Core) fence(count int64) int64 { return c.opts.Term<<fenceCountBits | count }

// IsForFormer reports whether a call to a worker with a fencing token was made before this holder noticed the worker's newest
// restart.
func (c *Core) IsForFormer(id string, fence int64) bool {
	w := c.workers[id]
	return w != nil && fence < c.fence(w.restartFence)
}

// fencePoll raises the fencing token of a worker before a start is sent to it, if a poll sent before has no answer yet. An
// incarnation that carries out the start then does nothing for that poll. If it replaced the one in contact unnoticed, it would
// forget the end of the run, or work on for longer than this holder counts. A start that leaves right behind the poll may
// overtake it, so that it is refused and made again; a busy holder leaves it time to get there.
func (c *Core) fencePoll(now time.Time, w *worker) {
	if w.unansweredPollAt.IsZero() || c.busy(now) && now.Sub(w.unansweredPollAt) < ackTransit {
		return
	}
	w.unansweredPollAt = time.Time{}
	w.raiseFenceCount()
}

// PollOvertaken records that a worker has refused a poll by its fencing token, as a start with a higher one has overtaken it.
// The next poll acknowledges nothing, and no start raises the token for it.
func (c *Core) PollOvertaken(id string) {
	if w := c.workers[id]; w != nil {
		w.pollOvertaken = true
	}
}

// raiseFenceCount raises the low part of a worker's fencing token.
func (w *worker) raiseFenceCount() {
	w.fenceCount = min(w.fenceCount+1, 1<<fenceCountBits-1)
}

// raiseFence raises the fencing token of a worker that has restarted. Calls with a lower one may be carried out until a poll
// that was sent after now is answered; any of them may give the worker the longest lease that it accepts, as the end of
// their lease is on the former clock.
func (c *Core) raiseFence(now time.Time, w *worker) {
	w.raiseFenceCount()
	w.restartFence, w.unansweredPollAt = w.fenceCount, time.Time{}
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
		c.recordRestarted(now, w, former.StartedAt, RestartAnswered)
		w.contact = ContactLost
		c.raiseFence(now, w)
	}
}
