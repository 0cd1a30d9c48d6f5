package sched

import "time"

// Times that operators allow for what the store was told to show in starts.
const (
	drainStartLimit = 2 * time.Second // from a worker's word that it leaves
	evacStartLimit  = 5 * time.Second // from the word that a failure domain is taken out
	// orderMargin is kept of these for an order's way to its worker, and for the time since the store's last word to
	// this holder, which isn't in the ages below.
	orderMargin = 400 * time.Millisecond
)

// NoteDirectoryRead tells that the list of workers held is no older than a reading of the directory that began at a time. Its age
// bounds starts from the first such call on.
func (c *Core) NoteDirectoryRead(at time.Time) {
	if at.After(c.directoryReadAt) {
		c.directoryReadAt = at
	}
}

// NoteIntentRead is ReadRoster for what operators have written.
func (c *Core) NoteIntentRead(at time.Time) {
	if at.After(c.intentReadAt) {
		c.intentReadAt = at
	}
}

// StaleCause returns why nothing is started at present, if what is held of the store is too old while the store
// answers.
//
// The failure it guards against: a holder that is behind its work is confirmed, but its readings of the directory
// fail or come late. It starts tasks on workers that said seconds ago that they leave. Ages count up to the store's
// last word, so that work goes on while the store is away for all.
func (c *Core) StaleCause() UnsentCause {
	roster, intent := c.readingAges()
	switch {
	case roster > drainStartLimit-orderMargin:
		return CauseStaleDirectory
	case intent > evacStartLimit-orderMargin:
		return CauseStaleIntent
	}
	return CauseNone
}

// readingAges returns how much older the readings are than the store's last word to this holder.
func (c *Core) readingAges() (roster, intent time.Duration) {
	return c.readingAge(c.directoryReadAt), c.readingAge(c.intentReadAt)
}

func (c *Core) readingAge(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(0, elapsedSince(c.confirmedByStore, at))
}

// mayStart reports whether tasks may be started.
func (c *Core) mayStart(now time.Time) bool {
	return c.mayAct(now) && c.StaleCause() == CauseNone
}
