package once

import (
	"strings"
	"testing"
)

// TestLostMembers guards against records that count as missing for their complete retention time although every
// process that knew them has returned. When CPU cores are overloaded, all memberships expire at once, and each process
// returns with its records.
func TestLostMembers(t *testing.T) {
	for _, tt := range []struct {
		name     string
		views    string // one after the other; each letter is a member, - an empty view
		reported string // absent members that a peer reports before the last view
		complete bool
	}{
		{"no member lost", "abc abc", "", true},
		{"one lost", "abc ab", "", true},
		{"two lost one after the other", "abc ab a", "", true},
		{"two lost at once", "abc a", "", false},
		{"two lost at once, new members join", "abc a ade", "", false},
		{"one of two returns", "abc a ab", "", true},
		{"two of three return", "abcd a ab abc", "", true},
		{"one of three returns", "abcd a ab", "", false},
		{"all memberships expire, none returns", "abc -", "", false},
		{"all memberships expire, all return", "abc - abc", "", true},
		{"all memberships expire, one stays absent", "abc - ab", "", true},
		{"two more lost while one is absent", "abc ab - a", "", true},
		{"more lost while two are absent", "abcd ab cd a", "", false},
		{"a new process, two reported absent", "a", "bc", false},
		{"a new process, two reported absent of which one returns", "ab", "bc", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var l lostMembers
			var complete bool
			views := strings.Fields(tt.views)
			for i, v := range views {
				if i == len(views)-1 && tt.reported != "" {
					l.addAbsent(strings.Split(tt.reported, ""))
				}
				_, complete = l.update(strings.Split(strings.Trim(v, "-"), ""))
			}
			if complete != tt.complete {
				t.Errorf("complete = %v, want %v", complete, tt.complete)
			}
		})
	}
}

// TestUnknownLostMembers guards against records that count as complete when only some of the members that know the
// missing ones have returned. A process that doesn't know all these members reports none, and so does a process that
// got its report.
func TestUnknownLostMembers(t *testing.T) {
	var a, b lostMembers
	a.addReported(nil)
	a.addReported([]string{"x", "y"})
	b.addReported(a.absentIDs())
	for name, l := range map[string]*lostMembers{"knows some members": &a, "got the report of the other": &b} {
		if _, complete := l.update([]string{"a", "b", "x", "y"}); complete {
			t.Errorf("%s: complete, although records of unknown members are missing", name)
		}
	}
}
