package front

import (
	"context"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
)

const (
	// handAfter is how long a holder does its work before it may hand over: by then it has heard of
	// the workers and renewed their leases, which outlast the change.
	handAfter = 3 * time.Second
	// handLook is between two looks at what this holder carries, and handEvery between two looks for a
	// successor, each a call to every follower.
	handLook  = 500 * time.Millisecond
	handEvery = 2 * time.Second
	handLimit = time.Second
	// handRest keeps a holder that has handed over from claiming: its successor claims at once.
	handRest = 2 * time.Second
	// handAgain is how long a process that has handed over, and holds again, keeps the key: the
	// successor couldn't hold it, and going to and fro would cost more than being late.
	handAgain = time.Minute
	// handGain is how many times as much a successor has to carry to be worth the change.
	handGain = 1.5
	// closeLimit bounds giving up the key, which goes with its lease if that fails.
	closeLimit = time.Second
)

// offer is how things look from a follower.
type offer struct {
	addr string
	Outlook
}

// successor chooses the follower to hand over to: the one that carries most. There is none if the
// holder of a term carries its workers, or if no follower carries clearly more and reaches the store.
//
// A holder whose limits would do, but whose machine has turned slow, hands over only to a follower that carries
// all workers: any other would hand over again, and slowness passes.
func successor(carries, limits, workers int, term int64, offers []offer) (offer, bool) {
	var best offer
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
	return best, float64(best.Carries) >= handGain*float64(carries)
}

// hand gives the key up once when this holder carries fewer workers than there are and a follower
// carries clearly more. Not while tasks wait for workers out of reach: the successor would wait anew.
//
// The failure it guards against: when all hosts start for the first time, or when the strong ones
// were away, a weak host becomes the holder and stays so for good, or the holder's machine turns slow; under it
// orders time out and workers' leases lapse. Given up, the key goes to a host that carries the workers, as the
// others leave it a vacant one (see lead.Options).
func (h *Host) hand(t *lead.Tenure) {
	limits := carries(h.set.Limit, 1)
	first := handAfter
	if at := h.handed.Load(); at != nil {
		first = max(first, handAgain-time.Since(*at))
	}
	if limits <= 0 || !wait.For(t.Context(), first) {
		return
	}
	var asked time.Time
	for ; t.Context().Err() == nil; wait.For(t.Context(), handLook) {
		d := h.desk.own()
		carries := h.carries()
		if d == nil || time.Since(asked) < handEvery || time.Since(t.ConfirmedAt()) > aidAfter || d.TrackedWorkerCount() <= carries || d.HasWithheldTasks() {
			continue
		}
		asked = time.Now()
		workers := d.TrackedWorkerCount()
		offers := h.peer.ask(t.Context(), h.peer.known(t.ConfirmedAt()), handLimit)
		// One look alone may be mistaken, or the machine may be fast again.
		carries = max(carries, h.carries())
		to, ok := successor(carries, limits, workers, t.Term(), offers)
		if !ok {
			continue
		}
		h.log.Info("hands over", "term", t.Term(), "carries", carries, "limits", limits, "workers", workers, "to", to.addr, "offers", to.Carries)
		now := time.Now()
		h.handed.Store(&now)
		h.lead.SuspendClaims(handRest)
		ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
		h.resign(ctx, t)
		cancel()
		return
	}
}

// resign gives the key up, so that another process takes over at once.
func (h *Host) resign(ctx context.Context, t *lead.Tenure) {
	h.desk.setOwn(nil)
	if err := t.Resign(ctx); err != nil {
		h.log.Info("not resigned", "cause", err.Error())
	}
}
