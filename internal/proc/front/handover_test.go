package front

import "testing"

// A weak holder with too many workers hands over, but only for a gain: to a follower that would
// lose the key at once, or is as weak, a change costs more than it brings.
func TestChooseSuccessor(t *testing.T) {
	const term = 3
	at := func(addr string, carries int) followerReply {
		return followerReply{addr, FollowerStatus{Carries: carries, Term: term}}
	}
	failing, newer := at("failing", 700), at("newer", 700)
	failing.Failing = true
	newer.Term = term + 1
	for _, tt := range []struct {
		name            string
		carries, limits int
		workers         int
		offers          []followerReply
		want            string // "": nobody
	}{
		{"strong one follows", 91, 91, 350, []followerReply{at("weak", 91), at("strong", 666)}, "strong"},
		{"the strongest", 91, 91, 350, []followerReply{at("a", 300), at("b", 666), at("c", 400)}, "b"},
		{"enough for the workers", 91, 91, 91, []followerReply{at("strong", 666)}, ""},
		{"own limits not known", 0, 0, 350, []followerReply{at("strong", 666)}, ""},
		{"no followers", 91, 91, 350, nil, ""},
		{"all alike", 91, 91, 350, []followerReply{at("a", 91), at("b", 91)}, ""},
		{"hardly stronger", 91, 91, 350, []followerReply{at("a", 136)}, ""},
		{"clearly stronger, too weak as well", 91, 91, 350, []followerReply{at("a", 137)}, "a"},
		{"limits there not known, or it stops", 91, 91, 350, []followerReply{at("a", 0)}, ""},
		{"the store fails it", 91, 91, 350, []followerReply{failing, at("b", 200)}, "b"},
		{"it knows of a newer holder", 91, 91, 350, []followerReply{newer}, ""},
		{"slowed, a sound one follows", 83, 666, 350, []followerReply{at("weak", 91), at("sound", 666)}, "sound"},
		{"slowed, only weak ones follow", 20, 666, 350, []followerReply{at("a", 91), at("b", 349)}, ""},
		{"slowed, and so are the others", 83, 666, 350, []followerReply{at("a", 83), at("b", 110)}, ""},
		{"slowed, and carries the workers still", 222, 666, 200, []followerReply{at("sound", 666)}, ""},
		{"slowed, hardly faster", 300, 666, 350, []followerReply{at("a", 400)}, ""},
		{"weak and slowed", 15, 91, 350, []followerReply{at("a", 91)}, "a"},
	} {
		got, ok := chooseSuccessor(tt.carries, tt.limits, tt.workers, term, tt.offers)
		if ok != (tt.want != "") || ok && got.addr != tt.want {
			t.Errorf("%s: %q, %v, want %q", tt.name, got.addr, ok, tt.want)
		}
	}
}
