package drive

import "time"

// MemoryUsage is the memory that a process uses, in bytes.
type MemoryUsage struct {
	Live  uint64 // what a garbage collection can't free
	Total uint64 // what the process has obtained and not returned
	// Collections is the number of garbage collections so far. Live is that of the last one.
	Collections uint64
}

const (
	// maxLiveShare and maxTotalShare are the shares of the memory limit at which new jobs are refused. The total is
	// expected to stay below maxTotalShare as long as garbage can be freed.
	maxLiveShare  = 0.75
	maxTotalShare = 0.95
	// acceptLevel is the level below which new jobs are accepted again.
	acceptLevel = 0.93
	// largeJob is the expected memory in bytes from which on a job is large: it counts as soon as it is accepted, and is refused
	// from largeJobLevel on, so that ordinary jobs still find memory.
	largeJob      = 16 << 10
	largeJobLevel = 0.85
	// memoryInterval is the least time between two readings of the memory usage.
	memoryInterval = 500 * time.Millisecond
	// Bounds of the delay after which a refused caller should retry, and its value while the usage doesn't fall.
	minMemoryRetry     = time.Second
	maxMemoryRetry     = 30 * time.Second
	defaultMemoryRetry = 5 * time.Second
)

// memoryGuard decides by the memory that the process uses whether new jobs are refused, so that the process isn't
// ended at its memory limit with all jobs that it has accepted. It has no clock and takes no readings itself.
type memoryGuard struct {
	limit     uint64    // memory limit of the process in bytes; 0: not known, nothing is refused
	observed  time.Time // when the usage was last observed
	level     float64   // usage relative to the shares at which jobs are refused; 1: at one of them
	refusing  bool
	peakLevel float64   // highest level since refusing began
	peakAt    time.Time // when it was last observed
	live      uint64    // live memory at the last observation
	reserved  int64     // expected memory of occurrences to come
	expected  expectedMemory
}

// expectedMemory is the expected memory in bytes of large jobs that the live memory doesn't show yet, as they aren't stored or no
// garbage has been collected since they were.
type expectedMemory struct {
	accepted    int64  // not stored yet
	stored      int64  // since the last observation
	uncollected int64  // stored before, and no garbage has been collected since
	collections uint64 // when uncollected was observed
}

// observe records the number of garbage collections.
func (e *expectedMemory) observe(collections uint64) {
	if collections > e.collections {
		e.uncollected = 0
	}
	if e.stored > 0 || e.uncollected == 0 {
		e.uncollected, e.stored, e.collections = e.uncollected+e.stored, 0, collections
	}
}

// accept records a job of which the given memory is expected, and returns how much of that is to be passed to settle.
func (g *memoryGuard) accept(expected int64) int64 {
	if g.limit == 0 || expected < largeJob {
		return 0
	}
	g.expected.accepted += expected
	return expected
}

// settle records that an accepted job is stored or withdrawn.
func (g *memoryGuard) settle(expected int64, stored bool) {
	g.expected.accepted -= expected
	if stored {
		g.expected.stored += expected
	}
}

// refuses reports whether a job of which the given memory is expected is refused.
func (g *memoryGuard) refuses(expected int64) bool {
	if g.refusing || g.limit == 0 || expected < largeJob {
		return g.refusing
	}
	e := g.expected
	sum := float64(g.live) + float64(expected) + float64(g.reserved) + float64(e.accepted+e.stored+e.uncollected)
	return sum >= largeJobLevel*maxLiveShare*float64(g.limit)
}

// due reports whether the usage is to be observed again.
func (g *memoryGuard) due(now time.Time) bool {
	return g.limit > 0 && now.Sub(g.observed) >= memoryInterval
}

// observe records the usage at a time.
func (g *memoryGuard) observe(now time.Time, u MemoryUsage) {
	if g.limit == 0 {
		return
	}
	limit := float64(g.limit)
	g.observed, g.live = now, u.Live
	g.expected.observe(u.Collections)
	g.level = max(float64(u.Live)/(maxLiveShare*limit), float64(u.Total)/(maxTotalShare*limit))
	switch {
	case !g.refusing && g.level >= 1:
		g.refusing, g.peakLevel, g.peakAt = true, g.level, now
	case g.refusing && g.level < acceptLevel:
		g.refusing = false
	case g.refusing && g.level >= g.peakLevel:
		g.peakLevel, g.peakAt = g.level, now
	}
}

// retryAfter returns when the usage will have fallen far enough to accept jobs, judged by how it has fallen from its
// peak.
func (g *memoryGuard) retryAfter() time.Duration {
	if !g.refusing {
		return defaultMemoryRetry
	}
	fallen := g.peakLevel - g.level
	if fallen <= 0 {
		return defaultMemoryRetry
	}
	remaining := (g.level - acceptLevel) / fallen * float64(g.observed.Sub(g.peakAt))
	return time.Duration(min(max(remaining, float64(minMemoryRetry)), float64(maxMemoryRetry)))
}
