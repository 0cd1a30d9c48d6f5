package drive

import (
	"reflect"
	"testing"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// Each revision of an entry is decoded once, and an entry that names no worker is skipped.
func TestDirectoryDecoder(t *testing.T) {
	decodes := 0
	d := directoryDecoder{decode: func(e store.Entry) (sched.Member, bool) {
		decodes++
		return sched.Member{Incarnation: sched.Incarnation{ID: e.Key}, Addr: string(e.Value)}, len(e.Value) > 0
	}}
	entry := func(key, addr string, rev uint64) store.Entry {
		return store.Entry{Key: key, Value: []byte(addr), Rev: rev}
	}
	for _, tt := range []struct {
		name    string
		entries []store.Entry
		want    []string // addresses
		decodes int
	}{
		{"first", []store.Entry{entry("a", "1", 1), entry("b", "2", 2)}, []string{"1", "2"}, 2},
		{"nothing changed", []store.Entry{entry("a", "1", 1), entry("b", "2", 2)}, []string{"1", "2"}, 0},
		{"one changed", []store.Entry{entry("a", "3", 5), entry("b", "2", 2)}, []string{"3", "2"}, 1},
		{"one gone", []store.Entry{entry("b", "2", 2)}, []string{"2"}, 0},
		{"one added again", []store.Entry{entry("a", "4", 7), entry("b", "2", 2)}, []string{"4", "2"}, 1},
		{"one names no worker", []store.Entry{entry("a", "", 8), entry("b", "2", 2)}, []string{"2"}, 1},
	} {
		decodes = 0
		var got []string
		for _, m := range d.decodeAll(tt.entries) {
			got = append(got, m.Addr)
		}
		if len(got) != len(tt.want) || decodes != tt.decodes {
			t.Errorf("%s: %v with %d decoded, want %v with %d", tt.name, got, decodes, tt.want, tt.decodes)
			continue
		}
		for i := range got {
			if got[i] != tt.want[i] {
				t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
			}
		}
	}
}

// Guards against a worker that stays listed although the changed entries no longer name it.
func TestDecodeChanges(t *testing.T) {
	d := directoryDecoder{decode: func(e store.Entry) (sched.Member, bool) {
		return sched.Member{Incarnation: sched.Incarnation{ID: string(e.Value)}}, len(e.Value) > 0
	}}
	entry := func(key, id string, rev uint64) store.Entry {
		return store.Entry{Key: key, Value: []byte(id), Rev: rev}
	}
	d.decodeAll([]store.Entry{entry("a", "w1", 1), entry("b", "w2", 2), entry("c", "", 3)})
	for _, tt := range []struct {
		name             string
		changed          []store.Entry
		deleted          []string
		members, removed []string // ids
	}{
		{"written again", []store.Entry{entry("a", "w1", 4)}, nil, []string{"w1"}, nil},
		{"names another worker", []store.Entry{entry("a", "w3", 5)}, nil, []string{"w3"}, []string{"w1"}},
		{"names no worker", []store.Entry{entry("a", "", 6)}, nil, nil, []string{"w3"}},
		{"names one again", []store.Entry{entry("a", "w1", 7)}, nil, []string{"w1"}, nil},
		{"deleted", nil, []string{"a", "c", "unknown"}, nil, []string{"w1"}},
		{"added again", []store.Entry{entry("a", "w1", 9)}, []string{"b"}, []string{"w1"}, []string{"w2"}},
	} {
		members, removed := d.decodeChanges(tt.changed, tt.deleted)
		var ids []string
		for _, m := range members {
			ids = append(ids, m.ID)
		}
		if !reflect.DeepEqual(ids, tt.members) || !reflect.DeepEqual(removed, tt.removed) {
			t.Errorf("%s: workers %v, removed %v; want %v and %v", tt.name, ids, removed, tt.members, tt.removed)
		}
	}
}

// Guards against log lines without bound: an entry that names no worker is logged once until it names one again.
func TestLeftOutEntriesAreLoggedOnce(t *testing.T) {
	var leftOut []string
	d := directoryDecoder{
		decode:  func(e store.Entry) (sched.Member, bool) { return sched.Member{}, len(e.Value) > 0 },
		leftOut: func(key string) { leftOut = append(leftOut, key) },
	}
	odd := func(rev uint64) store.Entry { return store.Entry{Key: "odd", Rev: rev} }
	d.decodeAll([]store.Entry{odd(1)})
	d.decodeAll([]store.Entry{odd(1)})
	d.decodeChanges([]store.Entry{odd(2)}, nil)
	d.decodeAll([]store.Entry{odd(3)})
	d.decodeChanges([]store.Entry{{Key: "odd", Value: []byte("x"), Rev: 4}}, nil)
	if len(leftOut) != 1 {
		t.Errorf("logged %v, want one line", leftOut)
	}
	d.decodeChanges([]store.Entry{odd(5)}, nil)
	if len(leftOut) != 2 {
		t.Errorf("logged %v, want a second line once the entry has named a worker", leftOut)
	}
}
