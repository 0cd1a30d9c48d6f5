package once

import (
	"testing"
	"time"

	"github.com/google/uuid"
)

func allAlive(string) bool { return true }

// TestBegin guards against a wrong answer to the repeat of a request, for each way in which a
// process can have got the record of the first one.
func TestBegin(t *testing.T) {
	now := time.Unix(1000, 0)
	gone := func(string) bool { return false }
	done := Record{ID: "k", Print: 1, By: "e1", State: StateDone}
	for _, tc := range []struct {
		name         string
		records      []Record
		fingerprint  uint64
		by           string
		allowRebegin bool
		alive        func(string) bool
		want         Verdict
	}{
		{"no record", nil, 1, "e1", false, allAlive, VerdictNew},
		{"begun by another member", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e2", true, allAlive, VerdictRunning},
		{"begun by a process that is gone", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e2", true, gone, VerdictUnknown},
		{"record pulled from the sender before its call arrives", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e1", true, allAlive, VerdictNew},
		{"caller's repeat at the same process", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e1", false, allAlive, VerdictRunning},
		{"answered", []Record{done}, 1, "e2", true, gone, VerdictDone},
		{"answered, then an older record merged", []Record{done, {ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e2", true, gone, VerdictDone},
		{"outcome unknown", []Record{{ID: "k", Print: 1, By: "e1", State: StateUnknown}}, 1, "e2", true, allAlive, VerdictUnknown},
		{"other content", []Record{done}, 2, "e2", true, allAlive, VerdictMismatch},
	} {
		table := NewTable(time.Minute)
		table.Merge(now, tc.records)
		if got, _ := table.Begin(now, "k", tc.fingerprint, tc.by, tc.allowRebegin, tc.alive); got != tc.want {
			t.Errorf("%s: got %s, want %s", tc.name, got, tc.want)
		}
	}
}

// TestIncomplete guards against running a request again whose record was lost with two
// processes at once. An id that may be older than the loss must not be run, an id with a later
// creation time may, and after the retention time every id may.
func TestIncomplete(t *testing.T) {
	now := time.Now()
	table := NewTable(time.Minute)
	table.MarkIncomplete(now.Add(-10 * time.Second))
	v7, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	if v, _ := table.Begin(now, "some-key", 1, "e1", false, allAlive); v != VerdictUnknown {
		t.Errorf("id that may be older than the loss: %s", v)
	}
	if v, _ := table.Begin(now, v7.String(), 1, "e1", false, allAlive); v != VerdictNew {
		t.Errorf("id created after the loss: %s", v)
	}
	if v, _ := table.Begin(now.Add(2*time.Minute), "some-key", 1, "e1", false, allAlive); v != VerdictNew {
		t.Errorf("id after the retention time: %s", v)
	}
}

// TestDropUnsent guards against an id that stays taken after its request was refused and so
// has not run, and against an id that is freed although its request may have been sent.
func TestDropUnsent(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute)
	table.Begin(now, "k", 1, "e1", false, allAlive)
	table.DropUnsent("k", "e2")
	if v, _ := table.Begin(now, "k", 1, "e3", true, allAlive); v != VerdictRunning {
		t.Errorf("after a drop by a process that didn't begin it: %s", v)
	}
	table.DropUnsent("k", "e1")
	if v, _ := table.Begin(now, "k", 1, "e3", true, allAlive); v != VerdictNew {
		t.Errorf("after a drop by the process that began it: %s", v)
	}
	table.Finish(now, Record{ID: "k", Print: 1, By: "e3", State: StateDone})
	table.DropUnsent("k", "e3")
	if v, _ := table.Begin(now, "k", 1, "e1", true, allAlive); v != VerdictDone {
		t.Errorf("after a late drop of a request that has run: %s", v)
	}
}
