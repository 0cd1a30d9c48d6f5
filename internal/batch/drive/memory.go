package drive

import "time"

// MemoryUsage is the memory that a process uses, in bytes.
type MemoryUsage struct {
	Live  uint64 // what a garbage collection can't free
	Total uint64 // what the process has obtained and not returned
}

const (
	// maxLiveShare and maxTotalShare are the shares of the memory limit at which new jobs are refused. The total is
	// expected to stay below maxTotalShare as long as garbage can be freed.
	maxLiveShare  = 0.75
	maxTotalShare = 0.95
	// acceptLevel is the level below which new jobs are accepted again.
	acceptLevel = 0.93
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
	g.observed = now
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
	fallen := g.peakLevel - g.level
	if fallen <= 0 {
		return defaultMemoryRetry
	}
	remaining := (g.level - acceptLevel) / fallen * float64(g.observed.Sub(g.peakAt))
	return time.Duration(min(max(remaining, float64(minMemoryRetry)), float64(maxMemoryRetry)))
}
