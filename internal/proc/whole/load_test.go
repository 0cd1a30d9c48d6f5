package whole

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// callerLoad sends check-ins, each with a key of its own, until it is stopped.
type callerLoad struct {
	system      *system
	stopped     chan struct{}
	wg          sync.WaitGroup
	sentCount   atomic.Int64
	mu          sync.Mutex
	answers     map[string]answer
	callerAddrs []string // of the processes that the balancer sends to
}

// startLoad begins n callers in a closed loop over the processes.
func startLoad(s *system, n int) *callerLoad {
	l := &callerLoad{system: s, stopped: make(chan struct{}), answers: map[string]answer{}}
	for _, e := range s.entries {
		l.callerAddrs = append(l.callerAddrs, e.callerAddr)
	}
	for range n {
		l.wg.Go(l.runCaller)
	}
	return l
}

func (l *callerLoad) runCaller() {
	for {
		select {
		case <-l.stopped:
			return
		default:
		}
		n := l.sentCount.Add(1)
		key := fmt.Sprintf("case-%d", n)
		l.mu.Lock()
		addr := l.callerAddrs[int(n)%len(l.callerAddrs)]
		l.mu.Unlock()
		a := postCheckin(addr, key, key)
		l.mu.Lock()
		l.answers[key] = a
		l.mu.Unlock()
		if a.status == http.StatusServiceUnavailable {
			// A caller that is told when to come back does so, if not quite as late.
			select {
			case <-l.stopped:
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
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

// okCount returns how many were answered whole so far.
func (l *callerLoad) okCount() int {
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

// awaitAnswers waits until n awaitAnswers are answered.
func (l *callerLoad) awaitAnswers(n int) {
	l.system.t.Helper()
	from := l.okCount()
	eventually(l.system.t, fmt.Sprintf("%d more answers", n), func() bool { return l.okCount() >= from+n })
}

func (l *callerLoad) stop() {
	close(l.stopped)
	l.wg.Wait()
}

// checkAnswers holds the answers against what the targets ran: no key twice, no answer that
// isn't the request's own, nothing "not run" that ran, nothing "done" that didn't,
// and no target ever with more than its slots.
func (l *callerLoad) checkAnswers(t *testing.T) {
	t.Helper()
	runs := map[string]int{}
	for _, addr := range l.system.targetAddrs {
		var here map[string]int
		l.system.sendJSON(http.MethodGet, "http://"+addr+"/runs", nil, &here)
		for k, n := range here {
			runs[k] += n
		}
	}
	codes := map[string]int{}
	for key, a := range l.answers {
		codes[fmt.Sprintf("%d %s %s", a.status, a.outcome, a.errorCode())]++
		switch {
		case runs[key] > 1:
			t.Errorf("%s ran %d times: %+v", key, runs[key], a)
		case a.status == http.StatusOK && (a.body != "POST /checkin "+key || runs[key] != 1):
			t.Errorf("%s ran %d times and was answered %+v", key, runs[key], a)
		case a.outcome == "not-run" && runs[key] != 0:
			t.Errorf("%s ran and was answered %+v", key, a)
		}
	}
	st := l.system.targetCounts()
	if st.Over != 0 {
		t.Errorf("%d requests reached a target whose slots were all busy", st.Over)
	}
	if st.Conns > 60 {
		t.Errorf("a target had %d connections", st.Conns)
	}
	t.Logf("answers %v, busiest target %d requests and %d connections", codes, st.Peak, st.Conns)
}
