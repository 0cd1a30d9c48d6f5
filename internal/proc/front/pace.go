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
	// paceRounds is the length of the computation that is timed: some tens of microseconds.
	paceRounds = 10_000
	// paceTries is how often it is timed in one look.
	paceTries = 5
	// paceEvery is between two looks that nobody has asked for; they find how fast the machine can be.
	paceEvery = 5 * time.Second
	// slowFrom is how many times as long as at its fastest the computation takes on a slowed machine.
	// Clock rates and neighbours on a core make a sound one up to twice as slow.
	slowFrom = 3.0
)

// pace follows how fast this machine computes.
//
// The failure it guards against: a machine that has turned slow carries by its limits what it did before. It
// becomes the holder and starves under the work.
type pace struct {
	measure func() time.Duration // times the computation once

	mu    sync.Mutex
	least time.Duration // that it took in a look so far; 0: not known
}

// slower returns how many times slower this machine is now than it can be; 1 if it isn't clearly slower.
//
// The shortest try tells of now: whatever else runs on the processor, or a quota that is used up, rarely breaks
// into all of them. The fastest so far is one of medians, as a clock that is corrected stands still for a try or two.
func (p *pace) slower() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var tries [paceTries]time.Duration
	for i := range tries {
		tries[i] = p.measure()
	}
	slices.Sort(tries[:])
	now, median := tries[0], tries[paceTries/2]
	if median <= 0 {
		return 1 // the clock is too coarse
	}
	if p.least == 0 || median < p.least {
		p.least = median
	}
	if ratio := float64(now) / float64(p.least); ratio >= slowFrom {
		return ratio
	}
	return 1
}

// follow looks at the machine's speed now and then until ctx ends.
func (p *pace) follow(ctx context.Context) {
	for wait.For(ctx, paceEvery) {
		p.slower()
	}
}

// compute times a fixed computation that touches no memory.
func compute() time.Duration {
	began := time.Now()
	x := uint64(1)
	for range paceRounds {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
	}
	took := time.Since(began)
	runtime.KeepAlive(x)
	return took
}
