package whole

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// load sends check-ins, each with a key of its own, until it is stopped.
type load struct {
	s       *system
	stop    chan struct{}
	wg      sync.WaitGroup
	next    atomic.Int64
	mu      sync.Mutex
	answers map[string]answer
	addrs   []string // of the processes that the balancer sends to
}

// startLoad begins n callers in a closed loop over the processes.
func startLoad(s *system, n int) *load {
	l := &load{s: s, stop: make(chan struct{}), answers: map[string]answer{}}
	for _, e := range s.entries {
		l.addrs = append(l.addrs, e.caller)
	}
	for range n {
		l.wg.Go(l.run)
	}
	return l
}

func (l *load) run() {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		n := l.next.Add(1)
		key := fmt.Sprintf("case-%d", n)
		l.mu.Lock()
		addr := l.addrs[int(n)%len(l.addrs)]
		l.mu.Unlock()
		a := post(addr, key, key)
		l.mu.Lock()
		l.answers[key] = a
		l.mu.Unlock()
		if a.status == http.StatusServiceUnavailable {
			// A caller that is told when to come back does so, if not quite as late.
			select {
			case <-l.stop:
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
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

// ok returns how many were answered whole so far.
func (l *load) ok() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.answers {
		if a.status == http.StatusOK {
			n++
		}
	}
	return n
}

// more waits until n more are answered.
func (l *load) more(n int) {
	l.s.t.Helper()
	from := l.ok()
	eventually(l.s.t, fmt.Sprintf("%d more answers", n), func() bool { return l.ok() >= from+n })
}

func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
}

// check holds the answers against what the targets ran: no key twice, no answer that
// isn't the request's own, nothing "not run" that ran, nothing "done" that didn't,
// and no target ever with more than its slots.
func (l *load) check(t *testing.T) {
	t.Helper()
	runs := map[string]int{}
	for _, addr := range l.s.targets {
		var here map[string]int
		l.s.send(http.MethodGet, "http://"+addr+"/runs", nil, &here)
		for k, n := range here {
			runs[k] += n
		}
	}
	codes := map[string]int{}
	for key, a := range l.answers {
		codes[fmt.Sprintf("%d %s %s", a.status, a.outcome, a.code())]++
		switch {
		case runs[key] > 1:
			t.Errorf("%s ran %d times: %+v", key, runs[key], a)
		case a.status == http.StatusOK && (a.body != "POST /checkin "+key || runs[key] != 1):
			t.Errorf("%s ran %d times and was answered %+v", key, runs[key], a)
		case a.outcome == "not-run" && runs[key] != 0:
			t.Errorf("%s ran and was answered %+v", key, a)
		}
	}
	st := l.s.stats()
	if st.Over != 0 {
		t.Errorf("%d requests reached a target whose slots were all busy", st.Over)
	}
	if st.Conns > 60 {
		t.Errorf("a target had %d connections", st.Conns)
	}
	t.Logf("answers %v, busiest target %d requests and %d connections", codes, st.Peak, st.Conns)
}
