package sched

import "time"

// Times that operators allow for what the store was told to show in starts.
const (
	drainMost = 2 * time.Second // from a worker's word that it leaves
	evacMost  = 5 * time.Second // from the word that a failure domain is taken out
	// orderMost is kept of these for an order's way to its worker, and for the time since the store's last word to
	// this holder, which isn't in the ages below.
	orderMost = 400 * time.Millisecond
)

// ReadRoster tells that the list of workers held is no older than a reading of the directory that began at a time. Its age
// bounds starts from the first such call on.
func (c *Core) ReadRoster(at time.Time) {
	if at.After(c.rosterRead) {
		c.rosterRead = at
	}
}

// ReadIntent is ReadRoster for what operators have written.
func (c *Core) ReadIntent(at time.Time) {
	if at.After(c.intentRead) {
		c.intentRead = at
	}
}

// Outdated returns why nothing is started at present, if what is held of the store is too old while the store
// answers.
//
// The failure it guards against: a holder that is behind its work is confirmed, but its readings of the directory
// fail or come late. It starts tasks on workers that said seconds ago that they leave. Ages count up to the store's
// last word, so that work goes on while the store is away for all.
func (c *Core) Outdated() Cause {
	roster, intent := c.readAges()
	switch {
	case roster > drainMost-orderMost:
		return CauseRoster
	case intent > evacMost-orderMost:
		return CauseIntent
	}
	return CauseNone
}

// readAges returns how much older the readings are than the store's last word to this holder.
func (c *Core) readAges() (roster, intent time.Duration) {
	return c.readAge(c.rosterRead), c.readAge(c.intentRead)
}

func (c *Core) readAge(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(0, since(c.sure, at))
}

// starts reports whether tasks may be started.
func (c *Core) starts(now time.Time) bool {
	return c.acts(now) && c.Outdated() == CauseNone
}
