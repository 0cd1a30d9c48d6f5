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
	relay  RelayReader // reads in place of the watch, which would receive large values directly; nil: there is a watch
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
	readsOnly bool                   // there is no watch, as the link carries the changes too slowly; see applyResult
	carried   int                    // size of the largest changes that the link has carried fast, in bytes
}

const (
	// watchTimeout is how long a watch waits for changes. Each watch costs a call.
	watchTimeout = 10 * time.Second
	// watchRetryDelay is the delay after a watch or full read that failed. Without it the calls of a holder whose reads
	// are refused for the store's rate limit would keep the limit exceeded.
	watchRetryDelay = 150 * time.Millisecond
	// largeSize is the size of values in bytes from which on the time to receive them matters.
	largeSize = 64 << 10
	// slowRead is the duration of a full read from which on the link is too slow for a watch of such values.
	slowRead = 300 * time.Millisecond
)

// readResult is the result of one full read.
type readResult struct {
	start    time.Time // when it began
	listing  store.Listing
	received int // size of the received values in bytes
	err      error
}

// read makes a full read. If first, the entry of the copy with the lowest key, is large, it is received only if it has
// changed.
func (w *prefixWatch) read(ctx context.Context, first store.Entry) readResult {
	start := time.Now()
	large := len(first.Value) >= largeSize
	if w.relay != nil {
		if listing, received, ok := w.readRelayed(ctx, first); ok {
			return readResult{start, listing, received, nil}
		}
	}
	if large {
		if listing, received, ok := w.readChanged(ctx, first); ok {
			return readResult{start, listing, received, nil}
		}
	}
	listing, err := w.store.Range(ctx, w.prefix)
	return readResult{start, listing, size(listing.Entries), err}
}

// readRelayed does the same as readChanged over the relay.
func (w *prefixWatch) readRelayed(ctx context.Context, first store.Entry) (store.Listing, int, bool) {
	listing, changed, err := w.relay.ReadChanged(ctx, w.prefix, first.Key, first.Rev)
	if err != nil {
		return store.Listing{}, 0, false
	}
	received := size(listing.Entries)
	if first.Key != "" && !changed {
		listing.Entries = append([]store.Entry{first}, listing.Entries...)
	}
	return listing, received, true
}

// readChanged reads the entries, the first one only if it has changed, and returns the size of what it has received. It
// reports false if a call fails or the first entry is gone.
//
// The revision of the listing may cover a change of the first entry after it was read. The next read shows that change.
func (w *prefixWatch) readChanged(ctx context.Context, first store.Entry) (store.Listing, int, bool) {
	e, changed, err := w.store.GetIfChanged(ctx, first.Key, first.Rev)
	if err != nil {
		return store.Listing{}, 0, false
	}
	listing, err := w.store.RangeAfter(ctx, w.prefix, first.Key)
	if err != nil {
		return store.Listing{}, 0, false
	}
	received := size(listing.Entries)
	if changed {
		first = e
		received += len(e.Value)
	}
	listing.Entries = append([]store.Entry{first}, listing.Entries...)
	return listing, received, true
}

// firstEntry returns the entry of the copy with the lowest key, or the zero Entry.
func (w *prefixWatch) firstEntry() store.Entry {
	var first store.Entry
	for _, e := range w.entries {
		if first.Key == "" || e.Key < first.Key {
			first = e
		}
	}
	return first
}

// readAll replaces the copy by a full read.
func (w *prefixWatch) readAll(ctx context.Context) error {
	res := w.read(ctx, store.Entry{})
	w.applyRead(res)
	return res.err
}

// applyRead replaces the copy by the result of a full read unless the copy is newer. If the read failed, the copy stays
// and the core sees its age.
func (w *prefixWatch) applyRead(res readResult) {
	if res.err != nil {
		return
	}
	fast := time.Since(res.start) < slowRead
	if fast {
		w.carried = max(w.carried, res.received)
	}
	changed := w.entries == nil || w.changedBy(res.listing)
	w.readsOnly = w.readsOnly && !fast && changed
	if res.listing.Rev >= w.rev {
		w.rev = res.listing.Rev
		w.entries = make(map[string]store.Entry, len(res.listing.Entries))
		for _, e := range res.listing.Entries {
			w.entries[e.Key] = e
		}
		if changed {
			w.notifyChange(res.start)
		}
	}
	w.confirmFresh(res.start)
}

// size returns the size of the entries' values in bytes.
func size(entries []store.Entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.Value)
	}
	return n
}

// changedBy reports whether a listing shows a change of the copy.
func (w *prefixWatch) changedBy(listing store.Listing) bool {
	for _, e := range listing.Entries {
		if e.Rev > w.entries[e.Key].Rev {
			return true
		}
	}
	return len(listing.Entries) < len(w.entries)
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
	tick := wait.NewTicker(w.readInterval)
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
			first := w.firstEntry()
			wg.Go(func() {
				res := w.read(ctx, first)
				if res.err != nil {
					wait.For(ctx, watchRetryDelay)
				}
				reads <- res
			})
		}
	}
	if w.relay == nil {
		startWatch()
	}
	for {
		ticks := tick.C()
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
			switch {
			case watching || w.relay != nil:
			case w.readsOnly:
				startRead()
			default:
				startWatch()
			}
		case res := <-results:
			watching = false
			w.applyResult(res)
			if res.err != nil || w.readsOnly {
				startRead()
			}
			if !errors.Is(res.err, store.ErrCompacted) && !w.readsOnly {
				startWatch() // after a compaction, only a full read gives a revision to watch from
			}
		}
	}
}

// applyResult applies the result of a watch to the copy.
//
// A watch delivers each change, also those that newer ones have superseded. Over a link that takes longer to receive a value
// than it takes to change, the copy would fall behind ever more. After large changes, full reads therefore follow instead of
// watches until one shows that the link is fast enough, or that nothing has changed.
func (w *prefixWatch) applyResult(res watchResult) {
	if res.err != nil || res.rev < w.rev {
		return
	}
	received := 0
	for _, c := range res.changes {
		received += len(c.Value)
	}
	w.readsOnly = received >= largeSize && received > w.carried
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
