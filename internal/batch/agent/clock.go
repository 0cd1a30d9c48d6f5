package agent

import (
	"sync"
	"time"
)

// clock is an agent's clock, by which the deadlines of its calls are given. It never goes back, and is safe for concurrent
// use.
//
// The monotonic clock stands still while a machine is suspended. By it alone, an agent that resumes would make the starts
// that it received before, long after their deadlines. The clock goes on by the monotonic or the wall clock, whichever has
// gone on by more since the last reading. A wall clock that is set forward only makes calls late until the holder has the
// next reading.
type clock struct {
	source func() (monotonic time.Duration, wall time.Time)

	mu        sync.Mutex
	reading   time.Duration // the last one
	monotonic time.Duration // at the last reading
	wall      time.Time     // at the last reading
}

// newClock returns a clock that shows 0.
func newClock(source func() (time.Duration, time.Time)) *clock {
	c := &clock{source: source}
	c.monotonic, c.wall = source()
	return c
}

// now returns the time on the clock.
func (c *clock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	monotonic, wall := c.source()
	c.reading += max(monotonic-c.monotonic, wall.Sub(c.wall))
	c.monotonic, c.wall = monotonic, wall
	return c.reading
}

// systemClocks returns a source that reads the clocks of the machine.
func systemClocks() func() (time.Duration, time.Time) {
	begun := time.Now()
	return func() (time.Duration, time.Time) {
		now := time.Now()
		return now.Sub(begun), now.Round(0)
	}
}

// isPast reports whether a moment has passed by the monotonic or by the wall clock, for the same reason.
func isPast(at time.Time) bool {
	now := time.Now()
	return now.After(at) || now.Round(0).After(at.Round(0))
}
