package front

import (
	"context"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/agent"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
)

const (
	// minTenureBeforeHandover is how long a process is the holder before it may hand over. By then it has polled the
	// workers and renewed their leases, which last longer than a change of holder takes.
	minTenureBeforeHandover = 3 * time.Second
	// capacityCheckInterval is the time between two checks of the holder's capacity.
	capacityCheckInterval = 500 * time.Millisecond
	// successorSearchInterval is the minimum time between two searches for a successor, each of which calls every
	// follower.
	successorSearchInterval = 2 * time.Second
	// successorSearchTimeout limits the wait for the followers' replies in a search.
	successorSearchTimeout = time.Second
	// claimPauseAfterHandover is how long a process doesn't claim after a handover. Its successor claims at once, well
	// within that time.
	claimPauseAfterHandover = 2 * time.Second
	// minHandoverInterval is the minimum time between two handovers of one process. If it is the holder again, its
	// successor couldn't remain the holder, and handing over back and forth would cost more than working late.
	minHandoverInterval = time.Minute
	// minCapacityGain is the minimum ratio of the successor's capacity to the holder's. For less, a handover costs more
	// than it gains.
	minCapacityGain = 1.5
	// resignTimeout limits the deletion of the holder's key. If it fails, the key is deleted when its lease expires.
	resignTimeout = time.Second
)

// chooseSuccessor returns the follower to hand over to: the one with the most capacity among those that reach the store
// and know of no newer term. It returns false if the holder's capacity suffices for its workers or isn't known, or if
// that follower has less than minCapacityGain times the holder's capacity.
//
// A holder that would have enough capacity at its machine's full speed hands over only to a follower with capacity for
// all workers. Any other follower would hand over again, and a slowdown passes.
func chooseSuccessor(capacity, fullSpeedCapacity, workers int, term int64, replies []followerReply) (followerReply, bool) {
	var best followerReply
	if capacity <= 0 || workers <= capacity {
		return best, false
	}
	for _, reply := range replies {
		if !reply.Failing && reply.Term <= term && reply.Carries > best.Carries {
			best = reply
		}
	}
	if fullSpeedCapacity >= workers && best.Carries < workers {
		return best, false
	}
	return best, float64(best.Carries) >= minCapacityGain*float64(capacity)
}

// comparedCapacity returns the holder's capacity with which that of the followers is compared: the current one, or that at
// full speed if agents make its calls. These take most of the work off it, so that a slowdown costs it less than a
// handover, and a follower with the same limits would be no better.
func comparedCapacity(current, fullSpeed int, agentsInUse bool) int {
	if agentsInUse {
		return max(current, fullSpeed)
	}
	return current
}

// handOverIfOverloaded resigns when this holder has more workers than capacity and a follower has clearly more
// capacity. It doesn't resign while the store doesn't confirm the holder, nor while tasks are withheld, as the
// successor would withhold them for the full time again.
//
// A host with too little capacity becomes the holder when all hosts start for the first time, or when the larger ones
// were down; or the holder's machine becomes slow. Without a handover it would remain the holder, while orders time out
// and workers' leases expire. After the handover, a host with enough capacity becomes the holder, as the others delay
// their claims (see lead.Options.Capacity).
func (p *Process) handOverIfOverloaded(t *lead.Tenure, client *agent.Client) {
	fullSpeedCapacity := workerCapacity(p.settings.Limit, 1)
	delay := minTenureBeforeHandover
	if at := p.lastHandover.Load(); at != nil {
		delay = max(delay, minHandoverInterval-time.Since(*at))
	}
	if fullSpeedCapacity <= 0 || !wait.For(t.Context(), delay) {
		return
	}
	var lastSearch time.Time
	for ; t.Context().Err() == nil; wait.For(t.Context(), capacityCheckInterval) {
		holder := p.forwarder.localHolder()
		capacity := p.capacity()
		if holder == nil || time.Since(lastSearch) < successorSearchInterval || time.Since(t.ConfirmedAt()) > storeSilentAfter || holder.TrackedWorkerCount() <= capacity || holder.HasWithheldTasks() {
			continue
		}
		lastSearch = time.Now()
		workers := holder.TrackedWorkerCount()
		replies := p.monitor.queryFollowers(t.Context(), p.monitor.followers(t.ConfirmedAt()), successorSearchTimeout)
		// A single check may be wrong, or the machine may have recovered in the meantime.
		capacity = comparedCapacity(max(capacity, p.capacity()), fullSpeedCapacity, client.InUse())
		successor, ok := chooseSuccessor(capacity, fullSpeedCapacity, workers, t.Term(), replies)
		if !ok {
			continue
		}
		p.log.Info("hands over", "term", t.Term(), "carries", capacity, "limits", fullSpeedCapacity, "workers", workers, "to", successor.addr, "offers", successor.Carries)
		now := time.Now()
		p.lastHandover.Store(&now)
		p.elector.SuspendClaims(claimPauseAfterHandover)
		ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
		p.resign(ctx, t)
		cancel()
		return
	}
}

// resign ends the tenure and deletes the holder's key, so that another process can take over at once.
func (p *Process) resign(ctx context.Context, t *lead.Tenure) {
	if h := p.forwarder.localHolder(); h != nil {
		h.PrepareResign(ctx)
	}
	p.forwarder.setLocalHolder(nil)
	if err := t.Resign(ctx); err != nil {
		p.log.Info("holder's key not deleted, its lease will expire", "cause", err.Error())
	}
}
