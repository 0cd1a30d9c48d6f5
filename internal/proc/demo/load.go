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

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	body    string
}

// callerLoad is a number of callers that send check-ins, one after the other, each with a key
// of its own; the zero value is ready.
type callerLoad struct {
	wg       sync.WaitGroup
	stopOnce sync.Once
	stopped  chan struct{}
	client   *http.Client

	mu          sync.Mutex
	callerAddrs []string
	sentCount   int
	answers     map[string]answer
	latencies   *hdrhistogram.Histogram
}

func (l *callerLoad) start(callers int) {
	l.stopped = make(chan struct{})
	l.answers = map[string]answer{}
	l.latencies = hdrhistogram.New(1, int64(time.Minute), 3)
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	for range callers {
		l.wg.Go(l.runCaller)
	}
}

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
		began := time.Now()
		a := l.send(addr, key)
		l.mu.Lock()
		l.answers[key] = a
		if a.status == http.StatusOK {
			_ = l.latencies.RecordValue(int64(time.Since(began)))
		}
		l.mu.Unlock()
		if a.status != http.StatusOK {
			t := time.NewTimer(50 * time.Millisecond)
			select {
			case <-l.stopped:
			case <-t.C:
			}
			t.Stop()
		}
	}
}

func (l *callerLoad) send(addr, key string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+serviceName+"/checkin", strings.NewReader(key))
	if err != nil {
		return answer{}
	}
	req.Header.Set("Idempotency-Key", key)
	req.GetBody = nil // the client's transport would repeat the request by itself
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

// removeAddr takes a process out of the balancer.
func (l *callerLoad) removeAddr(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var left []string
	for _, a := range l.callerAddrs {
		if a != addr {
			left = append(left, a)
		}
	}
	l.callerAddrs = left
}

func (l *callerLoad) stop() {
	l.stopOnce.Do(func() {
		if l.stopped != nil {
			close(l.stopped)
			l.wg.Wait()
			l.client.CloseIdleConnections()
		}
	})
}

func (l *callerLoad) forEachAnswer(f func(key string, a answer)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, a := range l.answers {
		f(k, a)
	}
}

func (l *callerLoad) countAnswers(is func(answer) bool) int {
	n := 0
	l.forEachAnswer(func(_ string, a answer) {
		if is(a) {
			n++
		}
	})
	return n
}

func (l *callerLoad) answeredCount() int {
	return l.countAnswers(func(a answer) bool { return a.status == http.StatusOK })
}

func (l *callerLoad) refusedCount() int {
	return l.countAnswers(func(a answer) bool { return a.outcome == "not-run" })
}

func (l *callerLoad) unknownCount() int {
	return l.countAnswers(func(a answer) bool { return a.status != http.StatusOK && a.outcome != "not-run" })
}

func (l *callerLoad) latencyQuantiles() (p50, p99 time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	round := func(q float64) time.Duration {
		return time.Duration(l.latencies.ValueAtPercentile(q)).Round(100 * time.Microsecond)
	}
	return round(50), round(99)
}
