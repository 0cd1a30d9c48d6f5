package lead

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Voter identifies one process by the address of its peer interface and an id that is new at each start. A process that
// has restarted is another voter, as it has forgotten the terms that it promised.
type Voter struct {
	Addr string `json:"addr"` // of the peer interface (host:port)
	ID   string `json:"id"`   // random
}

// newVoter returns a voter with a new id.
func newVoter(addr string) Voter {
	return Voter{addr, uuid.NewString()[:8]}
}

// Electorate is a holder with the followers that may extend its tenure while the store doesn't answer.
type Electorate struct {
	Term   int64   `json:"term"`
	Holder Voter   `json:"holder"`
	Voters []Voter `json:"voters"` // sorted by address
}

// Confirmed reports whether enough voters confirm the holder: more than half of them.
func (e *Electorate) Confirmed(confirms func(Voter) bool) bool {
	return 2*e.count(confirms) > len(e.Voters)
}

// Released reports whether the holder can't be confirmed any more, given the voters that have promised a newer term or
// have been replaced at their addresses. That is certain for at least half of the voters, as those that confirm are more
// than half, and for the holder's own process, which ends its tenure.
func (e *Electorate) Released(promised func(Voter) bool) bool {
	return promised(e.Holder) || 2*e.count(promised) >= len(e.Voters)
}

// count returns the number of voters that match.
func (e *Electorate) count(match func(Voter) bool) int {
	n := 0
	for _, v := range e.Voters {
		if match(v) {
			n++
		}
	}
	return n
}

// claimElectorates returns the electorates to be stored by a claim, given those that are stored: the former ones that
// may still confirm their holders, followed by that of the new holder. Its first voters are the former holder and its
// voters, as the store may stop answering before the new holder has heard its followers.
func claimElectorates(stored []Electorate, holder Voter, term int64) []Electorate {
	own := Electorate{Term: term, Holder: holder}
	if n := len(stored); n > 0 && len(stored[n-1].Voters) > 0 {
		last := stored[n-1]
		own.Voters = sortedVoters(append(slices.Clone(last.Voters), last.Holder), holder.Addr)
	}
	var all []Electorate
	for _, e := range stored {
		// The former tenure of a process at this address is over.
		if len(e.Voters) > 0 && e.Holder.Addr != holder.Addr {
			all = append(all, e)
		}
	}
	return append(all, own)
}

// sortedVoters returns voters sorted by address, without those at the address except. Of two at one address it keeps the
// last.
func sortedVoters(voters []Voter, except string) []Voter {
	byAddr := map[string]Voter{}
	for _, v := range voters {
		if v.Addr != except {
			byAddr[v.Addr] = v
		}
	}
	return slices.SortedFunc(maps.Values(byAddr), func(a, b Voter) int { return strings.Compare(a.Addr, b.Addr) })
}

// encodeElectorates returns electorates as stored.
func encodeElectorates(all []Electorate) []byte {
	b, err := json.Marshal(all)
	if err != nil {
		panic("lead: electorates can always be encoded: " + err.Error())
	}
	return b
}

// decodeElectorates decodes stored electorates.
func decodeElectorates(b []byte) ([]Electorate, error) {
	var all []Electorate
	err := json.Unmarshal(b, &all)
	return all, errors.Wrap(err, "lead: decode the electorates")
}
