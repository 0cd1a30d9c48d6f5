package entry

import (
	"sync"
	"time"
)

// Budget bounds retries and second tries to a share of a service's requests, and knows
// how long these take; the zero value is ready.
//
// It guards against a retry storm: when most tries fail, retries would multiply the
// load on the targets that are left.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	begun  bool
	mean   time.Duration
	seen   int
}

const (
	budgetShare = 0.1 // retries for each request
	budgetMost  = 10  // retries that can be saved up
	hedgeFactor = 3   // times the mean after which a second try is sent
	hedgeFrom   = 20  // answers that have to be known before
	meanWeight  = 50  // answers that the moving mean goes over
)

// took notes how long a whole answer took.
func (b *Budget) took(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen++
	b.mean += (d - b.mean) / time.Duration(min(b.seen, meanWeight))
}

// patience returns after how long a second try is worth sending, 0 for never.
func (b *Budget) patience() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen < hedgeFrom {
		return 0
	}
	return hedgeFactor * b.mean
}

func (b *Budget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.begun {
		b.begun, b.tokens = true, budgetMost
	}
	b.tokens = min(b.tokens+budgetShare, budgetMost)
}

func (b *Budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
