package front

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/agent"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/peer/link"
)

const (
	// heartbeatInterval is the interval of a follower's heartbeats to the holder. Each is a call of some hundred bytes.
	heartbeatInterval = 500 * time.Millisecond
	// maxMissedHeartbeats is the number of failed heartbeats in a row after which the connection to the holder is
	// reset.
	maxMissedHeartbeats = 2
	// holderReachableWindow is how long the holder counts as reachable after an answer: two heartbeats may fail.
	holderReachableWindow = 1700 * time.Millisecond
	// holderSilentAfter is the time without an answer from the holder after which the store is probed. Without the
	// store there can be no other holder.
	holderSilentAfter = time.Second
	// heartbeatTimeout limits one heartbeat.
	heartbeatTimeout = 300 * time.Millisecond
	// followerTTL is how long a follower counts after its last heartbeat, while the store confirms the holder.
	followerTTL = 10 * time.Second
	// storeSilentAfter is the time since the store's last confirmation after which the holder asks its followers.
	storeSilentAfter = 600 * time.Millisecond
	// peerConfirmInterval is the time between two rounds of asking the followers.
	peerConfirmInterval = 500 * time.Millisecond
	// storeProbeTimeout limits a follower's probe of the store. It is longer than a slow store takes to answer.
	storeProbeTimeout = 500 * time.Millisecond
	// peerQueryTimeout limits the wait for the followers' replies, each of which may include a probe of the store.
	peerQueryTimeout = storeProbeTimeout + 200*time.Millisecond
)

// peerMonitor exchanges heartbeats and status with the other entry processes. As a follower, it sends heartbeats to the
// holder and detects whether this process is isolated. As the holder, it asks its followers to confirm it while the
// store doesn't answer: if the store answers none of them, there can be no successor, and the holder goes on.
//
// Without peer confirmation, the holder would have to stop during an outage of the store of some seconds, as it may
// have been replaced, and the leases of all tasks on all workers would expire.
type peerMonitor struct {
	elector  *lead.Elector // knows who the holder is
	peers    peerClient    // calls other entry processes
	capacity func() int    // returns how many workers this process would handle as the holder; 0: not known, or none
	limits   agent.Limits  // of this process as an agent

	mu               sync.Mutex
	heard            map[string]heartbeat // last heartbeat of each follower, by the address of its peer interface
	confirmedAt      time.Time            // when the followers last confirmed this process as the holder
	holderAnsweredAt time.Time            // when the holder last answered this process
	isolatedCh       chan struct{}        // closed while isolated is set; nil stands for an open channel
	isolated         bool                 // neither the holder nor the store answers this process
}

// heartbeat is a received heartbeat.
type heartbeat struct {
	at     time.Time    // when it was received
	limits agent.Limits // of its sender
}

// recordFollower records a heartbeat of a follower.
func (m *peerMonitor) recordFollower(f agent.Candidate, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard == nil {
		m.heard = map[string]heartbeat{}
	}
	m.heard[f.Addr] = heartbeat{now, f.Limits}
}

// followers returns the addresses of the followers whose last heartbeat was received at most followerTTL before the
// given time, or after it.
//
// Callers pass the time of the store's last confirmation, so that no follower is dropped during an outage of the store.
// If silent followers were dropped, a holder that is cut off together with a few of its followers would be confirmed by
// all that remain, while there is another holder on the other side of the partition.
func (m *peerMonitor) followers(at time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addrs []string
	for addr, last := range m.heard {
		if at.Sub(last.at) > followerTTL {
			delete(m.heard, addr)
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// heardSince returns the followers with a heartbeat since the given time, as candidates for agents.
func (m *peerMonitor) heardSince(at time.Time) []agent.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []agent.Candidate
	for addr, last := range m.heard {
		if last.at.After(at) {
			candidates = append(candidates, agent.Candidate{Addr: addr, Limits: last.limits})
		}
	}
	return candidates
}

// lastConfirmed returns when the followers last confirmed this process as the holder.
func (m *peerMonitor) lastConfirmed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmedAt
}

// sendHeartbeats sends a heartbeat to the holder at each interval, and at once to a new holder, until ctx ends. It
// updates whether this process is isolated. selfAddr is the address of this process's peer interface, selfName its name.
func (m *peerMonitor) sendHeartbeats(ctx context.Context, selfAddr, selfName string, interval time.Duration) {
	misses := 0
	_, changed := m.elector.Holder()
	for awaitHeartbeat(ctx, changed, interval) {
		var h lead.Holder
		h, changed = m.elector.Holder()
		if h.Name == selfName {
			m.setIsolated(false)
			continue
		}
		if h.Name == "" {
			m.setIsolated(m.probeIsolation(ctx))
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		err := m.peers.Announce(callCtx, h.Addr, agent.Candidate{Addr: selfAddr, Limits: m.limits})
		cancel()
		if err == nil {
			misses = 0
			m.mu.Lock()
			m.holderAnsweredAt = time.Now()
			m.mu.Unlock()
			m.setIsolated(false)
			continue
		}
		m.setIsolated(m.probeIsolation(ctx))
		if misses++; misses >= maxMissedHeartbeats && errors.Is(err, link.ErrAnswerLost) {
			misses = 0
			m.peers.Reset(h.Addr)
		}
	}
}

// awaitHeartbeat waits for the interval or until changed is closed, and reports whether ctx has not ended.
func awaitHeartbeat(ctx context.Context, changed <-chan struct{}, interval time.Duration) bool {
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
	return ctx.Err() == nil
}

// probeIsolation reports whether neither the holder nor the store answers this process. It probes the store only if the
// holder hasn't answered for holderSilentAfter. An isolated process can't have requests answered, nor learn of a new
// holder, until one of them answers again.
func (m *peerMonitor) probeIsolation(ctx context.Context) bool {
	m.mu.Lock()
	silent := time.Since(m.holderAnsweredAt) >= holderSilentAfter
	m.mu.Unlock()
	if !silent {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	return !m.elector.ProbeStore(ctx)
}

// setIsolated sets whether this process is isolated, and closes or replaces isolatedCh on a change.
func (m *peerMonitor) setIsolated(isolated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if isolated == m.isolated {
		return
	}
	m.isolated = isolated
	if m.isolatedCh == nil || !isolated {
		m.isolatedCh = make(chan struct{})
	}
	if isolated {
		close(m.isolatedCh)
	}
}

// isolation returns a channel that is closed once this process is isolated, and whether it is.
func (m *peerMonitor) isolation() (<-chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isolatedCh == nil {
		m.isolatedCh = make(chan struct{})
	}
	return m.isolatedCh, m.isolated
}

// holderReachable reports whether the holder has answered this process within holderReachableWindow.
func (m *peerMonitor) holderReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.holderAnsweredAt) < holderReachableWindow
}

// confirmWithPeers asks the followers to confirm this holder while the store doesn't, until the tenure ends.
func (m *peerMonitor) confirmWithPeers(t *lead.Tenure) {
	for wait.For(t.Context(), peerConfirmInterval) {
		now := time.Now()
		if now.Sub(t.ConfirmedAt()) < storeSilentAfter {
			continue
		}
		addrs := m.followers(t.ConfirmedAt())
		if confirmedByPeers(t.Term(), m.queryFollowers(t.Context(), addrs, peerQueryTimeout), len(addrs)) {
			m.mu.Lock()
			m.confirmedAt = now
			m.mu.Unlock()
		}
	}
}

// confirmedByPeers reports whether the followers confirm the holder of a term. More than half of them must reply that
// the store doesn't answer them, and none may reply that it does or that it knows a newer term.
//
// A single follower that the store answers may have become the holder, or be about to. A majority that is cut off from
// the store together with the current holder wouldn't know.
func confirmedByPeers(term int64, replies []followerReply, followers int) bool {
	for _, reply := range replies {
		if !reply.Failing || reply.Term > term {
			return false
		}
	}
	return 2*len(replies) > followers
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
