package drive

import (
	"context"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/plat/store"
)

const (
	// MaxSubmissionAge is how old a submission may be, since it was sent, when a host passes it on to the holder.
	MaxSubmissionAge = 10 * time.Second
	// lateSubmissionWindow is how long after a cancel that found no job its id isn't accepted, as a submission from before
	// the cancel may still be on its way. It covers MaxSubmissionAge and the time for which a forwarded request is handled.
	lateSubmissionWindow = 15 * time.Second
	// maxCancelledIDs bounds the cancels that are remembered at a time.
	maxCancelledIDs = 10_000
)

// cancelledIDs are the ids of cancels that found no job, each for lateSubmissionWindow. Its zero value is empty.
type cancelledIDs struct {
	byID   map[string]*cancelledID
	oldest []*cancelledID // in the order of their cancels; an id that was cancelled again is in it more than once
}

// cancelledID is an id whose cancel found no job.
type cancelledID struct {
	id     string
	at     time.Time     // time of the newest cancel
	stored chan struct{} // closed once the id is in the store, for the next holder
	// withdrawn is set if the cancel withdrew the submission, so that only a repetition of it can still be on its way.
	withdrawn bool
}

// add adds an id and returns its entry, or nil if too many are remembered.
func (c *cancelledIDs) add(now time.Time, id string) *cancelledID {
	if len(c.oldest) >= maxCancelledIDs {
		return nil
	}
	if c.byID == nil {
		c.byID = map[string]*cancelledID{}
	}
	entry := &cancelledID{id: id, at: now, stored: make(chan struct{})}
	c.byID[id] = entry
	c.oldest = append(c.oldest, entry)
	return entry
}

// remaining returns for how long an id isn't accepted; 0: it is.
func (c *cancelledIDs) remaining(now time.Time, id string) time.Duration {
	entry := c.byID[id]
	if entry == nil {
		return 0
	}
	return max(lateSubmissionWindow-now.Sub(entry.at), 0)
}

// removeExpired removes the ids past the window and returns them.
func (c *cancelledIDs) removeExpired(now time.Time) []string {
	var expired []string
	for len(c.oldest) > 0 && now.Sub(c.oldest[0].at) >= lateSubmissionWindow {
		first := c.oldest[0]
		c.oldest = c.oldest[1:]
		if c.byID[first.id] == first {
			delete(c.byID, first.id)
			expired = append(expired, first.id)
		}
	}
	return expired
}

// noteCancelled remembers an id whose cancel finds no job, in this process and soon in the store. withdrawn is whether the
// cancel withdrew its submission. The caller holds h.mu.
func (h *Holder) noteCancelled(id string, withdrawn bool) {
	if entry := h.cancelledIDs.add(time.Now(), id); entry != nil {
		entry.withdrawn = withdrawn
		h.unstoredCancels = append(h.unstoredCancels, entry)
		wait.Wake(h.cancelWake)
	}
}

// replyCancelled returns the reply to a cancel that has found no job: that there is none, once the next holder will know
// that it mustn't accept the job either. It doesn't wait for that if the submission was withdrawn.
func (h *Holder) replyCancelled(ctx context.Context, id string) Reply {
	h.mu.Lock()
	entry := h.cancelledIDs.byID[id]
	h.mu.Unlock()
	if entry == nil {
		return RefusedReply("too many cancels of unknown jobs", retryAfterCancelFlood)
	}
	if entry.withdrawn {
		return Reply{Result: ResultNoJob}
	}
	select {
	case <-entry.stored:
		return Reply{Result: ResultNoJob}
	case <-ctx.Done():
	case <-h.ctx.Done():
	}
	return Reply{Result: ResultUnknown, Why: "store answers late"}
}

// storeCancelledIDs stores the ids of cancels that found no job until the tenure is over.
func (h *Holder) storeCancelledIDs() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.cancelWake:
		}
		for entries := h.takeUnstoredCancels(); len(entries) > 0; entries = h.takeUnstoredCancels() {
			var writes []store.Write
			for _, e := range entries {
				writes = append(writes, store.Write{Key: cancelledPrefix + e.id, Value: []byte("{}")})
			}
			if err := h.opt.Tenure.Commit(writes); err != nil {
				h.log.Info("write failed", "cause", err.Error(), "writes", len(writes))
				h.opt.Tenure.End()
				return
			}
			for _, e := range entries {
				close(e.stored)
			}
		}
	}
}

// takeUnstoredCancels returns the ids for one write.
func (h *Holder) takeUnstoredCancels() []*cancelledID {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := min(len(h.unstoredCancels), lead.MaxWrites)
	entries := h.unstoredCancels[:n:n]
	h.unstoredCancels = h.unstoredCancels[n:]
	return entries
}

// loadCancelledIDs reads the ids that former holders have stored. They are remembered for the whole window again.
func (h *Holder) loadCancelledIDs(now time.Time) error {
	entries, err := h.readPrefix(cancelledPrefix)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelledIDs = cancelledIDs{} // of an attempt that failed
	for _, e := range entries {
		if h.cancelledIDs.add(now, e.Key[len(cancelledPrefix):]) == nil {
			h.log.Info("too many cancelled ids in the store; the others are left out", "ids", len(entries))
			break
		}
	}
	return nil
}
