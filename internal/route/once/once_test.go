package once

import (
	"testing"
	"time"

	"github.com/google/uuid"
)

func allAlive(string) bool { return true }

// A repeat of a request must be told what became of the first, by every way in which a
// process can have learned of it.
func TestBegin(t *testing.T) {
	now := time.Unix(1000, 0)
	gone := func(string) bool { return false }
	done := Record{ID: "k", Print: 1, By: "e1", State: StateDone}
	for _, tc := range []struct {
		name    string
		before  []Record
		print   uint64
		by      string
		repeats bool
		alive   func(string) bool
		want    Verdict
	}{
		{"never heard of", nil, 1, "e1", false, allAlive, VerdictNew},
		{"being run", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e2", true, allAlive, VerdictRunning},
		{"its process died", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e2", true, gone, VerdictUnknown},
		{"heard of from the process itself before", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e1", true, allAlive, VerdictNew},
		{"a caller's repeat at the same process", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e1", false, allAlive, VerdictRunning},
		{"answered", []Record{done}, 1, "e2", true, gone, VerdictDone},
		{"answered, then heard of as begun", []Record{done, {ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e2", true, gone, VerdictDone},
		{"outcome lost", []Record{{ID: "k", Print: 1, By: "e1", State: StateUnknown}}, 1, "e2", true, allAlive, VerdictUnknown},
		{"other content", []Record{done}, 2, "e2", true, allAlive, VerdictMismatch},
	} {
		table := NewTable(time.Minute)
		table.Merge(now, tc.before)
		if got, _ := table.Begin(now, "k", tc.print, tc.by, tc.repeats, tc.alive); got != tc.want {
			t.Errorf("%s: %s, not %s", tc.name, got, tc.want)
		}
	}
}

// Two processes are lost at once, and with them what they knew. A key that may be older
// must not be run; one that tells that it was made since may; after keep all may.
func TestIncomplete(t *testing.T) {
	now := time.Now()
	table := NewTable(time.Minute)
	table.MarkIncomplete(now.Add(-10 * time.Second))
	v7, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	if v, _ := table.Begin(now, "some-key", 1, "e1", false, allAlive); v != VerdictUnknown {
		t.Errorf("a key that may be older: %s", v)
	}
	if v, _ := table.Begin(now, v7.String(), 1, "e1", false, allAlive); v != VerdictNew {
		t.Errorf("a key made since: %s", v)
	}
	if v, _ := table.Begin(now.Add(2*time.Minute), "some-key", 1, "e1", false, allAlive); v != VerdictNew {
		t.Errorf("a key after keep: %s", v)
	}
}

// A request was refused, so it has not run: its key must be free again, but only for
// what was certainly not sent.
func TestDropUnsent(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Minute)
	table.Begin(now, "k", 1, "e1", false, allAlive)
	table.DropUnsent("k", "e2")
	if v, _ := table.Begin(now, "k", 1, "e3", true, allAlive); v != VerdictRunning {
		t.Errorf("dropped by a process that didn't begin it: %s", v)
	}
	table.DropUnsent("k", "e1")
	if v, _ := table.Begin(now, "k", 1, "e3", true, allAlive); v != VerdictNew {
		t.Errorf("dropped by its process: %s", v)
	}
	table.Finish(now, Record{ID: "k", Print: 1, By: "e3", State: StateDone})
	table.DropUnsent("k", "e3")
	if v, _ := table.Begin(now, "k", 1, "e1", true, allAlive); v != VerdictDone {
		t.Errorf("a late drop of what has run: %s", v)
	}
}
