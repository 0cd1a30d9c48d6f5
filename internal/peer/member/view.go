package member

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"

	"bramleysail.example/bramleysail/internal/plat/store"
)

// State is a member's own word on itself.
type State string

// The states of a member.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // takes over nothing, still answers
)

// Member is one entry process as its peers know it.
type Member struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"` // for net/rpc
	Zone  string `json:"zone"`
	State State  `json:"state"`
}

// View is the membership at one revision of the store.
type View struct {
	epoch    uint64
	members  []Member
	leaseIDs map[string]string // that hold the members' keys, by id
}

const keyPrefix = "member/"

func decodeView(p store.Listing) View {
	v := View{epoch: p.Rev, leaseIDs: map[string]string{}}
	for _, e := range p.Entries {
		var m Member
		if json.Unmarshal(e.Value, &m) == nil && m.ID == strings.TrimPrefix(e.Key, keyPrefix) {
			v.members = append(v.members, m)
			v.leaseIDs[m.ID] = e.Lease
		}
	}
	slices.SortFunc(v.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// NewView returns a view made of members; for tests and for adapters without a store.
func NewView(epoch uint64, members ...Member) View {
	v := View{epoch: epoch, members: slices.Clone(members)}
	slices.SortFunc(v.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// Epoch returns the store revision of the view; it only grows.
func (v View) Epoch() uint64 { return v.epoch }

// Members returns every member in order of id.
func (v View) Members() []Member { return v.members }

// Get returns the member with the id.
func (v View) Get(id string) (Member, bool) {
	for _, m := range v.members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// LiveIDs returns the ids of the members that aren't leaving, in order.
func (v View) LiveIDs() []string {
	var ids []string
	for _, m := range v.members {
		if m.State != StateLeaving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// HomeOf returns the live member that a key belongs to, leaving out those in not;
// every process with the same view names the same one, and a member's coming or
// going moves only the keys that are or were its own.
func (v View) HomeOf(key string, not ...string) (Member, bool) {
	var best Member
	var top uint64
	for _, m := range v.members {
		if m.State == StateLeaving || slices.Contains(not, m.ID) {
			continue
		}
		if s := rendezvousScore(m.ID, key); best.ID == "" || s > top {
			best, top = m, s
		}
	}
	return best, best.ID != ""
}

func rendezvousScore(id, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return mixBits(h.Sum64())
}

// mixBits spreads FNV's weakly mixed low bits over the whole word, so that ranks by
// score are even among members.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
