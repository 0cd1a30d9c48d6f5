package lead

import (
	"fmt"
	"slices"
	"testing"
)

// voterAt returns the voter with the address and id of a single digit.
func voterAt(i int) Voter { return Voter{fmt.Sprint(i), fmt.Sprint(i)} }

// Guards against a holder that is confirmed by followers of which none has promised its successor's term: both would act.
func TestQuorumsIntersect(t *testing.T) {
	for n := range 9 {
		e := Electorate{Holder: Voter{Addr: "holder"}}
		for i := range n {
			e.Voters = append(e.Voters, voterAt(i))
		}
		in := func(set int) func(Voter) bool {
			return func(v Voter) bool {
				i := slices.Index(e.Voters, v)
				return i >= 0 && set&(1<<i) != 0
			}
		}
		for confirming := range 1 << n {
			for promised := range 1 << n {
				if confirming&promised == 0 && e.Confirmed(in(confirming)) && e.Released(in(promised)) {
					t.Fatalf("%d voters: %b confirm and %b release", n, confirming, promised)
				}
			}
		}
		if all := 1<<n - 1; !e.Released(in(all)) || n > 0 && !e.Confirmed(in(all)) {
			t.Errorf("%d voters: all don't suffice", n)
		}
	}
}

// Guards against a successor that starts with voters other than those that the former holder had, or forgets a former
// holder that may still be confirmed.
func TestClaimElectorates(t *testing.T) {
	a, b, c, d := voterAt(1), voterAt(2), voterAt(3), voterAt(4)
	former := Electorate{Term: 3, Holder: a, Voters: []Voter{b, c, d}}
	silent := Electorate{Term: 2, Holder: d}
	own := func(voters ...Voter) Electorate { return Electorate{Term: 4, Holder: b, Voters: voters} }
	for _, tt := range []struct {
		name   string
		stored []Electorate
		want   []Electorate
	}{
		{"first holder", nil, []Electorate{own()}},
		{"former holder", []Electorate{former}, []Electorate{former, own(a, c, d)}},
		{"former holder without voters", []Electorate{silent}, []Electorate{own()}},
		{"former holder at the claimant's address", []Electorate{{Term: 2, Holder: Voter{b.Addr, "old"}, Voters: []Voter{a}}, former}, []Electorate{former, own(a, c, d)}},
		{"two former holders", []Electorate{{Term: 2, Holder: d, Voters: []Voter{c}}, former}, []Electorate{{Term: 2, Holder: d, Voters: []Voter{c}}, former, own(a, c, d)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := claimElectorates(tt.stored, b, 4)
			if fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}
