package front

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
)

const (
	// storeSilentAfter is the time since the store's last confirmation after which the holder asks its followers.
	storeSilentAfter = 600 * time.Millisecond
	// peerConfirmInterval is the time between two rounds of asking the followers.
	peerConfirmInterval = 500 * time.Millisecond
	// storeProbeTimeout limits a follower's probe of the store. It is longer than a slow store takes to answer.
	storeProbeTimeout = 500 * time.Millisecond
	// peerQueryTimeout limits the wait for the followers' replies, each of which may include a probe of the store.
	peerQueryTimeout = storeProbeTimeout + 200*time.Millisecond
	// voterUpdateInterval is the time between two writes of the holder's voters.
	voterUpdateInterval = 500 * time.Millisecond
	// promiseInterval is the time between two rounds in which a new holder asks for promises. Followers that know of it
	// promise with their first heartbeat.
	promiseInterval = heartbeatInterval
	// promiseTimeout limits one call for a promise.
	promiseTimeout = 300 * time.Millisecond
)

// confirmWithPeers asks the followers to confirm this holder while the store doesn't, until the tenure ends.
func (m *peerMonitor) confirmWithPeers(t *lead.Tenure) {
	for wait.For(t.Context(), peerConfirmInterval) {
		now := time.Now()
		if now.Sub(t.ConfirmedAt()) < storeSilentAfter {
			continue
		}
		replies := m.queryFollowers(t.Context(), m.followersAndVoters(t), peerQueryTimeout)
		for _, reply := range replies {
			m.elector.Promise(reply.Term) // a newer one ends the tenure
		}
		if !m.hearsOlderBuild() && confirmedByPeers(t.Term(), replies, t.Electorates()) {
			m.mu.Lock()
			m.confirmedAt = now
			m.mu.Unlock()
		}
	}
}

// confirmedByPeers reports whether the followers confirm the holder of a term. Enough voters of each electorate must
// reply that the store doesn't answer them, and no follower may reply that it does or that it knows a newer term.
//
// A successor needs only the store to claim, but waits for enough of the same voters before it takes former tasks for
// ended (see lead.Electorate).
func confirmedByPeers(term int64, replies []followerReply, electorates []lead.Electorate) bool {
	var confirming []lead.Voter
	for _, reply := range replies {
		if !reply.Failing || reply.Term > term {
			return false
		}
		confirming = append(confirming, reply.voter())
	}
	for _, e := range electorates {
		if !e.Confirmed(func(v lead.Voter) bool { return slices.Contains(confirming, v) }) {
			return false
		}
	}
	return len(electorates) > 0
}

// hearsOlderBuild reports whether a follower is of an older build. It may become the holder without regard to the voters.
func (m *peerMonitor) hearsOlderBuild() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.heard {
		if h.ID == "" {
			return true
		}
	}
	return false
}

// followersAndVoters returns the addresses of the followers and of the stored voters.
func (m *peerMonitor) followersAndVoters(t *lead.Tenure) []string {
	addrs := m.followers(t.ConfirmedAt())
	for _, e := range t.Electorates() {
		addrs = append(addrs, voterAddrs(e)...)
	}
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// voterAddrs returns the addresses of an electorate's voters.
func voterAddrs(e lead.Electorate) []string {
	var addrs []string
	for _, v := range e.Voters {
		addrs = append(addrs, v.Addr)
	}
	return addrs
}

// queryFollowers asks followers for their status and returns the replies that arrive within the timeout.
func (m *peerMonitor) queryFollowers(ctx context.Context, addrs []string, timeout time.Duration) []followerReply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan *followerReply, len(addrs))
	for _, addr := range addrs {
		go func() {
			status, err := m.peers.Outlook(ctx, addr)
			if err != nil {
				results <- nil
				return
			}
			results <- &followerReply{addr, status}
		}()
	}
	var replies []followerReply
	for range addrs {
		if reply := <-results; reply != nil {
			replies = append(replies, *reply)
		}
	}
	return replies
}

// keepVoters stores the holder's voters while the store confirms it, until the tenure ends.
func (m *peerMonitor) keepVoters(t *lead.Tenure) {
	for wait.For(t.Context(), voterUpdateInterval) {
		if time.Since(t.ConfirmedAt()) >= storeSilentAfter {
			continue
		}
		if err := t.SetVoters(m.voters(t)); err != nil {
			m.log.Info("voters not stored", "term", t.Term(), "cause", err.Error())
			t.End()
		}
	}
}

// voters returns the followers heard within followerTTL of the store's last confirmation, and those voters that the
// holder has inherited by its claim within that time.
func (m *peerMonitor) voters(t *lead.Tenure) []lead.Voter {
	at := t.ConfirmedAt()
	m.followers(at) // drops silent ones
	var voters []lead.Voter
	if at.Sub(t.ClaimedAt()) < followerTTL {
		voters = slices.Clone(t.Electorates()[0].Voters)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	voters = slices.DeleteFunc(voters, func(v lead.Voter) bool { return m.heard[v.Addr].ID != "" })
	for addr, h := range m.heard {
		if h.ID != "" {
			voters = append(voters, lead.Voter{Addr: addr, ID: h.ID})
		}
	}
	return voters
}

// recordPromise records a promise of the process at an address.
func (m *peerMonitor) recordPromise(addr string, p Promise) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.ID == "" || p.Term < m.promises[addr] {
		return
	}
	if m.promises == nil {
		m.promises = map[string]int64{}
	}
	m.promises[addr] = p.Term
	close(m.promiseSignal())
	m.promiseCh = nil
}

// promiseSignal returns a channel that is closed at the next promise. The caller holds m.mu.
func (m *peerMonitor) promiseSignal() chan struct{} {
	if m.promiseCh == nil {
		m.promiseCh = make(chan struct{})
	}
	return m.promiseCh
}

// promised returns a function that reports whether a voter can't confirm a holder of an older term than the given one any
// more, and a channel that is closed at the next promise. The process that answers at a voter's address is that voter, or
// has replaced it.
func (m *peerMonitor) promised(term int64) (func(lead.Voter) bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.promises, func(_ string, promised int64) bool { return promised < term })
	known := maps.Clone(m.promises)
	return func(v lead.Voter) bool { return v.Addr == m.elector.Self().Addr || known[v.Addr] >= term }, m.promiseSignal()
}

// releaseFormer waits until no former holder can be confirmed by its voters any more, or the tenure ends. It asks for the
// promises that don't come with heartbeats.
func (m *peerMonitor) releaseFormer(t *lead.Tenure) {
	former := t.FormerElectorates()
	start, asked := time.Now(), false
	tick := wait.NewTicker(promiseInterval)
	defer tick.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for len(former) > 0 {
		promised, more := m.promised(t.Term())
		former = slices.DeleteFunc(slices.Clone(former), func(e lead.Electorate) bool { return e.Released(promised) })
		if len(former) == 0 {
			t.ReleaseFormer(time.Now())
			break
		}
		select {
		case <-t.Context().Done():
			return
		case <-more:
		case <-tick.C():
			if !asked {
				m.log.Info("former holder not released", "term", t.Term(), "former", former[0].Term, "voters", len(former[0].Voters), "more", len(former)-1)
			}
			asked = true
			silent := silentAddrs(former, promised)
			calls.Go(func() { m.askForPromises(t, silent) })
		}
	}
	if asked {
		m.log.Info("former holders released", "term", t.Term(), "took", time.Since(start))
	}
}

// silentAddrs returns the addresses of the holders and voters of electorates that haven't promised.
func silentAddrs(electorates []lead.Electorate, promised func(lead.Voter) bool) []string {
	var addrs []string
	for _, e := range electorates {
		for _, v := range append(slices.Clone(e.Voters), e.Holder) {
			if !promised(v) {
				addrs = append(addrs, v.Addr)
			}
		}
	}
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// askForPromises asks the processes at the given addresses for promises.
func (m *peerMonitor) askForPromises(t *lead.Tenure, addrs []string) {
	ctx, cancel := context.WithTimeout(t.Context(), promiseTimeout)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, addr := range addrs {
		wg.Go(func() {
			if p, err := m.peers.Promise(ctx, addr, t.Term()); err == nil {
				m.recordPromise(addr, p)
			}
		})
	}
}
