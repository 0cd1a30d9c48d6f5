package drive

import (
	"context"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
)

const (
	// maxResignDelay bounds the time that is taken to store what a successor has to know.
	maxResignDelay = 500 * time.Millisecond
	// maxAnswerWait is how long a holder that resigns waits for the answers to its starts.
	maxAnswerWait = 150 * time.Millisecond
	// resignCheckInterval is the time between two checks of what it waits for.
	resignCheckInterval = 5 * time.Millisecond
)

// PrepareResign ends the starting of tasks and stores what a successor has to know: a worker that has restarted a moment ago may
// have carried out the last starts, and be out of the successor's reach. It takes maxResignDelay at most.
func (h *Holder) PrepareResign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxResignDelay)
	defer cancel()
	h.mu.Lock()
	h.core.StopStarting()
	h.mu.Unlock()
	answers, cancelAnswers := context.WithTimeout(ctx, maxAnswerWait)
	defer cancelAnswers()
	h.await(answers, func() bool { return !h.core.HasStartsInFlight() })
	h.mu.Lock()
	h.core.GiveUpStarts()
	h.mu.Unlock()
	wait.Wake(h.urgentCommit)
	h.await(ctx, func() bool {
		return h.writeStarted.IsZero() && h.core.TrackedVersion() == h.trackedVersion && !h.core.HasUnstoredChanges()
	})
}

// await waits until a condition holds that is checked under h.mu, or until ctx or the tenure ends.
func (h *Holder) await(ctx context.Context, holds func() bool) {
	for h.ctx.Err() == nil {
		h.mu.Lock()
		ok := holds()
		h.mu.Unlock()
		if ok || !wait.For(ctx, resignCheckInterval) {
			return
		}
	}
}
