package stall

import (
	"context"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
)

const (
	// beatInterval is the time between two beats of Run.
	beatInterval = 100 * time.Millisecond
	// minStall is the least time without a beat that counts as a stall.
	minStall = time.Second
	// readTime is how long after a stall it takes to read what has arrived in it.
	readTime = 2 * time.Second
)

// Detector notices that the process has stood still: it was stopped, its machine was suspended, or it got no processor time.
// Its zero value knows of no stall. It is safe for concurrent use.
type Detector struct {
	mu       sync.Mutex
	lastBeat time.Time     // zero: there was none
	length   time.Duration // of the stalls since readTime before the last one ended; 0: there was none
	endedAt  time.Time     // when the last one ended
}

// Run beats until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	for {
		d.Beat(time.Now())
		if !wait.For(ctx, beatInterval) {
			return
		}
	}
}

// Beat records that the process runs at now.
func (d *Detector) Beat(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beat(now)
}

// beat does the work of Beat.
func (d *Detector) beat(now time.Time) {
	if gap := wait.Elapsed(now, d.lastBeat); !d.lastBeat.IsZero() && gap >= minStall {
		if wait.Elapsed(now, d.endedAt)-gap > readTime {
			d.length = 0
		}
		d.length += gap
		d.endedAt = now
	}
	d.lastBeat = now
}

// MaxAge returns for how long at most what the process reads at now has waited to be read, because the process stood still;
// 0 if it didn't.
func (d *Detector) MaxAge(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beat(now)
	since := wait.Elapsed(now, d.endedAt)
	if d.length == 0 || since > readTime {
		return 0
	}
	return d.length + since
}
