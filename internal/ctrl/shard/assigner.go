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
	keyPrefix     = "assign/"              // of the tables' keys in the store
	checkInterval = 250 * time.Millisecond // between two checks for needed changes, and after a failed read
	// rankDelay is how long a member waits for each member ranked before it before it writes a needed change, so
	// that one process writes it where nine would race.
	rankDelay = time.Second
)

// Options configures an Assigner. All fields are required.
type Options struct {
	Store         store.Store
	Group         *member.Group               // membership of this process
	WatchTimeout  time.Duration               // longest wait of one watch of the store
	ListItems     func() map[string][]Item    // returns the items to assign, by table
	OnTableChange func(table string, t Table) // called with new revisions, in order and one at a time; must not call ReadTables
	Log           logr.Logger
}

// Assigner follows the tables in the store and writes a new one when items or members change.
type Assigner struct {
	opts Options

	mu                sync.Mutex             // guards the fields up to yielded
	tables            map[string]storedTable // as last read, by name
	lastReadStart     time.Time              // latest start of a read whose result has been applied
	changeNeededSince map[string]time.Time   // by table: since when the plan has differed from it
	yielded           map[string]uint64      // epoch of the holder that an item was given up to, by table/item
	planWake          chan struct{}          // wakes the planning loop; capacity 1

	reportMu sync.Mutex // held during calls of OnTableChange; locked before mu
}

// storedTable is a table with its revision in the store.
type storedTable struct {
	table    Table
	rev      uint64
	reported bool // OnTableChange was called with it
}

// NewAssigner returns an Assigner that knows no table yet.
func NewAssigner(opts Options) *Assigner {
	return &Assigner{opts: opts, tables: map[string]storedTable{}, changeNeededSince: map[string]time.Time{}, yielded: map[string]uint64{}, planWake: make(chan struct{}, 1)}
}

// Run follows the tables and plans new ones until ctx ends.
func (a *Assigner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { a.watchLoop(ctx) })
	wg.Go(func() { a.planLoop(ctx) })
	wg.Wait()
}

// OwnAssignments returns the assignments in a table that name this process as the holder, by item, or none while
// it isn't authorized to act on them. Items that it has yielded to a newer epoch are left out.
func (a *Assigner) OwnAssignments(table string) map[string]Assignment {
	if !a.Authorized() {
		return nil
	}
	self := a.opts.Group.Self().ID
	a.mu.Lock()
	defer a.mu.Unlock()
	own := map[string]Assignment{}
	for name, assignment := range a.tables[table].table.Assignments {
		if assignment.Holder == self && assignment.Epoch >= a.yielded[table+"/"+name] {
			own[name] = assignment
		}
	}
	return own
}

// YieldItem gives an item up to a holder with a newer epoch. This process may not have read the table with that
// epoch yet.
func (a *Assigner) YieldItem(table, item string, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := table + "/" + item
	a.yielded[key] = max(a.yielded[key], epoch)
}

// Authorized reports whether this process may act on its assignments.
//
// A process that lost its lease and joined again still has the tables from before, while others may have got its
// items since. Therefore only a read that began after the join counts.
func (a *Assigner) Authorized() bool {
	if !a.opts.Group.Authorized() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastReadStart.After(a.opts.Group.JoinedAt())
}

// ReadTables reads the tables from the store without waiting for a change.
func (a *Assigner) ReadTables(ctx context.Context) error {
	readStart := time.Now()
	listing, err := a.opts.Store.List(ctx, keyPrefix, 0, 0)
	if err != nil {
		return err
	}
	a.applyListing(listing, readStart)
	return nil
}

// WakePlanner makes the planning loop check at once whether a table has to change.
func (a *Assigner) WakePlanner() {
	select {
	case a.planWake <- struct{}{}:
	default:
	}
}

// watchLoop follows the tables in the store until ctx ends.
func (a *Assigner) watchLoop(ctx context.Context) {
	var afterRev uint64
	for ctx.Err() == nil {
		readStart := time.Now()
		listing, err := a.opts.Store.List(ctx, keyPrefix, afterRev, a.opts.WatchTimeout)
		if err != nil {
			wait.For(ctx, checkInterval)
			continue
		}
		afterRev = listing.Rev
		a.applyListing(listing, readStart)
	}
}

// applyListing stores the tables in a listing that are newer than the known ones and calls OnTableChange with them.
// The read of the listing began at readStart.
func (a *Assigner) applyListing(listing store.Listing, readStart time.Time) {
	a.storeListing(listing, readStart)
	a.reportTables()
	a.WakePlanner()
}

// storeListing stores the tables in a listing that are newer than the known ones.
func (a *Assigner) storeListing(listing store.Listing, readStart time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range listing.Entries {
		name := strings.TrimPrefix(e.Key, keyPrefix)
		if e.Rev <= a.tables[name].rev {
			continue
		}
		var t Table
		if err := json.Unmarshal(e.Value, &t); err != nil {
			a.opts.Log.Error(err, "assignment table not decoded", "table", name)
			continue
		}
		a.tables[name] = storedTable{table: t, rev: e.Rev}
	}
	if readStart.After(a.lastReadStart) {
		a.lastReadStart = readStart
	}
}

// reportTables calls OnTableChange with each table that it wasn't called with yet. Two goroutines read tables: without
// reportMu, the call with the older one could come last.
func (a *Assigner) reportTables() {
	a.reportMu.Lock()
	defer a.reportMu.Unlock()
	for name, t := range a.takeUnreported() {
		a.opts.OnTableChange(name, t)
	}
}

// takeUnreported returns the tables that OnTableChange wasn't called with yet, by name, and marks them as reported.
func (a *Assigner) takeUnreported() map[string]Table {
	a.mu.Lock()
	defer a.mu.Unlock()
	unreported := map[string]Table{}
	for name, t := range a.tables {
		if t.reported {
			continue
		}
		unreported[name] = t.table
		t.reported = true
		a.tables[name] = t
	}
	return unreported
}

// planLoop plans all tables at intervals, and when it is woken, until ctx ends.
func (a *Assigner) planLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for name, items := range a.opts.ListItems() {
			a.planTable(ctx, name, items)
		}
		timer := time.NewTimer(checkInterval)
		select {
		case <-ctx.Done():
		case <-a.planWake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// planTable plans a table and writes it if it differs from the current one and it is this process's turn.
func (a *Assigner) planTable(ctx context.Context, name string, items []Item) {
	if !a.Authorized() {
		return
	}
	view := a.opts.Group.View()
	a.mu.Lock()
	current := a.tables[name]
	next, changed := PlanTable(current.table, items, view)
	write := changed && a.isOwnTurn(name, view)
	a.mu.Unlock()
	if !write {
		return
	}
	next.WriteID = uuid.NewString()
	value, err := json.Marshal(next)
	if err != nil {
		a.opts.Log.Error(err, "assignment table not written", "table", name)
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, 2*rankDelay)
	defer cancel()
	err = store.SwapWithRetry(writeCtx, a.opts.Store, keyPrefix+name, value, current.rev, store.ValueEquals(value))
	switch {
	case err == nil:
		a.opts.Log.Info("assignment table written", "table", name, "items", len(items), "seq", next.LastEpoch)
		err = a.ReadTables(writeCtx)
	case errors.Is(err, store.ErrConflict):
		err = a.ReadTables(writeCtx)
	}
	if err != nil {
		a.opts.Log.Info("assignment table not written", "table", name, "err", err.Error())
	}
}

// isOwnTurn reports whether it is this process's turn to write a needed change of the table. The caller holds mu.
// A time in changeNeededSince of more than a minute ago belongs to an earlier change.
func (a *Assigner) isOwnTurn(name string, view member.View) bool {
	now := time.Now()
	since, ok := a.changeNeededSince[name]
	if !ok || now.Sub(since) > time.Minute {
		since = now
		a.changeNeededSince[name] = now
	}
	if now.Sub(since) < time.Duration(a.writerRank(name, view))*rankDelay {
		return false
	}
	delete(a.changeNeededSince, name)
	return true
}

// writerRank returns how many members come before this process in the order of the table's homes.
func (a *Assigner) writerRank(name string, view member.View) int {
	self := a.opts.Group.Self().ID
	var before []string
	for {
		m, ok := view.HomeOf(name, before...)
		if !ok || m.ID == self || slices.Contains(before, m.ID) {
			return len(before)
		}
		before = append(before, m.ID)
	}
}

// HolderOf returns the ID of the member that holds an item according to the table as last read, or "" if none does.
func (a *Assigner) HolderOf(table, item string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tables[table].table.Assignments[item].Holder
}
