package intake

import (
	"sync"
	"time"
)

// connState is what a connection is used for.
type connState string

// The states of a connection.
const (
	stateIdle    connState = "idle"    // no request, or one whose header hasn't arrived
	stateReading connState = "reading" // the body of a request is being read
	stateServing connState = "serving" // a request is being handled
)

// connTable bounds the number of open connections. It has no clock and is safe for concurrent use.
type connTable struct {
	max int // 0: no bound

	mu   sync.Mutex
	open map[*connEntry]struct{}
}

// connEntry is an open connection. Its fields are guarded by connTable.mu.
type connEntry struct {
	state connState
	since time.Time // when it got into the state
	close func()
}

func newConnTable(max int) *connTable {
	return &connTable{max: max, open: map[*connEntry]struct{}{}}
}

// add enters a connection, which closeConn closes. If there are too many, it removes and returns another one, to be closed. If
// none can be, it returns no entry.
func (t *connTable) add(now time.Time, closeConn func()) (entry, victim *connEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.max > 0 && len(t.open) >= t.max {
		if victim = t.victim(now); victim == nil {
			return nil, nil
		}
		delete(t.open, victim)
	}
	entry = &connEntry{state: stateIdle, since: now, close: closeConn}
	t.open[entry] = struct{}{}
	return entry, victim
}

// victim returns the connection to close for a new one: the one that has been idle for longest, or the one that has been reading
// a body for longest, if that is minReadTime. Requests that are being handled are never given up. The caller holds t.mu.
func (t *connTable) victim(now time.Time) *connEntry {
	var idle, reading *connEntry
	for e := range t.open {
		switch {
		case e.state == stateIdle && (idle == nil || e.since.Before(idle.since)):
			idle = e
		case e.state == stateReading && now.Sub(e.since) >= minReadTime && (reading == nil || e.since.Before(reading.since)):
			reading = e
		}
	}
	if idle != nil {
		return idle
	}
	return reading
}

// set records what a connection is used for from now on.
func (t *connTable) set(now time.Time, e *connEntry, s connState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.state, e.since = s, now
}

// remove removes a connection that was closed.
func (t *connTable) remove(e *connEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, e)
}

// count returns the number of open connections.
func (t *connTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}
