package whole

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// callerLoad is a closed loop of callers that send check-ins, each with its own key, until it is
// stopped.
type callerLoad struct {
	system      *system
	stopped     chan struct{}     // closed when the callers have to end
	wg          sync.WaitGroup    // the callers
	sentCount   atomic.Int64      // check-ins sent; the number in the last one's key
	mu          sync.Mutex        // guards the fields below
	answers     map[string]answer // by key
	callerAddrs []string          // of the entry processes that the balancer sends to
}

// startLoad starts n callers, which send to all entry processes in turn.
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

// runCaller sends check-ins one after the other until the load is stopped.
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
			// Callers retry after the Retry-After delay; 50 ms is a shortened delay.
			select {
			case <-l.stopped:
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
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

// okCount returns the number of check-ins answered with status 200 so far.
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

// awaitAnswers waits until n more check-ins are answered with status 200.
func (l *callerLoad) awaitAnswers(n int) {
	l.system.t.Helper()
	before := l.okCount()
	eventually(l.system.t, fmt.Sprintf("%d more answers", n), func() bool { return l.okCount() >= before+n })
}

// stop stops the callers and waits for them.
func (l *callerLoad) stop() {
	close(l.stopped)
	l.wg.Wait()
}

// checkAnswers compares the answers with what the targets ran: no key may have run twice, each
// answer must belong to its request, a request reported as not run must not have run and one that
// was answered must have run, and no target may have received more requests than it has slots.
func (l *callerLoad) checkAnswers(t *testing.T) {
	t.Helper()
	runs := map[string]int{}
	for _, addr := range l.system.targetAddrs {
		var targetRuns map[string]int
		l.system.sendJSON(http.MethodGet, "http://"+addr+"/runs", nil, &targetRuns)
		for k, n := range targetRuns {
			runs[k] += n
		}
	}
	answerCounts := map[string]int{}
	for key, a := range l.answers {
		answerCounts[fmt.Sprintf("%d %s %s", a.status, a.outcome, a.errorCode())]++
		switch {
		case runs[key] > 1:
			t.Errorf("%s ran %d times: %+v", key, runs[key], a)
		case a.status == http.StatusOK && (a.body != "POST /checkin "+key || runs[key] != 1):
			t.Errorf("%s ran %d times, answer %+v", key, runs[key], a)
		case a.outcome == "not-run" && runs[key] != 0:
			t.Errorf("%s ran, but the answer is %+v", key, a)
		}
	}
	stats := l.system.targetCounts()
	if stats.Over != 0 {
		t.Errorf("%d requests reached a target whose slots were all busy", stats.Over)
	}
	if stats.Conns > 60 {
		t.Errorf("a target had %d connections", stats.Conns)
	}
	t.Logf("answers %v, busiest target %d requests and %d connections", answerCounts, stats.Peak, stats.Conns)
}
