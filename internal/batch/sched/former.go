package sched

import "time"

// unbounded stands for a time that isn't known yet and later than all others.
var unbounded = time.Unix(1<<40, 0)

// ReleaseFormerHolders records that since a time no former holder can be confirmed, by the store or by its peers. Only
// the first call counts.
func (c *Core) ReleaseFormerHolders(at time.Time) {
	if c.formerConfirmed.Equal(unbounded) {
		c.formerConfirmed = latest(at, c.termStart)
	}
}

// formerStopped returns when every former holder has ceased to act, or unbounded.
func (c *Core) formerStopped() time.Time {
	if c.formerConfirmed.Equal(unbounded) {
		return unbounded
	}
	return c.formerConfirmed.Add(c.opts.MaxUnconfirmed)
}

// formerLeasesEnd returns when every lease that a former holder granted to workers has ended, or unbounded: these leases
// count from the former holder's last confirmation.
func (c *Core) formerLeasesEnd() time.Time {
	if c.formerConfirmed.Equal(unbounded) {
		return unbounded
	}
	return c.formerConfirmed.Add(c.expiryBound(c.opts.WorkerLease))
}

// FormerLeasesEnd returns when every lease that a former holder granted to workers has ended, and whether that is known.
// Tasks taken over from it are withheld until then, and until the store has confirmed this holder once more.
func (c *Core) FormerLeasesEnd() (time.Time, bool) {
	end := c.formerLeasesEnd()
	return end, !end.Equal(unbounded)
}

// leaseEnd returns when every lease on a worker has ended unless it is renewed, or unbounded.
func (c *Core) leaseEnd(w *worker) time.Time {
	end := w.leaseExpiry
	if w.formerLease {
		end = latest(end, c.formerLeasesEnd())
	}
	return latest(end, c.longLeaseEnd(w))
}

// longLeaseEnd returns when the longest lease that calls of former incarnations may have given to a worker has ended, or
// unbounded; zero: there were none.
func (c *Core) longLeaseEnd(w *worker) time.Time {
	switch {
	case !w.longLeaseEnd.Equal(unbounded):
		return w.longLeaseEnd
	case c.formerStopped().Equal(unbounded):
		return unbounded
	}
	return c.formerStopped().Add(c.expiryBound(c.opts.MaxWorkerLease))
}

// boundFormerLease bounds the former holder's lease on a worker that has answered this holder: the worker is fenced, so
// that a former holder which still acts can't renew its lease any more.
func (c *Core) boundFormerLease(now time.Time, w *worker) {
	if w.formerLease && c.formerConfirmed.Equal(unbounded) {
		w.formerLease = false
		w.leaseExpiry = latest(w.leaseExpiry, now.Add(c.expiryBound(c.opts.WorkerLease)))
	}
}
