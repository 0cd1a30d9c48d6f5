package front

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/peer/link"
)

const (
	// heartbeatInterval is how often a process tells the holder that it follows; a call of some
	// hundred bytes.
	heartbeatInterval = 500 * time.Millisecond
	// maxMissedHeartbeats is how many calls in a row may be lost before their connection is given up.
	maxMissedHeartbeats = 2
	// holderReachableWindow is how long a holder that answered counts as reached: two calls may be lost.
	holderReachableWindow = 1700 * time.Millisecond
	// holderSilentAfter is how long a holder has to be silent to this process for the store to be asked whether there can
	// be another one.
	holderSilentAfter = time.Second
	// heartbeatTimeout bounds a call that tells the holder of a follower.
	heartbeatTimeout = 300 * time.Millisecond
	// followerTTL is how long a follower that isn't heard any more counts, while the store confirms the holder.
	followerTTL = 10 * time.Second
	// storeSilentAfter is how long the store has to be silent for the peers to be asked, and aidEvery
	// how often they are then.
	storeSilentAfter    = 600 * time.Millisecond
	peerConfirmInterval = 500 * time.Millisecond
	// storeProbeTimeout bounds a peer's own question to the store, above the answers of a slow one, and
	// aidLimit that peer's answer.
	storeProbeTimeout = 500 * time.Millisecond
	peerQueryTimeout  = storeProbeTimeout + 200*time.Millisecond
)

// peerMonitor are the processes that follow this one while it holds. When the store is silent they
// tell whether it is so for all: then there can be no successor, and the holder goes on.
//
// The failure it guards against: in an outage of the store of some seconds, a holder that
// stops for fear of being replaced loses the leases of every task on every worker.
type peerMonitor struct {
	elector *lead.Elector
	links   *link.Set
	// capacity tells how many workers this process would hold; 0: not known, or none.
	capacity func() int

	mu               sync.Mutex
	heardAt          map[string]time.Time
	confirmedAt      time.Time
	holderAnsweredAt time.Time     // when the holder last answered this process
	isolatedCh       chan struct{} // closed while neither the holder nor the store answers this process; nil: as if open
	isolated         bool
}

func (p *peerMonitor) recordFollower(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heardAt == nil {
		p.heardAt = map[string]time.Time{}
	}
	p.heardAt[addr] = now
}

// followers returns the followers: all that were heard of late at a time, or since.
//
// With the time of the store's last word they stay the same for as long as the holder needs them. If
// those that have fallen silent dropped out, a holder cut off with a few of its followers would
// have the backing of all that are left, while another holds on the far side.
func (p *peerMonitor) followers(at time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for addr, seen := range p.heardAt {
		if at.Sub(seen) > followerTTL {
			delete(p.heardAt, addr)
			continue
		}
		all = append(all, addr)
	}
	return all
}

// lastConfirmed returns when the peers last lastConfirmed this holder.
func (p *peerMonitor) lastConfirmed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedAt
}

// sendHeartbeats tells the holder regularly that this process follows it.
func (p *peerMonitor) sendHeartbeats(ctx context.Context, self string, name string) {
	misses := 0
	for wait.For(ctx, heartbeatInterval) {
		h, _ := p.elector.Holder()
		if h.Name == name {
			p.setIsolated(false)
			continue
		}
		if h.Name == "" {
			p.setIsolated(p.probeIsolation(ctx))
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		l := p.links.Get(h.Addr)
		_, err := link.Call[string, int](cctx, l, "Peer.Follow", self)
		cancel()
		if err == nil {
			misses = 0
			p.mu.Lock()
			p.holderAnsweredAt = time.Now()
			p.mu.Unlock()
			p.setIsolated(false)
			continue
		}
		p.setIsolated(p.probeIsolation(ctx))
		if misses++; misses >= maxMissedHeartbeats && errors.Is(err, link.ErrAnswerLost) {
			misses = 0
			l.Reset()
		}
	}
}

// probeIsolation reports whether neither the holder nor the store answers this process. Then nobody can answer a request
// here, and no new holder is heard of, before one of them is back.
func (p *peerMonitor) probeIsolation(ctx context.Context) bool {
	p.mu.Lock()
	silent := time.Since(p.holderAnsweredAt) >= holderSilentAfter
	p.mu.Unlock()
	if !silent {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	return !p.elector.ProbeStore(ctx)
}

func (p *peerMonitor) setIsolated(away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if away == p.isolated {
		return
	}
	p.isolated = away
	if p.isolatedCh == nil || !away {
		p.isolatedCh = make(chan struct{})
	}
	if away {
		close(p.isolatedCh)
	}
}

// isolation returns a channel that is closed once neither the holder nor the store answers this process, and whether
// that is so.
func (p *peerMonitor) isolation() (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isolatedCh == nil {
		p.isolatedCh = make(chan struct{})
	}
	return p.isolatedCh, p.isolated
}

// holderReachable reports whether the holder answers this process.
func (p *peerMonitor) holderReachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.holderAnsweredAt) < holderReachableWindow
}

// confirmWithPeers asks the peers of a holder while the store is silent.
func (p *peerMonitor) confirmWithPeers(t *lead.Tenure) {
	for wait.For(t.Context(), peerConfirmInterval) {
		now := time.Now()
		if now.Sub(t.ConfirmedAt()) < storeSilentAfter {
			continue
		}
		addrs := p.followers(t.ConfirmedAt())
		if confirmedByPeers(t.Term(), p.queryFollowers(t.Context(), addrs, peerQueryTimeout), len(addrs)) {
			p.mu.Lock()
			p.confirmedAt = now
			p.mu.Unlock()
		}
	}
}

// confirmedByPeers reports whether a holder's peers back it, by the answers of some of all: more than half say
// that the store fails them too, and nobody that it doesn't or that there is a newer holder.
//
// One peer that the store serves may have become the holder, or be about to; a majority that is
// turned away with the present one doesn't know.
func confirmedByPeers(term int64, answers []followerReply, all int) bool {
	for _, a := range answers {
		if !a.Failing || a.Term > term {
			return false
		}
	}
	return 2*len(answers) > all
}

// queryFollowers asks followers how things look from there; one that doesn't answer in time is left out.
func (p *peerMonitor) queryFollowers(ctx context.Context, addrs []string, limit time.Duration) []followerReply {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answers := make(chan *followerReply, len(addrs))
	for _, addr := range addrs {
		go func() {
			out, err := link.Call[int, FollowerStatus](ctx, p.links.Get(addr), "Peer.Outlook", 0)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &followerReply{addr, out}
		}()
	}
	var all []followerReply
	for range addrs {
		if o := <-answers; o != nil {
			all = append(all, *o)
		}
	}
	return all
}
