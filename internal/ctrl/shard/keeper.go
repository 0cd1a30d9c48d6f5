package shard

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/plat/store"
)

const (
	prefix    = "assign/"
	lookEvery = 250 * time.Millisecond
	// turn is how long each member in the order of the table's homes leaves the
	// planning to the one before it, so that one write does where nine would race.
	turn = time.Second
)

// Options says how a Keeper is set up; all fields are needed.
type Options struct {
	Store   store.Store
	Group   *member.Group
	Wait    time.Duration // of one watch
	Items   func() map[string][]Item
	Changed func(table string, t Table) // on each new revision, one call at a time
	Log     logr.Logger
}

// Keeper follows the tables and writes a new one when items or members change.
type Keeper struct {
	o Options

	mu     sync.Mutex
	tables map[string]record
	at     time.Time // when the read began whose answer was last taken in
	needed map[string]time.Time
	given  map[string]uint64 // items given up to another holder, by table and name, with its epoch
	nudge  chan struct{}
}

type record struct {
	table Table
	rev   uint64
}

// NewKeeper returns a keeper that knows no table yet.
func NewKeeper(o Options) *Keeper {
	return &Keeper{o: o, tables: map[string]record{}, needed: map[string]time.Time{}, given: map[string]uint64{}, nudge: make(chan struct{}, 1)}
}

// Run follows and plans until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { k.watch(ctx) })
	wg.Go(func() { k.plan(ctx) })
	wg.Wait()
}

// Mine returns the rows that this process holds, or none while it can't be sure.
//
// It guards against a process that lost its lease, joined again and still has the
// tables from before: others may hold its items since. Only a read that began after
// the joining counts.
func (k *Keeper) Mine(table string) map[string]Row {
	if !k.Sure() {
		return nil
	}
	self := k.o.Group.Self().ID
	k.mu.Lock()
	defer k.mu.Unlock()
	rows := map[string]Row{}
	for name, r := range k.tables[table].table.Rows {
		if r.By == self && r.Ep >= k.given[table+"/"+name] {
			rows[name] = r
		}
	}
	return rows
}

// Yield gives an item up to the holder of a newer epoch, whose table this process may
// not have seen yet.
func (k *Keeper) Yield(table, item string, ep uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := table + "/" + item
	k.given[key] = max(k.given[key], ep)
}

// Sure reports whether this process may act on what the tables give it.
func (k *Keeper) Sure() bool {
	if !k.o.Group.Authorized() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.at.After(k.o.Group.JoinedAt())
}

// Refresh reads the tables at once.
func (k *Keeper) Refresh(ctx context.Context) error {
	began := time.Now()
	p, err := k.o.Store.List(ctx, prefix, 0, 0)
	if err != nil {
		return err
	}
	k.adopt(p, began)
	return nil
}

// Nudge makes the keeper look at once whether a new plan is needed.
func (k *Keeper) Nudge() {
	select {
	case k.nudge <- struct{}{}:
	default:
	}
}

func (k *Keeper) watch(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		began := time.Now()
		p, err := k.o.Store.List(ctx, prefix, after, k.o.Wait)
		if err != nil {
			wait.For(ctx, lookEvery)
			continue
		}
		after = p.Rev
		k.adopt(p, began)
	}
}

func (k *Keeper) adopt(p store.Listing, began time.Time) {
	fresh := map[string]Table{}
	k.mu.Lock()
	for _, e := range p.Entries {
		name := strings.TrimPrefix(e.Key, prefix)
		if e.Rev <= k.tables[name].rev {
			continue
		}
		var t Table
		if err := json.Unmarshal(e.Value, &t); err != nil {
			k.o.Log.Error(err, "table not read", "table", name)
			continue
		}
		k.tables[name] = record{t, e.Rev}
		fresh[name] = t
	}
	if began.After(k.at) {
		k.at = began
	}
	k.mu.Unlock()
	for name, t := range fresh {
		k.o.Changed(name, t)
	}
	k.Nudge()
}

func (k *Keeper) plan(ctx context.Context) {
	for ctx.Err() == nil {
		for name, items := range k.o.Items() {
			k.planOne(ctx, name, items)
		}
		t := time.NewTimer(lookEvery)
		select {
		case <-ctx.Done():
		case <-k.nudge:
		case <-t.C:
		}
		t.Stop()
	}
}

func (k *Keeper) planOne(ctx context.Context, name string, items []Item) {
	if !k.Sure() {
		return
	}
	view := k.o.Group.View()
	k.mu.Lock()
	old := k.tables[name]
	next, changed := Plan(old.table, items, view)
	due := changed && k.due(name, view)
	k.mu.Unlock()
	if !due {
		return
	}
	next.ID = uuid.NewString()
	value, err := json.Marshal(next)
	if err != nil {
		k.o.Log.Error(err, "table not written", "table", name)
		return
	}
	cctx, cancel := context.WithTimeout(ctx, 2*turn)
	defer cancel()
	err = store.SwapWithRetry(cctx, k.o.Store, prefix+name, value, old.rev, store.ValueEquals(value))
	switch {
	case err == nil:
		k.o.Log.Info("table written", "table", name, "items", len(items), "seq", next.Seq)
		err = k.Refresh(cctx)
	case errors.Is(err, store.ErrConflict):
		err = k.Refresh(cctx)
	}
	if err != nil {
		k.o.Log.Info("table not written", "table", name, "err", err.Error())
	}
}

// due reports whether it is this process's turn to write the table; the lock is held.
func (k *Keeper) due(name string, view member.View) bool {
	now := time.Now()
	since, ok := k.needed[name]
	if !ok || now.Sub(since) > time.Minute {
		since = now
		k.needed[name] = now
	}
	if now.Sub(since) < time.Duration(k.rank(name, view))*turn {
		return false
	}
	delete(k.needed, name)
	return true
}

// rank returns this process's place in the order of the table's homes.
func (k *Keeper) rank(name string, view member.View) int {
	self := k.o.Group.Self().ID
	var before []string
	for {
		m, ok := view.HomeOf(name, before...)
		if !ok || m.ID == self || slices.Contains(before, m.ID) {
			return len(before)
		}
		before = append(before, m.ID)
	}
}

// Holder returns the member that holds an item by the latest table, or "".
func (k *Keeper) Holder(table, item string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tables[table].table.Rows[item].By
}
