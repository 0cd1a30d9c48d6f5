package once

import (
	"strings"
	"testing"
)

// TestLostMembers guards against request ids that count as forgotten for as long as they are kept though every
// process that knew of them is back: on starved cores all lapse at once, and each comes back with its memory.
func TestLostMembers(t *testing.T) {
	for _, tt := range []struct {
		name  string
		views string // one after the other; members are letters
		told  string // members that a peer knows to be away, before the last view
		whole bool
	}{
		{"nobody lost", "abc abc", "", true},
		{"one lost", "abc ab", "", true},
		{"one after the other", "abc ab a", "", true},
		{"two at once", "abc a", "", false},
		{"two at once, others come", "abc a ade", "", false},
		{"one of the two is back", "abc a ab", "", true},
		{"two of three are back", "abcd a ab abc", "", true},
		{"one of three is back", "abcd a ab", "", false},
		{"all lapse, none is back", "abc -", "", false},
		{"all lapse, all are back", "abc - abc", "", true},
		{"all lapse, one stays away", "abc - ab", "", true},
		{"again while one is away", "abc ab - a", "", true},
		{"again while two are away", "abcd ab cd a", "", false},
		{"a new process, told of two away", "a", "bc", false},
		{"a new process, told of two of which one is back", "ab", "bc", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var l lostMembers
			var whole bool
			views := strings.Fields(tt.views)
			for i, v := range views {
				if i == len(views)-1 && tt.told != "" {
					l.addAbsent(strings.Split(tt.told, ""))
				}
				_, whole = l.update(strings.Split(strings.Trim(v, "-"), ""))
			}
			if whole != tt.whole {
				t.Errorf("whole = %v, want %v", whole, tt.whole)
			}
		})
	}
}

// TestUnknownLostMembers guards against a memory that counts as whole by the names of some of the members that know what
// is missing: where one doesn't know them all it names none, and so does who hears that.
func TestUnknownLostMembers(t *testing.T) {
	var a, b lostMembers
	a.addReported(nil)
	a.addReported([]string{"x", "y"})
	b.addReported(a.absentIDs())
	for name, l := range map[string]*lostMembers{"told of some": &a, "told by it": &b} {
		if _, whole := l.update([]string{"a", "b", "x", "y"}); whole {
			t.Errorf("%s: whole, though records of unknown members are missing", name)
		}
	}
}
