package lead

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/plat/store"
)

// tenureElectorates is what a holder knows of its voters and of those of former holders.
type tenureElectorates struct {
	own        Electorate   // as stored
	next       *Electorate  // as being stored; nil: no write is under way
	former     []Electorate // of former holders; empty once they are released
	stored     int          // number of former ones in the store
	releasedAt time.Time    // when former holders were released; zero: not yet
}

// newTenureElectorates returns the electorates of a tenure whose claim, sent at the given time, has stored all.
func newTenureElectorates(all []Electorate, claimedAt time.Time) tenureElectorates {
	n := len(all) - 1
	t := tenureElectorates{own: all[n], former: all[:n:n], stored: n}
	if n == 0 {
		t.releasedAt = claimedAt
	}
	return t
}

// Electorates returns the electorates all of which must confirm the holder: the stored one and, while a change of the
// voters is being stored, the changed one.
func (t *Tenure) Electorates() []Electorate {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []Electorate{t.electorates.own}
	if t.electorates.next != nil {
		all = append(all, *t.electorates.next)
	}
	return all
}

// FormerElectorates returns the electorates of former holders that aren't released.
func (t *Tenure) FormerElectorates() []Electorate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.electorates.former
}

// ReleaseFormer records that since a time no former holder can be confirmed by its voters any more.
func (t *Tenure) ReleaseFormer(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.electorates.former = nil
	if t.electorates.releasedAt.IsZero() {
		t.electorates.releasedAt = at
	}
}

// FormerReleasedAt returns the time since which no former holder can be confirmed by its voters any more, or the zero
// time if one may be. Each has ceased to act, and its leases on workers have ended, within the usual times after that.
func (t *Tenure) FormerReleasedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.electorates.releasedAt
}

// SetVoters stores the holder's voters if they differ from the stored ones, and removes the electorates of released
// former holders from the store. It returns the error of Commit. It isn't safe for concurrent use with itself.
func (t *Tenure) SetVoters(voters []Voter) error {
	next := Electorate{Term: t.claim.Term, Holder: t.elector.self, Voters: sortedVoters(voters, t.claim.Addr)}
	e := &t.electorates
	t.mu.Lock()
	if slices.Equal(next.Voters, e.own.Voters) && e.stored == len(e.former) {
		t.mu.Unlock()
		return nil
	}
	former := e.former
	e.next = &next
	t.mu.Unlock()
	value := encodeElectorates(append(slices.Clone(former), next))
	if err := t.Commit([]store.Write{{Key: keyVoters, Value: value}}); err != nil {
		return err // the tenure is over, or the write may still be carried out: next stays in force
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e.own, e.next, e.stored = next, nil, len(former)
	return nil
}
