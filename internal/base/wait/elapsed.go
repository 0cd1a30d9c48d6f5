package wait

import "time"

// Elapsed returns how long ago a moment was, by the monotonic clock or the wall clock, whichever gives more: the monotonic
// clock stands still while a machine is suspended. A wall clock that is set forward makes earlier moments look older.
func Elapsed(now, at time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}
