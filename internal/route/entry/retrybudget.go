package entry

import (
	"sync"
	"time"
)

// RetryBudget limits the retries and hedged attempts to a share of a service's requests. It also
// measures the latency of answers, which determines when a hedged attempt is sent. The zero
// value is ready to use.
//
// It guards against a retry storm: when most attempts fail, retries would multiply the load on
// the remaining targets.
type RetryBudget struct {
	mu          sync.Mutex
	tokens      float64       // retries and hedged attempts that are allowed now
	initialized bool          // whether tokens has been filled
	meanLatency time.Duration // moving mean over the latency of whole answers
	answers     int           // number of whole answers measured
}

const (
	tokensPerRequest = 0.1 // tokens that each request adds
	maxTokens        = 10  // most tokens that can be saved up, and the initial number
	hedgeFactor      = 3   // hedge delay as a multiple of the mean latency
	minHedgeAnswers  = 20  // answers that have to be measured before attempts are hedged
	meanWindow       = 50  // number of answers that the moving mean covers
)

// recordLatency adds the latency of a whole answer to the mean.
func (b *RetryBudget) recordLatency(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers++
	b.meanLatency += (d - b.meanLatency) / time.Duration(min(b.answers, meanWindow))
}

// hedgeDelay returns how long to wait for an answer before a hedged attempt is sent, or 0 when
// none is.
func (b *RetryBudget) hedgeDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.answers < minHedgeAnswers {
		return 0
	}
	return hedgeFactor * b.meanLatency
}

// addTokens adds the tokens of one new request.
func (b *RetryBudget) addTokens() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.initialized {
		b.initialized, b.tokens = true, maxTokens
	}
	b.tokens = min(b.tokens+tokensPerRequest, maxTokens)
}

// takeToken takes the token for one retry or hedged attempt and reports whether there was one.
func (b *RetryBudget) takeToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
