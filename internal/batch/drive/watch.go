package drive

import (
	"context"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// prefixWatch keeps a copy of the keys below a prefix and reports each change.
type prefixWatch struct {
	store  store.TxnStore
	prefix string
	// readInterval is the interval of full reads besides the watch. A watch may be cut off from its changes, and
	// its silence looks the same as when there are none.
	readInterval time.Duration
	// pause is the pause between two watches, so that one call returns all changes made in it.
	pause time.Duration
	// onChange is called with all entries, sorted by key, when they may have changed; at is the time of the read
	// or change.
	onChange func(at time.Time, entries []store.Entry)
	// onUpdate is called instead of onChange with the entries that a watch has changed and the keys that it has
	// deleted, both sorted by key. nil: onChange is called.
	onUpdate func(at time.Time, changed []store.Entry, deleted []string)
	// onConfirm is called when the copy is known to be no older than a read that began at start.
	onConfirm func(start time.Time)

	entries   map[string]store.Entry // the copy, by key
	rev       uint64                 // revision of the store that the copy reflects
	freshAsOf time.Time              // start of the latest read that the copy is no older than
}

const (
	// watchTimeout is how long a watch waits for changes. Each watch costs a call.
	watchTimeout = 10 * time.Second
	// watchRetryDelay is the delay after a watch or full read that failed. Without it the calls of a holder whose reads
	// are refused for the store's rate limit would keep the limit exceeded.
	watchRetryDelay = 150 * time.Millisecond
)

// readResult is the result of one full read.
type readResult struct {
	start   time.Time // when it began
	listing store.Listing
	err     error
}

// read makes a full read.
func (w *prefixWatch) read(ctx context.Context) readResult {
	start := time.Now()
	listing, err := w.store.Range(ctx, w.prefix)
	return readResult{start, listing, err}
}

// readAll replaces the copy by a full read.
func (w *prefixWatch) readAll(ctx context.Context) error {
	res := w.read(ctx)
	w.applyRead(res)
	return res.err
}

// applyRead replaces the copy by the result of a full read unless the copy is newer. If the read failed, the copy stays
// and the core sees its age.
func (w *prefixWatch) applyRead(res readResult) {
	if res.err != nil {
		return
	}
	if res.listing.Rev >= w.rev {
		w.rev = res.listing.Rev
		w.entries = make(map[string]store.Entry, len(res.listing.Entries))
		for _, e := range res.listing.Entries {
			w.entries[e.Key] = e
		}
		w.notifyChange(res.start)
	}
	w.confirmFresh(res.start)
}

// confirmFresh records that the copy is no older than a read that began at start.
func (w *prefixWatch) confirmFresh(start time.Time) {
	if start.After(w.freshAsOf) {
		w.freshAsOf = start
	}
	w.onConfirm(start)
}

// notifyChange calls onChange with the sorted entries.
func (w *prefixWatch) notifyChange(at time.Time) {
	entries := make([]store.Entry, 0, len(w.entries))
	for _, e := range w.entries {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	w.onChange(at, entries)
}

// watchResult is the result of one watch.
type watchResult struct {
	start   time.Time // when it began
	changes []store.Change
	rev     uint64 // revision to continue from
	err     error
}

// watch waits for changes after a revision.
func (w *prefixWatch) watch(ctx context.Context, rev uint64) watchResult {
	wait.For(ctx, w.pause)
	start := time.Now()
	changes, next, err := w.store.Watch(ctx, w.prefix, rev, watchTimeout)
	if err != nil {
		wait.For(ctx, watchRetryDelay)
	}
	return watchResult{start, changes, next, err}
}

// run keeps the copy up to date until ctx ends. Full reads run beside the watch, so that a slow one delays no change.
func (w *prefixWatch) run(ctx context.Context) {
	tick := time.NewTicker(w.readInterval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	results, reads := make(chan watchResult, 1), make(chan readResult, 1)
	reading, watching := false, false
	startWatch := func() {
		watching = true
		rev := w.rev
		wg.Go(func() { results <- w.watch(ctx, rev) })
	}
	startRead := func() {
		if !reading {
			reading = true
			wg.Go(func() {
				res := w.read(ctx)
				if res.err != nil {
					wait.For(ctx, watchRetryDelay)
				}
				reads <- res
			})
		}
	}
	startWatch()
	for {
		ticks := tick.C
		if reading {
			ticks = nil // the ticker keeps a tick until the read has ended
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			if time.Since(w.freshAsOf) >= w.readInterval/2 { // otherwise the watch delivers changes, so it isn't cut off
				startRead()
			}
		case res := <-reads:
			reading = false
			w.applyRead(res)
			if !watching {
				startWatch()
			}
		case res := <-results:
			watching = false
			w.applyResult(res)
			if res.err != nil {
				startRead()
			}
			if !errors.Is(res.err, store.ErrCompacted) {
				startWatch() // after a compaction, only a full read gives a revision to watch from
			}
		}
	}
}

// applyResult applies the result of a watch to the copy.
func (w *prefixWatch) applyResult(res watchResult) {
	if res.err != nil || res.rev < w.rev {
		return
	}
	w.rev = res.rev
	if len(res.changes) == 0 {
		return
	}
	touched := make(map[string]bool, len(res.changes)) // keys
	for _, c := range res.changes {
		touched[c.Key] = true
		switch {
		case c.Rev < w.entries[c.Key].Rev: // a full read has returned a newer entry
		case c.Deleted:
			delete(w.entries, c.Key)
		default:
			w.entries[c.Key] = c.Entry
		}
	}
	if w.onUpdate == nil {
		w.notifyChange(time.Now())
	} else {
		w.notifyUpdate(time.Now(), touched)
	}
	w.confirmFresh(res.start)
}

// notifyUpdate calls onUpdate with the touched keys.
func (w *prefixWatch) notifyUpdate(at time.Time, touched map[string]bool) {
	var changed []store.Entry
	var deleted []string
	for _, key := range slices.Sorted(maps.Keys(touched)) {
		if e, ok := w.entries[key]; ok {
			changed = append(changed, e)
		} else {
			deleted = append(deleted, key)
		}
	}
	w.onUpdate(at, changed, deleted)
}
