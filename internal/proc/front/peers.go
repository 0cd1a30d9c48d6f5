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
	// followEvery is how often a process tells the holder that it follows; a call of some
	// hundred bytes.
	followEvery = 500 * time.Millisecond
	// missesMost is how many calls in a row may be lost before their connection is given up.
	missesMost = 2
	// reachKept is how long a holder that answered counts as reached: two calls may be lost.
	reachKept = 1700 * time.Millisecond
	// silentAfter is how long a holder has to be silent to this process for the store to be asked whether there can
	// be another one.
	silentAfter = time.Second
	// followLimit bounds a call that tells the holder of a follower.
	followLimit = 300 * time.Millisecond
	// followKept is how long a follower that isn't heard any more counts, while the store confirms the holder.
	followKept = 10 * time.Second
	// aidAfter is how long the store has to be silent for the peers to be asked, and aidEvery
	// how often they are then.
	aidAfter = 600 * time.Millisecond
	aidEvery = 500 * time.Millisecond
	// askLimit bounds a peer's own question to the store, above the answers of a slow one, and
	// aidLimit that peer's answer.
	askLimit = 500 * time.Millisecond
	aidLimit = askLimit + 200*time.Millisecond
)

// peers are the processes that follow this one while it holds. When the store is silent they
// tell whether it is so for all: then there can be no successor, and the holder goes on.
//
// The failure it guards against: in an outage of the store of some seconds, a holder that
// stops for fear of being replaced loses the leases of every task on every worker.
type peers struct {
	lead  *lead.Elector
	links *link.Set
	// carries tells how many workers this process would hold; 0: not known, or none.
	carries func() int

	mu      sync.Mutex
	seen    map[string]time.Time
	sure    time.Time
	reached time.Time     // when the holder last answered this process
	away    chan struct{} // closed while neither the holder nor the store answers this process; nil: as if open
	isAway  bool
}

func (p *peers) note(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = map[string]time.Time{}
	}
	p.seen[addr] = now
}

// known returns the followers: all that were heard of late at a time, or since.
//
// With the time of the store's last word they stay the same for as long as the holder needs them. If
// those that have fallen silent dropped out, a holder cut off with a few of its followers would
// have the backing of all that are left, while another holds on the far side.
func (p *peers) known(at time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for addr, seen := range p.seen {
		if at.Sub(seen) > followKept {
			delete(p.seen, addr)
			continue
		}
		all = append(all, addr)
	}
	return all
}

// confirmed returns when the peers last confirmed this holder.
func (p *peers) confirmed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sure
}

// follow tells the holder regularly that this process follows it.
func (p *peers) follow(ctx context.Context, self string, name string) {
	misses := 0
	for wait.For(ctx, followEvery) {
		h, _ := p.lead.Holder()
		if h.Name == name {
			p.setAway(false)
			continue
		}
		if h.Name == "" {
			p.setAway(p.alone(ctx))
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, followLimit)
		l := p.links.Get(h.Addr)
		_, err := link.Call[string, int](cctx, l, "Peer.Follow", self)
		cancel()
		if err == nil {
			misses = 0
			p.mu.Lock()
			p.reached = time.Now()
			p.mu.Unlock()
			p.setAway(false)
			continue
		}
		p.setAway(p.alone(ctx))
		if misses++; misses >= missesMost && errors.Is(err, link.ErrAnswerLost) {
			misses = 0
			l.Reset()
		}
	}
}

// alone reports whether neither the holder nor the store answers this process. Then nobody can answer a request
// here, and no new holder is heard of, before one of them is back.
func (p *peers) alone(ctx context.Context) bool {
	p.mu.Lock()
	silent := time.Since(p.reached) >= silentAfter
	p.mu.Unlock()
	if !silent {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	return !p.lead.ProbeStore(ctx)
}

func (p *peers) setAway(away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if away == p.isAway {
		return
	}
	p.isAway = away
	if p.away == nil || !away {
		p.away = make(chan struct{})
	}
	if away {
		close(p.away)
	}
}

// cutOff returns a channel that is closed once neither the holder nor the store answers this process, and whether
// that is so.
func (p *peers) cutOff() (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.away == nil {
		p.away = make(chan struct{})
	}
	return p.away, p.isAway
}

// reaches reports whether the holder answers this process.
func (p *peers) reaches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.reached) < reachKept
}

// aid asks the peers of a holder while the store is silent.
func (p *peers) aid(t *lead.Tenure) {
	for wait.For(t.Context(), aidEvery) {
		now := time.Now()
		if now.Sub(t.ConfirmedAt()) < aidAfter {
			continue
		}
		addrs := p.known(t.ConfirmedAt())
		if backed(t.Term(), p.ask(t.Context(), addrs, aidLimit), len(addrs)) {
			p.mu.Lock()
			p.sure = now
			p.mu.Unlock()
		}
	}
}

// backed reports whether a holder's peers back it, by the answers of some of all: more than half say
// that the store fails them too, and nobody that it doesn't or that there is a newer holder.
//
// One peer that the store serves may have become the holder, or be about to; a majority that is
// turned away with the present one doesn't know.
func backed(term int64, answers []offer, all int) bool {
	for _, a := range answers {
		if !a.Failing || a.Term > term {
			return false
		}
	}
	return 2*len(answers) > all
}

// ask asks followers how things look from there; one that doesn't answer in time is left out.
func (p *peers) ask(ctx context.Context, addrs []string, limit time.Duration) []offer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answers := make(chan *offer, len(addrs))
	for _, addr := range addrs {
		go func() {
			out, err := link.Call[int, Outlook](ctx, p.links.Get(addr), "Peer.Outlook", 0)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &offer{addr, out}
		}()
	}
	var all []offer
	for range addrs {
		if o := <-answers; o != nil {
			all = append(all, *o)
		}
	}
	return all
}
