package front

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/agent"
)

// The store answers only one follower, which becomes the holder. The former holder and most of its followers are cut
// off from the store. If these confirmed the former holder, two processes would act as the holder and a task would run
// twice. A single reply to the contrary must prevent the confirmation.
func TestConfirmedByPeers(t *testing.T) {
	storeSilent := followerReply{FollowerStatus: FollowerStatus{Failing: true, Term: 3}}
	storeAnswers := followerReply{FollowerStatus: FollowerStatus{Term: 3}}
	newerTerm := followerReply{FollowerStatus: FollowerStatus{Failing: true, Term: 4}}
	for _, tt := range []struct {
		name      string
		replies   []followerReply
		followers int
		want      bool
	}{
		{"store answers nobody", []followerReply{storeSilent, storeSilent, storeSilent}, 3, true},
		{"store answers nobody, one of three doesn't reply", []followerReply{storeSilent, storeSilent}, 3, true},
		{"store answers nobody, half don't reply", []followerReply{storeSilent, storeSilent}, 4, false},
		{"store answers one", []followerReply{storeSilent, storeSilent, storeSilent, storeAnswers}, 4, false},
		{"one knows a newer term", []followerReply{storeSilent, storeSilent, newerTerm}, 3, false},
		{"no followers", nil, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := confirmedByPeers(3, tt.replies, tt.followers); got != tt.want {
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
		m.recordFollower(agent.Candidate{Addr: addr}, confirmedAt.Add(-time.Second))
	}
	m.recordFollower(agent.Candidate{Addr: "gone"}, confirmedAt.Add(-2*followerTTL))
	m.recordFollower(agent.Candidate{Addr: "a"}, confirmedAt.Add(2*followerTTL))
	if got := m.followers(confirmedAt); len(got) != 5 {
		t.Errorf("%d followers, want the 5 at the time of the store's last confirmation", len(got))
	}
}
