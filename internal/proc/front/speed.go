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
	// computationRounds is the length of the computation that is timed: some tens of microseconds.
	computationRounds = 10_000
	// samplesPerCheck is how often it is timed in one look.
	samplesPerCheck = 5
	// speedCheckInterval is between two looks that nobody has asked for; they find how fast the machine can be.
	speedCheckInterval = 5 * time.Second
	// slowdownThreshold is how many times as long as at its fastest the computation takes on a slowed machine.
	// Clock rates and neighbours on a core make a sound one up to twice as slow.
	slowdownThreshold = 3.0
)

// speedMonitor follows how fast this machine computes.
//
// The failure it guards against: a machine that has turned slow carries by its limits what it did before. It
// becomes the holder and starves under the work.
type speedMonitor struct {
	timeComputation func() time.Duration // times the computation once

	mu            sync.Mutex
	fastestMedian time.Duration // that it took in a look so far; 0: not known
}

// slowdown returns how many times slowdown this machine is now than it can be; 1 if it isn't clearly slowdown.
//
// The shortest try tells of now: whatever else runs on the processor, or a quota that is used up, rarely breaks
// into all of them. The fastest so far is one of medians, as a clock that is corrected stands still for a try or two.
func (p *speedMonitor) slowdown() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var tries [samplesPerCheck]time.Duration
	for i := range tries {
		tries[i] = p.timeComputation()
	}
	slices.Sort(tries[:])
	now, median := tries[0], tries[samplesPerCheck/2]
	if median <= 0 {
		return 1 // the clock is too coarse
	}
	if p.fastestMedian == 0 || median < p.fastestMedian {
		p.fastestMedian = median
	}
	if ratio := float64(now) / float64(p.fastestMedian); ratio >= slowdownThreshold {
		return ratio
	}
	return 1
}

// run looks at the machine's speed now and then until ctx ends.
func (p *speedMonitor) run(ctx context.Context) {
	for wait.For(ctx, speedCheckInterval) {
		p.slowdown()
	}
}

// timeFixedComputation times a fixed computation that touches no memory.
func timeFixedComputation() time.Duration {
	began := time.Now()
	x := uint64(1)
	for range computationRounds {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
	}
	took := time.Since(began)
	runtime.KeepAlive(x)
	return took
}
