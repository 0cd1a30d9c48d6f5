package front

import "testing"

// A holder with more workers than capacity hands over only if there is a gain. A handover to a follower that would stop
// being the holder at once, or that has as little capacity, costs more than it gains.
func TestChooseSuccessor(t *testing.T) {
	const term = 3
	reply := func(addr string, capacity int) followerReply {
		return followerReply{addr, FollowerStatus{Carries: capacity, Term: term}}
	}
	failing, newerTerm := reply("failing", 700), reply("newer", 700)
	failing.Failing = true
	newerTerm.Term = term + 1
	for _, tt := range []struct {
		name                        string
		capacity, fullSpeedCapacity int
		workers                     int
		replies                     []followerReply
		want                        string // address of the successor; "": none
	}{
		{"large follower", 91, 91, 350, []followerReply{reply("small", 91), reply("large", 666)}, "large"},
		{"the largest follower", 91, 91, 350, []followerReply{reply("a", 300), reply("b", 666), reply("c", 400)}, "b"},
		{"enough capacity for the workers", 91, 91, 91, []followerReply{reply("large", 666)}, ""},
		{"own limits not known", 0, 0, 350, []followerReply{reply("large", 666)}, ""},
		{"no followers", 91, 91, 350, nil, ""},
		{"followers with the same capacity", 91, 91, 350, []followerReply{reply("a", 91), reply("b", 91)}, ""},
		{"gain too small", 91, 91, 350, []followerReply{reply("a", 136)}, ""},
		{"enough gain, too little capacity for all workers", 91, 91, 350, []followerReply{reply("a", 137)}, "a"},
		{"follower's capacity not known, or it is stopping", 91, 91, 350, []followerReply{reply("a", 0)}, ""},
		{"store doesn't answer the larger follower", 91, 91, 350, []followerReply{failing, reply("b", 200)}, "b"},
		{"follower knows a newer term", 91, 91, 350, []followerReply{newerTerm}, ""},
		{"slowed, follower at full speed", 83, 666, 350, []followerReply{reply("small", 91), reply("fast", 666)}, "fast"},
		{"slowed, only followers with too little capacity", 20, 666, 350, []followerReply{reply("a", 91), reply("b", 349)}, ""},
		{"slowed, and so are the followers", 83, 666, 350, []followerReply{reply("a", 83), reply("b", 110)}, ""},
		{"slowed, still enough capacity for the workers", 222, 666, 200, []followerReply{reply("fast", 666)}, ""},
		{"slowed, gain too small", 300, 666, 350, []followerReply{reply("a", 400)}, ""},
		{"small and slowed", 15, 91, 350, []followerReply{reply("a", 91)}, "a"},
	} {
		got, ok := chooseSuccessor(tt.capacity, tt.fullSpeedCapacity, tt.workers, term, tt.replies)
		if ok != (tt.want != "") || ok && got.addr != tt.want {
			t.Errorf("%s: successor %q (found: %v), want %q", tt.name, got.addr, ok, tt.want)
		}
	}
}

// Guards against a holder that hands over to one of the same size although its agents make its calls: its machine is slow
// for a moment, the tasks of all workers wait for the change, and the next holder hands over again.
func TestHandoverWithAgents(t *testing.T) {
	for _, tt := range []struct {
		name        string
		capacity    int
		agentsInUse bool
		follower    int
		want        bool
	}{
		{"slowed, follower with the same limits", 50, true, 108, false},
		{"slowed, follower with clearly more", 50, true, 162, true},
		{"full speed, follower with clearly more", 108, true, 1100, true},
		{"slowed, no agents", 50, false, 108, true},
	} {
		capacity := comparedCapacity(tt.capacity, 108, tt.agentsInUse)
		if _, got := chooseSuccessor(capacity, 108, 1002, 3, []followerReply{{"a", FollowerStatus{Carries: tt.follower, Term: 3}}}); got != tt.want {
			t.Errorf("%s: hands over: %t", tt.name, got)
		}
	}
}
