package drive

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// watch keeps a copy of the keys below a prefix and tells of each change.
type watch struct {
	store  store.Multi
	prefix string
	// plain is how often the keys are read besides being watched: a watch may be cut off from
	// its changes, which silence doesn't tell from there being none.
	plain time.Duration
	// pause is between two watches: changes that come meanwhile are told by one call.
	pause time.Duration
	apply func(at time.Time, entries []store.Entry)
	// read tells when the reading began that the copy is no older than.
	read func(began time.Time)

	rows  map[string]store.Entry
	rev   uint64
	fresh time.Time // when the reading began that the copy is no older than
}

const (
	// watchWait is how long a watch waits; each is a call.
	watchWait = 10 * time.Second
	// watchPause is between two tries when the store doesn't answer.
	watchPause = 150 * time.Millisecond
)

// load reads the keys for the first time.
func (w *watch) load(ctx context.Context) error {
	at := time.Now()
	p, err := w.store.Range(ctx, w.prefix)
	if err != nil {
		return err
	}
	if p.Rev < w.rev {
		w.confirm(at) // the copy is of after the answer
		return nil
	}
	w.rev = p.Rev
	w.rows = make(map[string]store.Entry, len(p.Entries))
	for _, e := range p.Entries {
		w.rows[e.Key] = e
	}
	w.notify(at)
	w.confirm(at)
	return nil
}

// confirm notes that the copy is no older than a reading that began at a time.
func (w *watch) confirm(began time.Time) {
	if began.After(w.fresh) {
		w.fresh = began
	}
	w.read(began)
}

func (w *watch) notify(at time.Time) {
	entries := make([]store.Entry, 0, len(w.rows))
	for _, e := range w.rows {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, k int) bool { return entries[i].Key < entries[k].Key })
	w.apply(at, entries)
}

type events struct {
	began   time.Time
	changes []store.Change
	rev     uint64
	err     error
}

// run watches until ctx ends.
func (w *watch) run(ctx context.Context) {
	tick := time.NewTicker(w.plain)
	defer tick.Stop()
	got := make(chan events, 1)
	watch := func() {
		rev := w.rev
		go func() {
			wait.For(ctx, w.pause)
			began := time.Now()
			changes, next, err := w.store.Watch(ctx, w.prefix, rev, watchWait)
			if err != nil && !errors.Is(err, store.ErrCompacted) {
				wait.For(ctx, watchPause)
			}
			got <- events{began, changes, next, err}
		}()
	}
	watch()
	for {
		select {
		case <-ctx.Done():
			<-got
			return
		case <-tick.C:
			if time.Since(w.fresh) < w.plain/2 {
				continue // changes come in: the watch isn't cut off from them
			}
			// The watch goes on: what it brings is no older than its own start.
			_ = w.load(ctx) // without an answer the copy stays, and the age of its confirmation tells
		case n := <-got:
			w.take(ctx, n)
			watch()
		}
	}
}

func (w *watch) take(ctx context.Context, n events) {
	if n.err != nil {
		_ = w.load(ctx) // as above
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
			delete(w.rows, c.Key)
		} else if c.Rev >= w.rows[c.Key].Rev {
			w.rows[c.Key] = c.Entry
		}
	}
	w.notify(time.Now())
	w.confirm(n.began)
}
