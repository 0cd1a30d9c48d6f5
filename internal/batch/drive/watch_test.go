package drive

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/fake/txkv"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// slowReadStore is a store whose full reads arrive late, with what was stored when they began.
type slowReadStore struct {
	store.TxnStore
	delay time.Duration
	reads int // full reads that have begun
}

// Range implements store.TxnStore.
func (s *slowReadStore) Range(ctx context.Context, prefix string) (store.Listing, error) {
	s.reads++
	listing, err := s.TxnStore.Range(ctx, prefix)
	wait.For(ctx, s.delay)
	return listing, err
}

// Guards against a slow full read that stops the watch: the copy of the directory would become too old and bar all
// starts, although the store delivers each change.
func TestSlowReadDelaysNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			changeInterval = 500 * time.Millisecond
			changes        = 20
		)
		service := &txkv.Service{}
		service.Put("d/a", []byte("0"))
		service.Put("d/gone", nil)
		s := &slowReadStore{TxnStore: service.Client(nil), delay: 3 * time.Second}
		newest, hasGone := 0, true
		w := &prefixWatch{
			store: s, prefix: "d/", readInterval: directoryReadInterval, pause: directoryWatchPause, onConfirm: func(time.Time) {},
			onChange: func(_ time.Time, entries []store.Entry) {
				value, err := strconv.Atoi(string(entries[0].Value))
				if err != nil {
					t.Fatal(err)
				}
				if value < newest {
					t.Errorf("the copy went from %d back to %d", newest, value)
				}
				if len(entries) == 2 && !hasGone {
					t.Error("a deleted entry is back")
				}
				newest, hasGone = value, len(entries) == 2
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		if err := w.readAll(ctx); err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.run(ctx)
		}()
		time.Sleep(directoryReadInterval + 100*time.Millisecond) // without changes, a full read begins
		synctest.Wait()
		if s.reads != 2 {
			t.Fatalf("%d full reads have begun, want 2", s.reads)
		}
		service.RemoveKey("d/gone")
		for i := range changes {
			service.Put("d/a", []byte(strconv.Itoa(i+1)))
			time.Sleep(changeInterval)
			synctest.Wait()
			if newest != i+1 || hasGone {
				t.Errorf("%v after change %d the copy has %d, deleted entry: %t", changeInterval, i+1, newest, hasGone)
			}
		}
		cancel()
		<-done
	})
}

// BenchmarkDirectoryChange measures passing on a watch's result in which a fifth of all workers have written their
// entries without a change of what they say, as all workers (full) and as changes.
func BenchmarkDirectoryChange(b *testing.B) {
	for _, n := range []int{1000, 3000} {
		h := newBenchHolder(n)
		h.directory = directoryDecoder{decode: func(e store.Entry) (sched.Member, bool) {
			var m sched.Member
			err := json.Unmarshal(e.Value, &m)
			return m, err == nil
		}}
		w := &prefixWatch{entries: map[string]store.Entry{}, onChange: h.applyDirectory, onConfirm: func(time.Time) {}}
		var changes []store.Change
		for i, m := range benchMembers(n) {
			value, err := json.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			w.entries[m.ID] = store.Entry{Key: m.ID, Value: value}
			h.polling[m.ID] = true // starts no goroutines
			if i%5 == 0 {
				changes = append(changes, store.Change{Entry: w.entries[m.ID]})
			}
		}
		w.notifyChange(time.Now())
		for _, full := range []bool{true, false} {
			if w.onUpdate = h.updateDirectory; full {
				w.onUpdate = nil
			}
			b.Run(fmt.Sprintf("%dworkers/full=%t", n, full), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					w.rev++
					for i := range changes {
						changes[i].Rev = w.rev
					}
					w.applyResult(watchResult{changes: changes, rev: w.rev})
				}
			})
		}
	}
}

// Guards against an entry that is missing for a moment: a full read of several pages may hold an entry that was added
// again after the read's revision, and the watch from that revision may end between the deletion before and the adding.
func TestOlderDeletionKeepsEntry(t *testing.T) {
	var copied []store.Entry
	w := &prefixWatch{onConfirm: func(time.Time) {}, onChange: func(_ time.Time, entries []store.Entry) { copied = entries }}
	again := store.Entry{Key: "d/a", Value: []byte("again"), Rev: 8}
	w.applyRead(readResult{listing: store.Listing{Rev: 5, Entries: []store.Entry{again}}})
	w.applyResult(watchResult{changes: []store.Change{{Entry: store.Entry{Key: "d/a", Rev: 7}, Deleted: true}}, rev: 7})
	if len(copied) != 1 {
		t.Errorf("the deletion at revision 7 has removed the entry of revision 8: %v", copied)
	}
	w.applyResult(watchResult{changes: []store.Change{{Entry: again}, {Entry: store.Entry{Key: "d/a", Rev: 9}, Deleted: true}}, rev: 9})
	if len(copied) != 0 {
		t.Errorf("after the deletion at revision 9 the copy has %v", copied)
	}
}
