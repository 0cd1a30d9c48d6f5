package drive

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// prefixWatch keeps a copy of the keys below a prefix and tells of each change.
type prefixWatch struct {
	store  store.Multi
	prefix string
	// readInterval is how often the keys are read besides being watched: a watch may be cut off from
	// its changes, which silence doesn't tell from there being none.
	readInterval time.Duration
	// pause is between two watches: changes that come meanwhile are told by one call.
	pause    time.Duration
	onChange func(at time.Time, entries []store.Entry)
	// onConfirm tells when the reading began that the copy is no older than.
	onConfirm func(began time.Time)

	entries   map[string]store.Entry
	rev       uint64
	freshAsOf time.Time // when the reading began that the copy is no older than
}

const (
	// watchTimeout is how long a watch waits; each is a call.
	watchTimeout = 10 * time.Second
	// watchRetryDelay is between two tries when the store doesn't answer.
	watchRetryDelay = 150 * time.Millisecond
)

// readAll reads the keys for the first time.
func (w *prefixWatch) readAll(ctx context.Context) error {
	at := time.Now()
	p, err := w.store.Range(ctx, w.prefix)
	if err != nil {
		return err
	}
	if p.Rev < w.rev {
		w.confirmFresh(at) // the copy is of after the answer
		return nil
	}
	w.rev = p.Rev
	w.entries = make(map[string]store.Entry, len(p.Entries))
	for _, e := range p.Entries {
		w.entries[e.Key] = e
	}
	w.notifyChange(at)
	w.confirmFresh(at)
	return nil
}

// confirmFresh notes that the copy is no older than a reading that began at a time.
func (w *prefixWatch) confirmFresh(began time.Time) {
	if began.After(w.freshAsOf) {
		w.freshAsOf = began
	}
	w.onConfirm(began)
}

func (w *prefixWatch) notifyChange(at time.Time) {
	entries := make([]store.Entry, 0, len(w.entries))
	for _, e := range w.entries {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, k int) bool { return entries[i].Key < entries[k].Key })
	w.onChange(at, entries)
}

type watchResult struct {
	began   time.Time
	changes []store.Change
	rev     uint64
	err     error
}

// run watches until ctx ends.
func (w *prefixWatch) run(ctx context.Context) {
	tick := time.NewTicker(w.readInterval)
	defer tick.Stop()
	got := make(chan watchResult, 1)
	watch := func() {
		rev := w.rev
		go func() {
			wait.For(ctx, w.pause)
			began := time.Now()
			changes, next, err := w.store.Watch(ctx, w.prefix, rev, watchTimeout)
			if err != nil && !errors.Is(err, store.ErrCompacted) {
				wait.For(ctx, watchRetryDelay)
			}
			got <- watchResult{began, changes, next, err}
		}()
	}
	watch()
	for {
		select {
		case <-ctx.Done():
			<-got
			return
		case <-tick.C:
			if time.Since(w.freshAsOf) < w.readInterval/2 {
				continue // changes come in: the watch isn't cut off from them
			}
			// The watch goes on: what it brings is no older than its own start.
			_ = w.readAll(ctx) // without an answer the copy stays, and the age of its confirmation tells
		case n := <-got:
			w.applyResult(ctx, n)
			watch()
		}
	}
}

func (w *prefixWatch) applyResult(ctx context.Context, n watchResult) {
	if n.err != nil {
		_ = w.readAll(ctx) // as above
		return
	}
	if n.rev < w.rev {
		return
	}
	w.rev = n.rev
	if len(n.changes) == 0 {
		return
	}
	for _, c := range n.changes {
		if c.Deleted {
			delete(w.entries, c.Key)
		} else if c.Rev >= w.entries[c.Key].Rev {
			w.entries[c.Key] = c.Entry
		}
	}
	w.notifyChange(time.Now())
	w.confirmFresh(n.began)
}
