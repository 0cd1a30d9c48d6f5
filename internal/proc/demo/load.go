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

// load is a number of callers that send check-ins, one after the other, each with a key
// of its own; the zero value is ready.
type load struct {
	wg     sync.WaitGroup
	once   sync.Once
	stop   chan struct{}
	client *http.Client

	mu      sync.Mutex
	addrs   []string
	next    int
	answers map[string]answer
	hist    *hdrhistogram.Histogram
}

func (l *load) start(callers int) {
	l.stop = make(chan struct{})
	l.answers = map[string]answer{}
	l.hist = hdrhistogram.New(1, int64(time.Minute), 3)
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	for range callers {
		l.wg.Go(l.run)
	}
}

func (l *load) run() {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		l.mu.Lock()
		l.next++
		key, addr := fmt.Sprintf("case-%d", l.next), l.addrs[l.next%len(l.addrs)]
		l.mu.Unlock()
		began := time.Now()
		a := l.send(addr, key)
		l.mu.Lock()
		l.answers[key] = a
		if a.status == http.StatusOK {
			_ = l.hist.RecordValue(int64(time.Since(began)))
		}
		l.mu.Unlock()
		if a.status != http.StatusOK {
			t := time.NewTimer(50 * time.Millisecond)
			select {
			case <-l.stop:
			case <-t.C:
			}
			t.Stop()
		}
	}
}

func (l *load) send(addr, key string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+service+"/checkin", strings.NewReader(key))
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

// drop takes a process out of the balancer.
func (l *load) drop(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var left []string
	for _, a := range l.addrs {
		if a != addr {
			left = append(left, a)
		}
	}
	l.addrs = left
}

func (l *load) end() {
	l.once.Do(func() {
		if l.stop != nil {
			close(l.stop)
			l.wg.Wait()
			l.client.CloseIdleConnections()
		}
	})
}

func (l *load) each(f func(key string, a answer)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, a := range l.answers {
		f(k, a)
	}
}

func (l *load) count(is func(answer) bool) int {
	n := 0
	l.each(func(_ string, a answer) {
		if is(a) {
			n++
		}
	})
	return n
}

func (l *load) answered() int {
	return l.count(func(a answer) bool { return a.status == http.StatusOK })
}

func (l *load) refused() int {
	return l.count(func(a answer) bool { return a.outcome == "not-run" })
}

func (l *load) unknown() int {
	return l.count(func(a answer) bool { return a.status != http.StatusOK && a.outcome != "not-run" })
}

func (l *load) quantiles() (p50, p99 time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	round := func(q float64) time.Duration {
		return time.Duration(l.hist.ValueAtPercentile(q)).Round(100 * time.Microsecond)
	}
	return round(50), round(99)
}
