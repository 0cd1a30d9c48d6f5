package demo

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// answer is the answer that a caller received. It is zero if there was none.
type answer struct {
	status  int    // HTTP status
	outcome string // the Sail-Outcome header
	body    string
}

// callerLoad is a closed loop of callers that send check-ins, each with its own key. Its zero
// value is ready to be started or stopped.
type callerLoad struct {
	wg       sync.WaitGroup // the callers
	stopOnce sync.Once
	stopped  chan struct{} // closed when the callers have to end
	client   *http.Client  // shared by all callers

	mu          sync.Mutex              // guards the fields below
	callerAddrs []string                // of the entry processes that the balancer sends to
	sentCount   int                     // check-ins sent; the number in the last one's key
	answers     map[string]answer       // by key
	latencies   *hdrhistogram.Histogram // of answers with status 200, in nanoseconds
}

// start starts the given number of callers.
func (l *callerLoad) start(callers int) {
	l.stopped = make(chan struct{})
	l.answers = map[string]answer{}
	l.latencies = hdrhistogram.New(1, int64(time.Minute), 3)
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	for range callers {
		l.wg.Go(l.runCaller)
	}
}

// runCaller sends check-ins one after the other until the load is stopped. After any answer but
// 200 it pauses for 50 ms.
func (l *callerLoad) runCaller() {
	for {
		select {
		case <-l.stopped:
			return
		default:
		}
		l.mu.Lock()
		l.sentCount++
		key, addr := fmt.Sprintf("case-%d", l.sentCount), l.callerAddrs[l.sentCount%len(l.callerAddrs)]
		l.mu.Unlock()
		sentAt := time.Now()
		a := l.send(addr, key)
		l.mu.Lock()
		l.answers[key] = a
		if a.status == http.StatusOK {
			_ = l.latencies.RecordValue(int64(time.Since(sentAt)))
		}
		l.mu.Unlock()
		if a.status != http.StatusOK {
			timer := time.NewTimer(50 * time.Millisecond)
			select {
			case <-l.stopped:
			case <-timer.C:
			}
			timer.Stop()
		}
	}
}

// send sends a check-in with the key. The zero answer means that none was received.
func (l *callerLoad) send(addr, key string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+serviceName+"/checkin", strings.NewReader(key))
	if err != nil {
		return answer{}
	}
	req.Header.Set("Idempotency-Key", key)
	req.GetBody = nil // keeps the transport from repeating the request by itself
	resp, err := l.client.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, resp.Header.Get("Sail-Outcome"), string(body)}
}

// removeAddr takes an entry process out of the balancer.
func (l *callerLoad) removeAddr(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var remaining []string
	for _, a := range l.callerAddrs {
		if a != addr {
			remaining = append(remaining, a)
		}
	}
	l.callerAddrs = remaining
}

// stop stops the callers and waits for them. Later calls have no effect.
func (l *callerLoad) stop() {
	l.stopOnce.Do(func() {
		if l.stopped != nil {
			close(l.stopped)
			l.wg.Wait()
			l.client.CloseIdleConnections()
		}
	})
}

// forEachAnswer calls f with the key and the answer of each check-in that has ended.
func (l *callerLoad) forEachAnswer(f func(key string, a answer)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, a := range l.answers {
		f(k, a)
	}
}

// countAnswers returns the number of answers for which match returns true.
func (l *callerLoad) countAnswers(match func(answer) bool) int {
	n := 0
	l.forEachAnswer(func(_ string, a answer) {
		if match(a) {
			n++
		}
	})
	return n
}

// answeredCount returns the number of answers with status 200.
func (l *callerLoad) answeredCount() int {
	return l.countAnswers(func(a answer) bool { return a.status == http.StatusOK })
}

// refusedCount returns the number of answers that say that the request has not run.
func (l *callerLoad) refusedCount() int {
	return l.countAnswers(func(a answer) bool { return a.outcome == "not-run" })
}

// unknownCount returns the number of check-ins that were neither answered with 200 nor refused.
func (l *callerLoad) unknownCount() int {
	return l.countAnswers(func(a answer) bool { return a.status != http.StatusOK && a.outcome != "not-run" })
}

// latencyQuantiles returns the median and the 99th percentile of the answer times.
func (l *callerLoad) latencyQuantiles() (p50, p99 time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	percentile := func(percent float64) time.Duration {
		return time.Duration(l.latencies.ValueAtPercentile(percent)).Round(100 * time.Microsecond)
	}
	return percentile(50), percentile(99)
}
