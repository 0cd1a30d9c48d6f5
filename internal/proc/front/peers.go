package front

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

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
)

// peerMonitor exchanges heartbeats and status with the other entry processes. As a follower, it sends heartbeats to the
// holder and detects whether this process is isolated. As the holder, it asks its followers to confirm it while the
// store doesn't answer: if the store answers none of them, there can be no successor, and the holder goes on. As a new
// holder, it collects the promises by which its followers confirm no former one any more.
//
// Without peer confirmation, the holder would have to stop during an outage of the store of some seconds, as it may
// have been replaced, and the leases of all tasks on all workers would expire.
type peerMonitor struct {
	log      logr.Logger
	elector  *lead.Elector // knows who the holder is
	peers    peerClient    // calls other entry processes
	capacity func() int    // returns how many workers this process would handle as the holder; 0: not known, or none
	limits   agent.Limits  // of this process as an agent

	mu               sync.Mutex
	heard            map[string]heartbeat // last heartbeat of each follower, by the address of its peer interface
	promises         map[string]int64     // newest term that each process has promised, by the address of its peer interface
	promiseCh        chan struct{}        // see promiseSignal; nil until needed
	confirmedAt      time.Time            // when the followers last confirmed this process as the holder
	holderAnsweredAt time.Time            // when the holder last answered this process
	isolatedCh       chan struct{}        // closed while isolated is set; nil stands for an open channel
	isolated         bool                 // neither the holder nor the store answers this process
}

// heartbeat is a received heartbeat.
type heartbeat struct {
	Heartbeat
	at time.Time // when it was received
}

// recordFollower records a heartbeat of a follower.
func (m *peerMonitor) recordFollower(h Heartbeat, now time.Time) {
	m.mu.Lock()
	if m.heard == nil {
		m.heard = map[string]heartbeat{}
	}
	m.heard[h.Addr] = heartbeat{h, now}
	m.mu.Unlock()
	m.recordPromise(h.Addr, Promise{h.ID, h.Term})
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
			candidates = append(candidates, agent.Candidate{Addr: addr, Limits: last.Limits})
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
		err := m.peers.Announce(callCtx, h.Addr, Heartbeat{Addr: selfAddr, Limits: m.limits, ID: m.elector.Self().ID, Term: m.elector.NewestTerm()})
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
