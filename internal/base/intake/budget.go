package intake

import (
	"slices"
	"sync"
	"time"
)

const (
	// requestCost is the memory of a request besides its body, in bytes.
	requestCost = 8 << 10
	// bodyCopies is how often a body is in memory at the same time: as read, decoded, encoded anew and forwarded.
	bodyCopies = 4
	// headroomFactor is how many times its own cost a request leaves free, up to a share of the budget, so that requests
	// that are smaller than those that use up the budget are still taken.
	headroomFactor = 3
	// maxHeadroomShare is the divisor of the budget that bounds the headroom.
	maxHeadroomShare = 4
	// minReadTime is how long the body of a request can be read before another request may take its part of the budget.
	minReadTime = time.Second
)

// Cost returns the memory of a request with a body of n bytes.
func Cost(n int64) int64 { return requestCost + bodyCopies*n }

// MinBudget returns the smallest budget that a request with a body of n bytes fits in.
func MinBudget(n int64) int64 {
	return (Cost(n)*maxHeadroomShare + maxHeadroomShare - 2) / (maxHeadroomShare - 1)
}

// Budget bounds the memory of the requests in flight. A nil Budget has no bound. It has no clock and is safe for concurrent
// use.
type Budget struct {
	total int64 // bytes

	mu      sync.Mutex
	used    int64
	reading map[*Grant]struct{} // of requests whose bodies are being read
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total, reading: map[*Grant]struct{}{}}
}

// Grant is the part of a budget that a request has. The methods of a nil Grant, of a nil Budget, do nothing.
type Grant struct {
	budget  *Budget
	bytes   int64     // 0: revoked or released
	since   time.Time // when reading began
	revoke  func()    // ends the reading
	revoked bool
}

// Take takes the cost of a request that has been read. It returns false if it doesn't fit.
func (b *Budget) Take(now time.Time, cost int64) (*Grant, bool) {
	return b.take(now, cost, nil)
}

// TakeForReading takes the cost of a request whose body is going to be read until Grant.EndReading. If another request needs
// the memory, revoke is called, which must end the reading and not block.
func (b *Budget) TakeForReading(now time.Time, cost int64, revoke func()) (*Grant, bool) {
	return b.take(now, cost, revoke)
}

func (b *Budget) take(now time.Time, cost int64, revoke func()) (*Grant, bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.makeRoom(now, cost, nil) {
		return nil, false
	}
	b.used += cost
	g := &Grant{budget: b, bytes: cost, since: now, revoke: revoke}
	if revoke != nil {
		b.reading[g] = struct{}{}
	}
	return g, true
}

// fits reports whether a cost fits beside the used bytes, with the headroom that it has to leave.
func (b *Budget) fits(used, cost int64) bool {
	return used+cost+min(headroomFactor*cost, b.total/maxHeadroomShare) <= b.total
}

// makeRoom reports whether a cost fits, after requests whose bodies have been read for minReadTime have been revoked if
// necessary, the longest first and never keep. It revokes none if that isn't enough. The caller holds b.mu.
func (b *Budget) makeRoom(now time.Time, cost int64, keep *Grant) bool {
	if b.fits(b.used, cost) {
		return true
	}
	var slow []*Grant
	var freed int64
	for g := range b.reading {
		if g != keep && now.Sub(g.since) >= minReadTime {
			slow = append(slow, g)
			freed += g.bytes
		}
	}
	if !b.fits(b.used-freed, cost) {
		return false
	}
	slices.SortFunc(slow, func(x, y *Grant) int { return x.since.Compare(y.since) })
	for _, g := range slow {
		if b.fits(b.used, cost) {
			break
		}
		g.revoked = true
		g.free()
		g.revoke()
	}
	return true
}

// free gives the bytes back. The caller holds g.budget.mu.
func (g *Grant) free() {
	g.budget.used -= g.bytes
	g.bytes = 0
	delete(g.budget.reading, g)
}

// Grow takes more for a request whose body is being read, up to the given cost in all. It returns false if that doesn't
// fit or the grant was revoked.
func (g *Grant) Grow(now time.Time, cost int64) bool {
	if g == nil {
		return true
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	if g.revoked || !g.budget.makeRoom(now, cost-g.bytes, g) {
		return false
	}
	g.budget.used += cost - g.bytes
	g.bytes = cost
	return true
}

// EndReading notes that the body was read. It returns false if the grant was revoked before.
func (g *Grant) EndReading() bool {
	if g == nil {
		return true
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	delete(g.budget.reading, g)
	return !g.revoked
}

// Revoked reports whether the grant was revoked.
func (g *Grant) Revoked() bool {
	if g == nil {
		return false
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	return g.revoked
}

// Release gives the bytes back.
func (g *Grant) Release() {
	if g == nil {
		return
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	g.free()
}

// Used returns how many bytes are taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
