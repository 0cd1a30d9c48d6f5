package once

import (
	"testing"
	"time"

	"github.com/google/uuid"
)

func everyone(string) bool { return true }

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
		{"never heard of", nil, 1, "e1", false, everyone, Fresh},
		{"being run", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e2", true, everyone, Running},
		{"its process died", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e2", true, gone, Unknown},
		{"heard of from the process itself before", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e1", true, everyone, Fresh},
		{"a caller's repeat at the same process", []Record{{ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e1", false, everyone, Running},
		{"answered", []Record{done}, 1, "e2", true, gone, Done},
		{"answered, then heard of as begun", []Record{done, {ID: "k", Print: 1, By: "e1", State: StateBegun}}, 1, "e2", true, gone, Done},
		{"outcome lost", []Record{{ID: "k", Print: 1, By: "e1", State: StateUnknown}}, 1, "e2", true, everyone, Unknown},
		{"other content", []Record{done}, 2, "e2", true, everyone, Mismatch},
	} {
		table := New(time.Minute)
		table.Merge(now, tc.before)
		if got, _ := table.Begin(now, "k", tc.print, tc.by, tc.repeats, tc.alive); got != tc.want {
			t.Errorf("%s: %s, not %s", tc.name, got, tc.want)
		}
	}
}

// Two processes are lost at once, and with them what they knew. A key that may be older
// must not be run; one that tells that it was made since may; after keep all may.
func TestBlank(t *testing.T) {
	now := time.Now()
	table := New(time.Minute)
	table.SetBlank(now.Add(-10 * time.Second))
	v7, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	if v, _ := table.Begin(now, "some-key", 1, "e1", false, everyone); v != Unknown {
		t.Errorf("a key that may be older: %s", v)
	}
	if v, _ := table.Begin(now, v7.String(), 1, "e1", false, everyone); v != Fresh {
		t.Errorf("a key made since: %s", v)
	}
	if v, _ := table.Begin(now.Add(2*time.Minute), "some-key", 1, "e1", false, everyone); v != Fresh {
		t.Errorf("a key after keep: %s", v)
	}
}

// A request was refused, so it has not run: its key must be free again, but only for
// what was certainly not sent.
func TestDrop(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(time.Minute)
	table.Begin(now, "k", 1, "e1", false, everyone)
	table.Drop("k", "e2")
	if v, _ := table.Begin(now, "k", 1, "e3", true, everyone); v != Running {
		t.Errorf("dropped by a process that didn't begin it: %s", v)
	}
	table.Drop("k", "e1")
	if v, _ := table.Begin(now, "k", 1, "e3", true, everyone); v != Fresh {
		t.Errorf("dropped by its process: %s", v)
	}
	table.Finish(now, Record{ID: "k", Print: 1, By: "e3", State: StateDone})
	table.Drop("k", "e3")
	if v, _ := table.Begin(now, "k", 1, "e1", true, everyone); v != Done {
		t.Errorf("a late drop of what has run: %s", v)
	}
}
