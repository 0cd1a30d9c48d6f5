package front

import (
	"testing"
	"time"
)

// Two processes act as the holder, and a book is printed twice: the store turns the holder and most of its
// peers away and serves one, which becomes the holder; the former one is backed by the rest, who
// know no better, and goes on. One word against it has to end that.
func TestConfirmedByPeers(t *testing.T) {
	away := followerReply{FollowerStatus: FollowerStatus{Failing: true, Term: 3}}
	serves := followerReply{FollowerStatus: FollowerStatus{Term: 3}}
	newer := followerReply{FollowerStatus: FollowerStatus{Failing: true, Term: 4}}
	for _, tt := range []struct {
		name    string
		answers []followerReply
		all     int
		want    bool
	}{
		{"away for all", []followerReply{away, away, away}, 3, true},
		{"away, one is silent", []followerReply{away, away}, 3, true},
		{"away, half are silent", []followerReply{away, away}, 4, false},
		{"one is served", []followerReply{away, away, away, serves}, 4, false},
		{"one knows a newer holder", []followerReply{away, away, newer}, 3, false},
		{"nobody follows", nil, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := confirmedByPeers(3, tt.answers, tt.all); got != tt.want {
				t.Errorf("backed: %t, want %t", got, tt.want)
			}
		})
	}
}

// A holder is cut off with one of five followers. After some seconds the other four were forgotten,
// and the one that was left was a majority.
func TestFollowersKeptWhileUnconfirmed(t *testing.T) {
	p := &peerMonitor{}
	sure := time.Now()
	for _, addr := range []string{"a", "b", "c", "d", "e"} {
		p.recordFollower(addr, sure.Add(-time.Second))
	}
	p.recordFollower("gone", sure.Add(-2*followerTTL))
	p.recordFollower("a", sure.Add(2*followerTTL))
	if got := p.followers(sure); len(got) != 5 {
		t.Errorf("%d followers count, want the 5 of the store's last word", len(got))
	}
}
