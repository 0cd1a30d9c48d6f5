package front

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/ctrl/lead"
)

// The store answers only one follower, which becomes the holder. The former holder and most of its followers are cut
// off from the store. If these confirmed the former holder, two processes would act as the holder and a task would run
// twice. A single reply to the contrary must prevent the confirmation.
func TestConfirmedByPeers(t *testing.T) {
	from := func(id string, status FollowerStatus) followerReply {
		status.ID = id
		return followerReply{id, status}
	}
	storeSilent := FollowerStatus{Failing: true, Term: 3}
	storeAnswers := FollowerStatus{Term: 3}
	newerTerm := FollowerStatus{Failing: true, Term: 4}
	electorate := func(ids ...string) lead.Electorate {
		var e lead.Electorate
		for _, id := range ids {
			e.Voters = append(e.Voters, lead.Voter{Addr: id, ID: id})
		}
		return e
	}
	restarted := from("a", storeSilent)
	restarted.ID = "a2"
	for _, tt := range []struct {
		name        string
		replies     []followerReply
		electorates []lead.Electorate
		want        bool
	}{
		{"store answers nobody", []followerReply{from("a", storeSilent), from("b", storeSilent), from("c", storeSilent)}, []lead.Electorate{electorate("a", "b", "c")}, true},
		{"store answers nobody, one of three doesn't reply", []followerReply{from("a", storeSilent), from("b", storeSilent)}, []lead.Electorate{electorate("a", "b", "c")}, true},
		{"store answers nobody, half don't reply", []followerReply{from("a", storeSilent), from("b", storeSilent)}, []lead.Electorate{electorate("a", "b", "c", "d")}, false},
		{"store answers one", []followerReply{from("a", storeSilent), from("b", storeSilent), from("c", storeSilent), from("d", storeAnswers)}, []lead.Electorate{electorate("a", "b", "c", "d")}, false},
		{"store answers one that is no voter", []followerReply{from("a", storeSilent), from("b", storeSilent), from("d", storeAnswers)}, []lead.Electorate{electorate("a", "b")}, false},
		{"one knows a newer term", []followerReply{from("a", storeSilent), from("b", storeSilent), from("c", newerTerm)}, []lead.Electorate{electorate("a", "b", "c")}, false},
		{"one that makes the majority has restarted", []followerReply{restarted, from("b", storeSilent)}, []lead.Electorate{electorate("a", "b", "c")}, false},
		{"most replies are of no voters", []followerReply{from("a", storeSilent), from("d", storeSilent), from("e", storeSilent)}, []lead.Electorate{electorate("a", "b", "c")}, false},
		{"no majority of the voters that are being stored", []followerReply{from("a", storeSilent), from("b", storeSilent)}, []lead.Electorate{electorate("a", "b", "c"), electorate("a", "b", "c", "d")}, false},
		{"no followers", nil, []lead.Electorate{electorate()}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := confirmedByPeers(3, tt.replies, tt.electorates); got != tt.want {
				t.Errorf("confirmed: %t, want %t", got, tt.want)
			}
		})
	}
}

// A holder is cut off together with one of its five followers. If it dropped the other four after some seconds, the
// remaining one would be a majority and confirm it.
func TestFollowersKeptWhileUnconfirmed(t *testing.T) {
	m := &peerMonitor{}
	confirmedAt := time.Now()
	for _, addr := range []string{"a", "b", "c", "d", "e"} {
		m.recordFollower(Heartbeat{Addr: addr}, confirmedAt.Add(-time.Second))
	}
	m.recordFollower(Heartbeat{Addr: "gone"}, confirmedAt.Add(-2*followerTTL))
	m.recordFollower(Heartbeat{Addr: "a"}, confirmedAt.Add(2*followerTTL))
	if got := m.followers(confirmedAt); len(got) != 5 {
		t.Errorf("%d followers, want the 5 at the time of the store's last confirmation", len(got))
	}
}
