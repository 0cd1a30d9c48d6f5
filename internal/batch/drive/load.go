package drive

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

const (
	// loadRetryDelay is the pause after a failed attempt to load a part of the state.
	loadRetryDelay = 100 * time.Millisecond
	// loadingPollDelay is how long the state is loaded before the workers are polled meanwhile. A load that takes less is
	// over sooner without the polls, and leaves enough of the leases.
	loadingPollDelay = 700 * time.Millisecond
	// loadingPollPause is the pause between two polls of a worker while the state is loaded. They only renew its lease: its
	// ends can't be handled yet, so that it answers at once with the same ones.
	loadingPollPause = 700 * time.Millisecond
)

// loadState loads the core from the store and returns the watches of the intent and the directory; start is when the tenure's
// work began. It fails only if the tenure ends.
//
// Each part is read again until it is received, and those before it are kept: over a narrow link an attempt that begins with
// the first part may never get to the last one. The tracked workers come first, so that their leases are renewed if the rest
// takes long.
func (h *Holder) loadState(start time.Time) ([]*prefixWatch, error) {
	core := sched.New(sched.Options{
		WorkerLease: h.opt.WorkerLease, MaxWorkerLease: h.opt.MaxWorkerLease, MaxStopTime: h.opt.MaxStopTime, MaxUnconfirmed: h.opt.MaxUnconfirmed, Term: h.opt.Tenure.Term(),
		AwaitRelease: true,
	}, start)
	core.BeginRestore()
	watches, stored := h.newWatches(), &storedJobs{}
	for _, part := range []struct {
		name string
		load func() error
	}{
		{"tracked workers", func() error { return h.loadTrackedWorkers(core, start) }},
		{"progress", func() (err error) { stored.records, err = h.readPrefix(progressPrefix); return err }},
		{"jobs", func() (err error) { stored.jobs, err = h.readPrefix(jobPrefix); return err }},
		{"restored jobs", func() error {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.undecodedJobs = stored.restore(core, start)
			return nil
		}},
		{"cancelled ids", func() error { return h.loadCancelledIDs(start) }},
		{"learned model", func() error { return h.readLearnedModel(core) }},
		{"intent", func() error { return watches[0].readAll(h.ctx) }},
		{"directory", func() error { return watches[1].readAll(h.ctx) }},
	} {
		if err := h.loadPart(part.name, part.load); err != nil {
			return nil, err
		}
	}
	h.logUndecodedJobs()
	h.mu.Lock()
	core.EndRestore()
	h.mu.Unlock()
	close(h.loaded)
	return watches, nil
}

// loadPart loads a part of the state, with retries until it succeeds or the tenure is over.
func (h *Holder) loadPart(name string, load func() error) error {
	for {
		err := load()
		if err == nil {
			return nil
		}
		h.log.Info("loading the state from the store failed; retrying", "part", name, "cause", err.Error())
		if !wait.For(h.ctx, loadRetryDelay) {
			return errors.Wrap(err, "drive")
		}
	}
}

// newWatches returns the watches of the intent and the directory.
func (h *Holder) newWatches() []*prefixWatch {
	return []*prefixWatch{
		{
			store: h.opt.Store, relay: h.opt.Relay, prefix: h.opt.Codec.IntentPrefix, readInterval: intentReadInterval,
			onChange: h.applyIntent, onConfirm: h.noteIntentRead,
		},
		{
			store: h.opt.Store, prefix: h.opt.Codec.DirectoryPrefix, readInterval: directoryReadInterval, pause: directoryWatchPause,
			onChange: h.applyDirectory, onUpdate: h.updateDirectory, onConfirm: h.noteDirectoryRead,
		},
	}
}

// loadTrackedWorkers reads the workers that may hold runs, and polls them once loading takes long.
func (h *Holder) loadTrackedWorkers(core *sched.Core, start time.Time) error {
	tracked, err := h.readTrackedWorkers()
	if err != nil {
		return err
	}
	core.InheritWorkers(start, tracked)
	h.mu.Lock()
	h.core = core
	h.trackedWorkers = tracked
	h.mu.Unlock()
	h.wg.Go(func() {
		if h.awaitLoaded(loadingPollDelay); h.ctx.Err() == nil {
			h.pollWorkers()
		}
	})
	return nil
}

// awaitLoaded waits until the state is loaded, for the given time at most.
func (h *Holder) awaitLoaded(most time.Duration) {
	select {
	case <-h.loaded:
		return
	default:
	}
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-h.loaded:
	case <-t.C:
	case <-h.ctx.Done():
	}
}

// readTrackedWorkers reads the workers that may hold runs, as the former holder stored them.
func (h *Holder) readTrackedWorkers() ([]sched.Member, error) {
	e, err := h.opt.Store.Get(h.ctx, keyTrackedWorkers)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var tracked []sched.Member
	err = json.Unmarshal(e.Value, &tracked)
	return tracked, errors.Wrap(err, "drive: crew")
}

// readLearnedModel restores the learned model. One that can't be decoded is logged and ignored.
func (h *Holder) readLearnedModel(core *sched.Core) error {
	e, err := h.opt.Store.Get(h.ctx, keyLearnedModel)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := core.RestoreModel(e.Value); err != nil {
		h.log.Error(err, "stored model not decoded; learning starts from scratch")
	}
	return nil
}

// storedJobs are the jobs as stored. A job that ends between the two reads would be restored with outdated progress and
// without its spec. None does, because the tenure's claim makes later writes of the former holder fail.
type storedJobs struct {
	records []store.Entry // their progress
	jobs    []store.Entry // what was submitted
}

// restore restores the jobs and returns by id why the others can't be decoded.
func (s *storedJobs) restore(core *sched.Core, now time.Time) map[string]error {
	progress := make(map[string][]byte, len(s.records))
	for _, e := range s.records {
		progress[e.Key[len(progressPrefix):]] = e.Value
	}
	undecoded := map[string]error{}
	for _, e := range s.jobs {
		id := e.Key[len(jobPrefix):]
		spec := &sched.Job{}
		err := errors.Wrap(json.Unmarshal(e.Value, spec), "drive")
		if err == nil {
			err = core.RestoreJob(now, id, spec, progress[id])
		}
		if err != nil {
			undecoded[id] = err
		}
		delete(progress, id)
	}
	for id, data := range progress {
		if err := core.RestoreJob(now, id, nil, data); err != nil {
			undecoded[id] = err
		}
	}
	return undecoded
}

// maxLoggedJobs bounds the jobs that are logged as not decoded.
const maxLoggedJobs = 20

// logUndecodedJobs logs the jobs that are in the store and can't be decoded. They stay there.
func (h *Holder) logUndecodedJobs() {
	logged := 0
	for id, err := range h.undecodedJobs {
		if logged++; logged > maxLoggedJobs {
			break
		}
		h.log.Error(err, "stored job not decoded; it is left out", "job", id, "of", len(h.undecodedJobs))
	}
}

// readPrefix reads the entries below a prefix.
func (h *Holder) readPrefix(prefix string) ([]store.Entry, error) {
	listing, err := h.opt.Store.Range(h.ctx, prefix)
	return listing.Entries, err
}
