package shard

import (
	"context"
	"encoding/json"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"bramleysail.example/bramleysail/internal/plat/store"
)

// listStore is a store of which only a listing is read.
type listStore struct {
	store.Store
	listing store.Listing
}

// List implements store.Store.
func (s *listStore) List(context.Context, string, uint64, time.Duration) (store.Listing, error) {
	return s.listing, nil
}

// tableListing returns a listing of one table whose last epoch is its revision.
func tableListing(t *testing.T, rev uint64) store.Listing {
	t.Helper()
	value, err := json.Marshal(Table{LastEpoch: rev})
	if err != nil {
		t.Fatal(err)
	}
	return store.Listing{Entries: []store.Entry{{Key: keyPrefix + "racks", Value: value, Rev: rev}}, Rev: rev}
}

// Guards against a process that goes by an older table: it is told of two revisions at once, by the watch and by its own
// read, and handles the older one last.
func TestTablesReportedInOrder(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	var last, active atomic.Uint64
	tables := &listStore{listing: tableListing(t, 1)}
	a := NewAssigner(Options{Store: tables, Log: logr.Discard(), OnTableChange: func(_ string, table Table) {
		if active.Add(1) > 1 {
			t.Error("two calls at once")
		}
		if table.LastEpoch == 1 {
			close(entered)
			<-release
		}
		last.Store(table.LastEpoch)
		active.Add(^uint64(0))
	}})
	var wg sync.WaitGroup
	read := func() {
		if err := a.ReadTables(context.Background()); err != nil {
			t.Error(err)
		}
	}
	wg.Go(read)
	<-entered
	tables.listing = tableListing(t, 2)
	wg.Go(read)
	for a.storedRev("racks") < 2 {
		runtime.Gosched()
	}
	for range 1000 { // the second call begins now, if the first doesn't delay it
		runtime.Gosched()
	}
	close(release)
	wg.Wait()
	if got := last.Load(); got != 2 {
		t.Errorf("the last call was with revision %d, want 2", got)
	}
}

// storedRev returns the revision of a table as last read.
func (a *Assigner) storedRev(table string) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tables[table].rev
}
