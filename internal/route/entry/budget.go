package entry

import "sync"

// Budget bounds retries to a share of the requests; the zero value is ready.
//
// It guards against a retry storm: when most tries fail, retries would multiply the
// load on the targets that are left.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	begun  bool
}

const (
	budgetShare = 0.1 // retries for each request
	budgetMost  = 10  // retries that can be saved up
)

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
