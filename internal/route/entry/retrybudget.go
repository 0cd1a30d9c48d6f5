package entry

import (
	"sync"
	"time"
)

// RetryBudget bounds retries and second tries to a share of a service's requests, and knows
// how long these take; the zero value is ready.
//
// It guards against a retry storm: when most tries fail, retries would multiply the
// load on the targets that are left.
type RetryBudget struct {
	mu          sync.Mutex
	tokens      float64
	initialized bool
	meanLatency time.Duration
	answers     int
}

const (
	tokensPerRequest = 0.1 // retries for each request
	maxTokens        = 10  // retries that can be saved up
	hedgeFactor      = 3   // times the mean after which a second try is sent
	minHedgeAnswers  = 20  // answers that have to be known before
	meanWindow       = 50  // answers that the moving mean goes over
)

// recordLatency notes how long a whole answer recordLatency.
func (b *RetryBudget) recordLatency(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers++
	b.meanLatency += (d - b.meanLatency) / time.Duration(min(b.answers, meanWindow))
}

// hedgeDelay returns after how long a second try is worth sending, 0 for never.
func (b *RetryBudget) hedgeDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.answers < minHedgeAnswers {
		return 0
	}
	return hedgeFactor * b.meanLatency
}

func (b *RetryBudget) addTokens() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.initialized {
		b.initialized, b.tokens = true, maxTokens
	}
	b.tokens = min(b.tokens+tokensPerRequest, maxTokens)
}

func (b *RetryBudget) takeToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
