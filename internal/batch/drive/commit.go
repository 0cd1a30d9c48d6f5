package drive

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// round is one write with all that has gathered.
type round struct {
	writes  []store.Write
	subs    []*submission
	batch   *sched.Batch
	crew    []sched.Member
	load    int // the number of workers, as recorded with this write
	waiters []chan struct{}
}

// commits stores what has changed until the tenure is over.
func (h *Holder) commits() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.commit:
			// Nobody waits for progress alone: a little later it is one call with more.
			h.pause()
		case <-h.rush:
		}
		for {
			r, err := h.gather()
			if err != nil {
				// What had been taken to be stored is known here only; the next holder starts from what is stored.
				h.log.Error(err, "record can't be written")
				h.opt.Tenure.End()
				return
			}
			if r == nil {
				break
			}
			if len(r.writes) > 0 && !h.write(r) {
				return
			}
			h.settle(r)
		}
	}
}

// pause waits for more to store, until a caller waits.
func (h *Holder) pause() {
	t := time.NewTimer(gatherPause)
	defer t.Stop()
	select {
	case <-h.ctx.Done():
	case <-h.rush:
	case <-t.C:
	}
}

func (h *Holder) write(r *round) bool {
	err := h.opt.Tenure.Commit(r.writes)
	if err == nil {
		return true
	}
	h.log.Info("write failed", "cause", err.Error(), "writes", len(r.writes))
	h.opt.Tenure.End()
	return false
}

// gather takes what has to be stored, or returns nil when there is nothing.
func (h *Holder) gather() (*round, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &round{}
	room := lead.MaxWrites
	crew := h.core.Tracked()
	if !same(crew, h.crew) {
		data, err := json.Marshal(crew)
		if err != nil {
			return nil, errors.Wrap(err, "drive")
		}
		r.crew = crew
		r.writes = append(r.writes, store.Write{Key: keyTracked, Value: data})
		room--
	}
	if r.load = len(crew); r.load != h.counted {
		r.writes = append(r.writes, lead.LoadWrite(r.load))
		room--
	}
	// Half of the room is kept for progress: a flood of hand-ins mustn't keep ends from being stored.
	n := min(len(h.subs), room/2)
	r.subs, h.subs = h.subs[:n:n], h.subs[n:]
	for _, s := range r.subs {
		s.sent = true
		r.writes = append(r.writes, store.Write{Key: keyJob + s.job.ID, Value: s.data})
	}
	var err error
	if r.batch, err = h.core.Collect((room - n) / 2); err != nil {
		return nil, err
	}
	for _, rec := range r.batch.Records {
		r.writes = append(r.writes, store.Write{Key: keyRun + rec.ID, Value: rec.Data})
		if rec.Final {
			r.writes = append(r.writes, store.Write{Key: keyJob + rec.ID, Delete: true})
		}
		r.waiters = append(r.waiters, h.waiting[rec.ID]...)
		delete(h.waiting, rec.ID)
	}
	if len(r.writes) == 0 && r.batch.Empty() {
		return nil, nil
	}
	// What has been learned goes along with a write that is due anyway.
	if now := time.Now(); len(r.writes) > 0 && len(r.writes) < lead.MaxWrites && now.Sub(h.learned) > learnedEvery {
		data, err := h.core.Learned()
		if err != nil {
			return nil, err
		}
		h.learned = now
		r.writes = append(r.writes, store.Write{Key: keyLearned, Value: data})
	}
	if len(r.writes) > 0 {
		h.busy = time.Now()
	}
	return r, nil
}

func same(a, b []sched.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Life != b[i].Life || a[i].Addr != b[i].Addr {
			return false
		}
	}
	return true
}

// settle has what follows from a write happen.
func (h *Holder) settle(r *round) {
	now := time.Now()
	h.mu.Lock()
	h.busy = time.Time{}
	for _, s := range r.subs {
		h.core.Admit(now, s.job)
		delete(h.byID, s.job.ID)
		close(s.done)
	}
	h.core.Committed(r.batch)
	if r.crew != nil {
		h.crew = r.crew
		h.core.TrackedStored(r.crew)
	}
	h.counted = r.load
	close(h.stored)
	h.stored = make(chan struct{})
	h.mu.Unlock()
	for _, w := range r.waiters {
		close(w)
	}
	h.event()
}

// forgets drops jobs that ended long ago, here and in the store.
func (h *Holder) forgets() {
	for wait.For(h.ctx, forgetEvery) {
		h.mu.Lock()
		gone := h.core.Forget(time.Now(), h.opt.Keep)
		h.mu.Unlock()
		for len(gone) > 0 {
			n := min(len(gone), lead.MaxWrites)
			var do []store.Write
			for _, id := range gone[:n] {
				do = append(do, store.Write{Key: keyRun + id, Delete: true})
			}
			gone = gone[n:]
			if err := h.opt.Tenure.Commit(do); err != nil {
				return
			}
		}
	}
}
