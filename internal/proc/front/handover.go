package front

import (
	"context"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
)

const (
	// minTenureBeforeHandover is how long a holder does its work before it may hand over: by then it has heard of
	// the workers and renewed their leases, which outlast the change.
	minTenureBeforeHandover = 3 * time.Second
	// capacityCheckInterval is between two looks at what this holder carries, and handEvery between two looks for a
	// successor, each a call to every follower.
	capacityCheckInterval   = 500 * time.Millisecond
	successorSearchInterval = 2 * time.Second
	successorSearchTimeout  = time.Second
	// claimPauseAfterHandover keeps a holder that has handed over from claiming: its successor claims at once.
	claimPauseAfterHandover = 2 * time.Second
	// minHandoverInterval is how long a process that has handed over, and holds again, keeps the key: the
	// successor couldn't hold it, and going to and fro would cost more than being late.
	minHandoverInterval = time.Minute
	// minCapacityGain is how many times as much a successor has to carry to be worth the change.
	minCapacityGain = 1.5
	// resignTimeout bounds giving up the key, which goes with its lease if that fails.
	resignTimeout = time.Second
)

// followerReply is how things look from a follower.
type followerReply struct {
	addr string
	FollowerStatus
}

// chooseSuccessor chooses the follower to hand over to: the one that carries most. There is none if the
// holder of a term carries its workers, or if no follower carries clearly more and reaches the store.
//
// A holder whose limits would do, but whose machine has turned slow, hands over only to a follower that carries
// all workers: any other would hand over again, and slowness passes.
func chooseSuccessor(carries, limits, workers int, term int64, offers []followerReply) (followerReply, bool) {
	var best followerReply
	if carries <= 0 || workers <= carries {
		return best, false
	}
	for _, o := range offers {
		if !o.Failing && o.Term <= term && o.Carries > best.Carries {
			best = o
		}
	}
	if limits >= workers && best.Carries < workers {
		return best, false
	}
	return best, float64(best.Carries) >= minCapacityGain*float64(carries)
}

// handOverIfOverloaded gives the key up once when this holder carries fewer workers than there are and a follower
// carries clearly more. Not while tasks wait for workers out of reach: the successor would wait anew.
//
// The failure it guards against: when all hosts start for the first time, or when the strong ones
// were away, a weak host becomes the holder and stays so for good, or the holder's machine turns slow; under it
// orders time out and workers' leases lapse. Given up, the key goes to a host that carries the workers, as the
// others leave it a vacant one (see lead.Options).
func (h *Process) handOverIfOverloaded(t *lead.Tenure) {
	limits := workerCapacity(h.settings.Limit, 1)
	first := minTenureBeforeHandover
	if at := h.lastHandover.Load(); at != nil {
		first = max(first, minHandoverInterval-time.Since(*at))
	}
	if limits <= 0 || !wait.For(t.Context(), first) {
		return
	}
	var asked time.Time
	for ; t.Context().Err() == nil; wait.For(t.Context(), capacityCheckInterval) {
		d := h.forwarder.localHolder()
		carries := h.capacity()
		if d == nil || time.Since(asked) < successorSearchInterval || time.Since(t.ConfirmedAt()) > storeSilentAfter || d.TrackedWorkerCount() <= carries || d.HasWithheldTasks() {
			continue
		}
		asked = time.Now()
		workers := d.TrackedWorkerCount()
		offers := h.monitor.queryFollowers(t.Context(), h.monitor.followers(t.ConfirmedAt()), successorSearchTimeout)
		// One look alone may be mistaken, or the machine may be fast again.
		carries = max(carries, h.capacity())
		to, ok := chooseSuccessor(carries, limits, workers, t.Term(), offers)
		if !ok {
			continue
		}
		h.log.Info("hands over", "term", t.Term(), "carries", carries, "limits", limits, "workers", workers, "to", to.addr, "offers", to.Carries)
		now := time.Now()
		h.lastHandover.Store(&now)
		h.elector.SuspendClaims(claimPauseAfterHandover)
		ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
		h.resign(ctx, t)
		cancel()
		return
	}
}

// resign gives the key up, so that another process takes over at once.
func (h *Process) resign(ctx context.Context, t *lead.Tenure) {
	h.forwarder.setLocalHolder(nil)
	if err := t.Resign(ctx); err != nil {
		h.log.Info("not resigned", "cause", err.Error())
	}
}
