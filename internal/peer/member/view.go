package member

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"

	"bramleysail.example/bramleysail/internal/plat/store"
)

// State is the state that a member reports of itself.
type State string

// The states of a member.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // takes over nothing, but still answers
)

// Member is an entry process as stored under its key, where its peers read it.
type Member struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"` // host:port for net/rpc
	Zone  string `json:"zone"` // failure domain
	State State  `json:"state"`
}

// View is the membership as one read of the store returned it.
type View struct {
	epoch    uint64            // revision of the last change of the members' keys
	members  []Member          // in order of id
	leaseIDs map[string]string // lease to which each member's key is bound, by member id
}

// keyPrefix is the prefix of the members' keys in the store.
const keyPrefix = "member/"

// decodeView returns the view that the stored members make up. It skips entries that can't be
// decoded or whose key and id differ.
func decodeView(listing store.Listing) View {
	v := View{epoch: listing.Rev, leaseIDs: map[string]string{}}
	for _, e := range listing.Entries {
		var m Member
		if json.Unmarshal(e.Value, &m) == nil && m.ID == strings.TrimPrefix(e.Key, keyPrefix) {
			v.members = append(v.members, m)
			v.leaseIDs[m.ID] = e.Lease
		}
	}
	slices.SortFunc(v.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// NewView returns a view with the given members. It is meant for tests.
func NewView(epoch uint64, members ...Member) View {
	v := View{epoch: epoch, members: slices.Clone(members)}
	slices.SortFunc(v.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// Epoch returns the store's revision of the last change of the membership. It increases from view to view, and views with
// the same epoch are equal.
func (v View) Epoch() uint64 { return v.epoch }

// Members returns all members in order of id.
func (v View) Members() []Member { return v.members }

// Get returns the member with the id, and whether there is one.
func (v View) Get(id string) (Member, bool) {
	for _, m := range v.members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// LiveIDs returns the ids of the members that aren't leaving, in ascending order.
func (v View) LiveIDs() []string {
	var ids []string
	for _, m := range v.members {
		if m.State != StateLeaving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// HomeOf returns the home of a key: the live member that is responsible for it, by rendezvous
// hashing. Members whose ids are in excluded are left out. Every process with the same view
// computes the same home, and a member that joins or leaves changes the home only of keys for
// which it is or was the home itself.
func (v View) HomeOf(key string, excluded ...string) (Member, bool) {
	var best Member
	var bestScore uint64
	for _, m := range v.members {
		if m.State == StateLeaving || slices.Contains(excluded, m.ID) {
			continue
		}
		if s := rendezvousScore(m.ID, key); best.ID == "" || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best, best.ID != ""
}

// rendezvousScore returns a member's weight for a key. The member with the highest weight is the home.
func rendezvousScore(id, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return mixBits(h.Sum64())
}

// mixBits spreads FNV's weakly mixed low bits over the whole word, so that keys are
// distributed evenly among the members.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
