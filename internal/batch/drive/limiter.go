package drive

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// maxPollSlots is how many polls of workers out of contact may be in flight at a time.
	maxPollSlots = 64
	// pollSlotTimeout is how long an unanswered poll occupies its slot, so that workers that don't answer delay
	// the polls of others only briefly.
	pollSlotTimeout = 300 * time.Millisecond
)

// pollLimiter bounds the concurrent polls of workers out of contact, including those not heard from yet.
//
// It guards against a new holder that polls all workers at once, needs longer to connect than it waits for the
// answers, abandons the polls and starts over, without end.
type pollLimiter struct {
	slots *semaphore.Weighted
}

func newPollLimiter() pollLimiter {
	return pollLimiter{semaphore.NewWeighted(maxPollSlots)}
}

// acquire waits for a slot and returns a function that releases it. It fails only if ctx ends.
func (l pollLimiter) acquire(ctx context.Context) (release func(), err error) {
	if err := l.slots.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	releaseOnce := sync.OnceFunc(func() { l.slots.Release(1) })
	t := time.AfterFunc(pollSlotTimeout, releaseOnce)
	return func() {
		t.Stop()
		releaseOnce()
	}, nil
}
