package front

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
)

const (
	// computationRounds is the number of rounds of the timed computation, which takes some tens of microseconds.
	computationRounds = 10_000
	// samplesPerCheck is how often the computation is timed in one check.
	samplesPerCheck = 5
	// speedCheckInterval is the interval of the regular checks, which are made to learn the machine's full speed.
	speedCheckInterval = 5 * time.Second
	// slowdownThreshold is the ratio of the computation's current time to its fastest from which a machine counts as
	// slowed. Clock rates, and neighbours on the same core, make a healthy machine up to twice as slow.
	slowdownThreshold = 3.0
)

// speedMonitor measures how much slower this machine is than at its full speed.
//
// The configured limits alone give a slowed machine the same capacity as before. It would become the holder, and be
// overloaded by its work.
type speedMonitor struct {
	timeComputation func() time.Duration // times the computation once

	mu            sync.Mutex
	fastestMedian time.Duration // shortest median of a check so far; 0: not known
}

// slowdown makes a check and returns how many times slower this machine is than at its full speed, or 1 if the ratio is
// below slowdownThreshold.
//
// The current speed is that of the shortest sample, as other load on the processor, or an exhausted CPU quota, rarely
// interrupts all samples. The full speed is that of the shortest median, as a clock that is being corrected may stand
// still for one or two samples.
func (m *speedMonitor) slowdown() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var samples [samplesPerCheck]time.Duration
	for i := range samples {
		samples[i] = m.timeComputation()
	}
	slices.Sort(samples[:])
	shortest, median := samples[0], samples[samplesPerCheck/2]
	if median <= 0 {
		return 1 // the clock's resolution is too coarse
	}
	if m.fastestMedian == 0 || median < m.fastestMedian {
		m.fastestMedian = median
	}
	if ratio := float64(shortest) / float64(m.fastestMedian); ratio >= slowdownThreshold {
		return ratio
	}
	return 1
}

// run makes a check every speedCheckInterval until ctx ends.
func (m *speedMonitor) run(ctx context.Context) {
	for wait.For(ctx, speedCheckInterval) {
		m.slowdown()
	}
}

// timeFixedComputation times a fixed computation that doesn't access memory.
func timeFixedComputation() time.Duration {
	start := time.Now()
	x := uint64(1)
	for range computationRounds {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
	}
	elapsed := time.Since(start)
	runtime.KeepAlive(x)
	return elapsed
}
