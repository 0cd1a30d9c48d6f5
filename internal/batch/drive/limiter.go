package drive

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// maxPollSlots is how many polls of workers that aren't in contact are under way at a time.
	maxPollSlots = 64
	// pollSlotTimeout is how long one without an answer counts: workers that don't answer hold up nobody else for long.
	pollSlotTimeout = 300 * time.Millisecond
)

// pollLimiter has workers that aren't in contact polled in turn.
//
// The failure it guards against: a new holder polls all workers at once, needs longer for the connections than
// it waits for the answers, gives them up and begins anew, without an end.
type pollLimiter struct {
	slots *semaphore.Weighted
}

func newPollLimiter() pollLimiter {
	return pollLimiter{semaphore.NewWeighted(maxPollSlots)}
}

// acquire waits for a turn and returns what ends it; an error says that ctx is over.
func (c pollLimiter) acquire(ctx context.Context) (leave func(), err error) {
	if err := c.slots.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	release := sync.OnceFunc(func() { c.slots.Release(1) })
	t := time.AfterFunc(pollSlotTimeout, release)
	return func() {
		t.Stop()
		release()
	}, nil
}
