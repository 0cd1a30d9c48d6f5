package sched

import (
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
)

// Times that operators allow between a change in the store and the last start that does not take it into account.
const (
	drainStartLimit = 2 * time.Second // after a worker has announced that it drains
	evacStartLimit  = 5 * time.Second // after operators have evacuated a zone
	// orderMargin is the part of these limits reserved for the transit of an order to its worker and for
	// usualConfirmationAge.
	orderMargin = 400 * time.Millisecond
	// usualConfirmationAge is the part of the time since the store's last confirmation of this holder that the ages below
	// do not include.
	usualConfirmationAge = 200 * time.Millisecond
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
// late, so it starts tasks on workers that announced seconds ago that they drain. While peers confirm that no process
// reaches the store, ages are measured up to the store's last confirmation, so that starts continue.
func (c *Core) StaleCause(now time.Time) UnsentCause {
	directory, intent := c.readAges(now)
	switch {
	case directory > drainStartLimit-orderMargin:
		return CauseStaleDirectory
	case intent > evacStartLimit-orderMargin:
		return CauseStaleIntent
	}
	return CauseNone
}

// readAges returns the ages of the reads of the directory and of the intent.
func (c *Core) readAges(now time.Time) (directory, intent time.Duration) {
	return c.readAge(now, c.directoryReadAt), c.readAge(now, c.intentReadAt)
}

// readAge returns the age of a read, or 0 if none has been recorded.
func (c *Core) readAge(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	age := max(0, wait.Elapsed(c.confirmedByStore, at))
	if c.confirmedByPeers.After(c.confirmedByStore) {
		return age
	}
	return age + max(0, wait.Elapsed(now, c.confirmedByStore)-usualConfirmationAge)
}

// mayStart reports whether this holder may start tasks: it may act, its reads of the store are recent enough, and it doesn't
// resign.
func (c *Core) mayStart(now time.Time) bool {
	return !c.stopped && c.mayAct(now) && c.StaleCause(now) == CauseNone
}
