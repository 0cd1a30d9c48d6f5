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
	keyPrefix     = "assign/"
	checkInterval = 250 * time.Millisecond
	// rankDelay is how long each member in the order of the table's homes leaves the
	// planning to the one before it, so that one write does where nine would race.
	rankDelay = time.Second
)

// Options says how a Keeper is set up; all fields are needed.
type Options struct {
	Store         store.Store
	Group         *member.Group
	WatchTimeout  time.Duration // of one watch
	ListItems     func() map[string][]Item
	OnTableChange func(table string, t Table) // on each new revision, one call at a time
	Log           logr.Logger
}

// Assigner follows the tables and writes a new one when items or members change.
type Assigner struct {
	opts Options

	mu                sync.Mutex
	tables            map[string]storedTable
	lastReadStart     time.Time // when the read began whose answer was last taken in
	changeNeededSince map[string]time.Time
	yielded           map[string]uint64 // items given up to another holder, by table and name, with its epoch
	planWake          chan struct{}
}

type storedTable struct {
	table Table
	rev   uint64
}

// NewAssigner returns a keeper that knows no table yet.
func NewAssigner(o Options) *Assigner {
	return &Assigner{opts: o, tables: map[string]storedTable{}, changeNeededSince: map[string]time.Time{}, yielded: map[string]uint64{}, planWake: make(chan struct{}, 1)}
}

// Run follows and plans until ctx ends.
func (k *Assigner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { k.watchLoop(ctx) })
	wg.Go(func() { k.planLoop(ctx) })
	wg.Wait()
}

// OwnAssignments returns the rows that this process holds, or none while it can't be sure.
//
// It guards against a process that lost its lease, joined again and still has the
// tables from before: others may hold its items since. Only a read that began after
// the joining counts.
func (k *Assigner) OwnAssignments(table string) map[string]Assignment {
	if !k.Authorized() {
		return nil
	}
	self := k.opts.Group.Self().ID
	k.mu.Lock()
	defer k.mu.Unlock()
	rows := map[string]Assignment{}
	for name, r := range k.tables[table].table.Assignments {
		if r.Holder == self && r.Epoch >= k.yielded[table+"/"+name] {
			rows[name] = r
		}
	}
	return rows
}

// YieldItem gives an item up to the holder of a newer epoch, whose table this process may
// not have seen yet.
func (k *Assigner) YieldItem(table, item string, ep uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := table + "/" + item
	k.yielded[key] = max(k.yielded[key], ep)
}

// Authorized reports whether this process may act on what the tables give it.
func (k *Assigner) Authorized() bool {
	if !k.opts.Group.Authorized() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastReadStart.After(k.opts.Group.JoinedAt())
}

// ReadTables reads the tables at once.
func (k *Assigner) ReadTables(ctx context.Context) error {
	began := time.Now()
	p, err := k.opts.Store.List(ctx, keyPrefix, 0, 0)
	if err != nil {
		return err
	}
	k.applyListing(p, began)
	return nil
}

// WakePlanner makes the keeper look at once whether a new plan is needed.
func (k *Assigner) WakePlanner() {
	select {
	case k.planWake <- struct{}{}:
	default:
	}
}

func (k *Assigner) watchLoop(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		began := time.Now()
		p, err := k.opts.Store.List(ctx, keyPrefix, after, k.opts.WatchTimeout)
		if err != nil {
			wait.For(ctx, checkInterval)
			continue
		}
		after = p.Rev
		k.applyListing(p, began)
	}
}

func (k *Assigner) applyListing(p store.Listing, began time.Time) {
	fresh := map[string]Table{}
	k.mu.Lock()
	for _, e := range p.Entries {
		name := strings.TrimPrefix(e.Key, keyPrefix)
		if e.Rev <= k.tables[name].rev {
			continue
		}
		var t Table
		if err := json.Unmarshal(e.Value, &t); err != nil {
			k.opts.Log.Error(err, "table not read", "table", name)
			continue
		}
		k.tables[name] = storedTable{t, e.Rev}
		fresh[name] = t
	}
	if began.After(k.lastReadStart) {
		k.lastReadStart = began
	}
	k.mu.Unlock()
	for name, t := range fresh {
		k.opts.OnTableChange(name, t)
	}
	k.WakePlanner()
}

func (k *Assigner) planLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for name, items := range k.opts.ListItems() {
			k.planTable(ctx, name, items)
		}
		t := time.NewTimer(checkInterval)
		select {
		case <-ctx.Done():
		case <-k.planWake:
		case <-t.C:
		}
		t.Stop()
	}
}

func (k *Assigner) planTable(ctx context.Context, name string, items []Item) {
	if !k.Authorized() {
		return
	}
	view := k.opts.Group.View()
	k.mu.Lock()
	old := k.tables[name]
	next, changed := PlanTable(old.table, items, view)
	due := changed && k.isOwnTurn(name, view)
	k.mu.Unlock()
	if !due {
		return
	}
	next.WriteID = uuid.NewString()
	value, err := json.Marshal(next)
	if err != nil {
		k.opts.Log.Error(err, "table not written", "table", name)
		return
	}
	cctx, cancel := context.WithTimeout(ctx, 2*rankDelay)
	defer cancel()
	err = store.SwapWithRetry(cctx, k.opts.Store, keyPrefix+name, value, old.rev, store.ValueEquals(value))
	switch {
	case err == nil:
		k.opts.Log.Info("table written", "table", name, "items", len(items), "seq", next.LastEpoch)
		err = k.ReadTables(cctx)
	case errors.Is(err, store.ErrConflict):
		err = k.ReadTables(cctx)
	}
	if err != nil {
		k.opts.Log.Info("table not written", "table", name, "err", err.Error())
	}
}

// isOwnTurn reports whether it is this process's turn to write the table; the lock is held.
func (k *Assigner) isOwnTurn(name string, view member.View) bool {
	now := time.Now()
	since, ok := k.changeNeededSince[name]
	if !ok || now.Sub(since) > time.Minute {
		since = now
		k.changeNeededSince[name] = now
	}
	if now.Sub(since) < time.Duration(k.writerRank(name, view))*rankDelay {
		return false
	}
	delete(k.changeNeededSince, name)
	return true
}

// writerRank returns this process's place in the order of the table's homes.
func (k *Assigner) writerRank(name string, view member.View) int {
	self := k.opts.Group.Self().ID
	var before []string
	for {
		m, ok := view.HomeOf(name, before...)
		if !ok || m.ID == self || slices.Contains(before, m.ID) {
			return len(before)
		}
		before = append(before, m.ID)
	}
}

// HolderOf returns the member that holds an item by the latest table, or "".
func (k *Assigner) HolderOf(table, item string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tables[table].table.Assignments[item].Holder
}
