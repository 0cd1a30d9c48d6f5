package drive

import (
	"context"
	"sort"
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
	// onConfirm is called when the copy is known to be no older than a read that began at start.
	onConfirm func(start time.Time)

	entries   map[string]store.Entry // the copy, by key
	rev       uint64                 // revision of the store that the copy reflects
	freshAsOf time.Time              // start of the latest read that the copy is no older than
}

const (
	// watchTimeout is how long a watch waits for changes. Each watch costs a call.
	watchTimeout = 10 * time.Second
	// watchRetryDelay is the delay after a watch that failed because the store didn't answer.
	watchRetryDelay = 150 * time.Millisecond
)

// readAll replaces the copy by a full read.
func (w *prefixWatch) readAll(ctx context.Context) error {
	start := time.Now()
	listing, err := w.store.Range(ctx, w.prefix)
	if err != nil {
		return err
	}
	if listing.Rev < w.rev {
		w.confirmFresh(start) // the copy is newer than the answer
		return nil
	}
	w.rev = listing.Rev
	w.entries = make(map[string]store.Entry, len(listing.Entries))
	for _, e := range listing.Entries {
		w.entries[e.Key] = e
	}
	w.notifyChange(start)
	w.confirmFresh(start)
	return nil
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

// run keeps the copy up to date until ctx ends.
func (w *prefixWatch) run(ctx context.Context) {
	tick := time.NewTicker(w.readInterval)
	defer tick.Stop()
	results := make(chan watchResult, 1)
	watch := func() {
		rev := w.rev
		go func() {
			wait.For(ctx, w.pause)
			start := time.Now()
			changes, next, err := w.store.Watch(ctx, w.prefix, rev, watchTimeout)
			if err != nil && !errors.Is(err, store.ErrCompacted) {
				wait.For(ctx, watchRetryDelay)
			}
			results <- watchResult{start, changes, next, err}
		}()
	}
	watch()
	for {
		select {
		case <-ctx.Done():
			<-results
			return
		case <-tick.C:
			if time.Since(w.freshAsOf) < w.readInterval/2 {
				continue // the watch delivers changes, so it isn't cut off
			}
			// The watch in flight continues: its result is no older than its own start.
			_ = w.readAll(ctx) // if the read fails, the copy stays and the core sees its age
		case res := <-results:
			w.applyResult(ctx, res)
			watch()
		}
	}
}

// applyResult applies the result of a watch to the copy; after a failed watch it reads all keys.
func (w *prefixWatch) applyResult(ctx context.Context, res watchResult) {
	if res.err != nil {
		_ = w.readAll(ctx) // if the read fails, the copy stays and the core sees its age
		return
	}
	if res.rev < w.rev {
		return
	}
	w.rev = res.rev
	if len(res.changes) == 0 {
		return
	}
	for _, c := range res.changes {
		if c.Deleted {
			delete(w.entries, c.Key)
		} else if c.Rev >= w.entries[c.Key].Rev {
			w.entries[c.Key] = c.Entry
		}
	}
	w.notifyChange(time.Now())
	w.confirmFresh(res.start)
}
