package sched

import "time"

// Times that operators allow between a change in the store and the last start that does not take it into account.
const (
	drainStartLimit = 2 * time.Second // after a worker has announced that it drains
	evacStartLimit  = 5 * time.Second // after operators have evacuated a zone
	// orderMargin is the part of these limits reserved for the transit of an order to its worker and for the time since
	// the store's last confirmation of this holder, which the ages below do not include.
	orderMargin = 400 * time.Millisecond
)

// NoteDirectoryRead records that the list of workers in use comes from a read of the directory that began at the given
// time or later. From the first call on, starts are blocked while the read is too old.
func (c *Core) NoteDirectoryRead(at time.Time) {
	if at.After(c.directoryReadAt) {
		c.directoryReadAt = at
	}
}

// NoteIntentRead does the same as NoteDirectoryRead for the intent that operators have written.
func (c *Core) NoteIntentRead(at time.Time) {
	if at.After(c.intentReadAt) {
		c.intentReadAt = at
	}
}

// StaleCause returns the cause that blocks all starts if a read of the store is too old although the store answers, and
// CauseNone otherwise.
//
// It guards against a holder that is overloaded: the store confirms it, but its reads of the directory fail or come
// late, so it starts tasks on workers that announced seconds ago that they drain. Ages are measured up to the store's
// last confirmation, so that starts continue while no process reaches the store.
func (c *Core) StaleCause() UnsentCause {
	directory, intent := c.readAges()
	switch {
	case directory > drainStartLimit-orderMargin:
		return CauseStaleDirectory
	case intent > evacStartLimit-orderMargin:
		return CauseStaleIntent
	}
	return CauseNone
}

// readAges returns how much older the reads of the directory and of the intent are than the store's last
// confirmation of this holder.
func (c *Core) readAges() (directory, intent time.Duration) {
	return c.readAge(c.directoryReadAt), c.readAge(c.intentReadAt)
}

// readAge returns the same for one read. It returns 0 if no read has been recorded.
func (c *Core) readAge(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(0, elapsedSince(c.confirmedByStore, at))
}

// mayStart reports whether this holder may start tasks: it may act, and its reads of the store are recent enough.
func (c *Core) mayStart(now time.Time) bool {
	return c.mayAct(now) && c.StaleCause() == CauseNone
}
