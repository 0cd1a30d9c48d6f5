package drive

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// feed keeps a copy of the keys below a prefix and tells of each change.
type feed struct {
	store  store.Multi
	prefix string
	// plain is how often the keys are read besides being watched: a watch may be cut off from
	// its news, which silence doesn't tell from there being none.
	plain time.Duration
	// pause is between two watches: changes that come meanwhile are told by one call.
	pause time.Duration
	apply func(at time.Time, entries []store.Entry)

	rows map[string]store.Entry
	rev  uint64
}

const (
	// feedWait is how long a watch waits; each is a call.
	feedWait = 10 * time.Second
	// feedPause is between two tries when the store doesn't answer.
	feedPause = 150 * time.Millisecond
)

// load reads the keys for the first time.
func (f *feed) load(ctx context.Context) error {
	at := time.Now()
	p, err := f.store.Range(ctx, f.prefix)
	if err != nil {
		return err
	}
	if p.Rev < f.rev {
		return nil
	}
	f.rev = p.Rev
	f.rows = make(map[string]store.Entry, len(p.Entries))
	for _, e := range p.Entries {
		f.rows[e.Key] = e
	}
	f.tell(at)
	return nil
}

func (f *feed) tell(at time.Time) {
	entries := make([]store.Entry, 0, len(f.rows))
	for _, e := range f.rows {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, k int) bool { return entries[i].Key < entries[k].Key })
	f.apply(at, entries)
}

type news struct {
	changes []store.Change
	rev     uint64
	err     error
}

// run watches until ctx ends.
func (f *feed) run(ctx context.Context) {
	tick := time.NewTicker(f.plain)
	defer tick.Stop()
	got := make(chan news, 1)
	watch := func() {
		rev := f.rev
		go func() {
			wait.For(ctx, f.pause)
			changes, next, err := f.store.Watch(ctx, f.prefix, rev, feedWait)
			if err != nil && !errors.Is(err, store.ErrCompacted) {
				wait.For(ctx, feedPause)
			}
			got <- news{changes, next, err}
		}()
	}
	watch()
	for {
		select {
		case <-ctx.Done():
			<-got
			return
		case <-tick.C:
			// The watch goes on: what it brings is no older than its own start.
			_ = f.load(ctx) // without an answer the copy stays, and the age of its confirmation tells
		case n := <-got:
			f.take(ctx, n)
			watch()
		}
	}
}

func (f *feed) take(ctx context.Context, n news) {
	if n.err != nil {
		_ = f.load(ctx) // as above
		return
	}
	if n.rev < f.rev {
		return
	}
	f.rev = n.rev
	if len(n.changes) == 0 {
		return
	}
	for _, c := range n.changes {
		if c.Deleted {
			delete(f.rows, c.Key)
		} else if c.Rev >= f.rows[c.Key].Rev {
			f.rows[c.Key] = c.Entry
		}
	}
	f.tell(time.Now())
}
