package drive

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// contactWindow is how many polls of workers that aren't in contact are under way at a time.
	contactWindow = 64
	// contactForget is how long one without an answer counts: workers that don't answer hold up nobody else for long.
	contactForget = 300 * time.Millisecond
)

// contacts has workers that aren't in contact polled in turn.
//
// The failure it guards against: a new holder polls all workers at once, needs longer for the connections than
// it waits for the answers, gives them up and begins anew, without an end.
type contacts struct {
	slots *semaphore.Weighted
}

func newContacts() contacts {
	return contacts{semaphore.NewWeighted(contactWindow)}
}

// enter waits for a turn and returns what ends it; an error says that ctx is over.
func (c contacts) enter(ctx context.Context) (leave func(), err error) {
	if err := c.slots.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	release := sync.OnceFunc(func() { c.slots.Release(1) })
	t := time.AfterFunc(contactForget, release)
	return func() {
		t.Stop()
		release()
	}, nil
}
