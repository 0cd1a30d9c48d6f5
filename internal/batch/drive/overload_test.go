package drive_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

// overload submits jobs of four tasks, each of which takes a second, and records what becomes of them.
type overload struct {
	c    *testCluster
	next int // number of the next job

	mu           sync.Mutex
	acceptedAt   map[string]time.Time // by job
	lastStart    map[string]time.Time // when the last of its tasks was started, by job
	refused      int
	slowest      time.Duration // longest time until a refusal
	soonest      time.Duration // shortest delay after which a refused job is to be submitted again
	otherReplies []drive.Reply // neither accepted nor refused
}

// newOverload returns the load on a cluster of one host, whose processor takes turns of the given length, and of workers
// with room for 16 tasks each.
func newOverload(t *testing.T, workers int, turn time.Duration) *overload {
	o := &overload{acceptedAt: map[string]time.Time{}, lastStart: map[string]time.Time{}, soonest: time.Hour}
	o.c = newTestCluster(t, 0, workers, newRand(1), o.startTask)
	o.c.addHosts(1, turn, strongCapacity)
	time.Sleep(4 * time.Second)
	return o
}

// startTask records the start of a task.
func (o *overload) startTask(task string) (time.Duration, sched.End) {
	id, _, _ := strings.Cut(task, ".")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastStart[id] = time.Now()
	return time.Second, sched.EndDone
}

// submitFor submits jobs at a rate per second for a while.
func (o *overload) submitFor(span time.Duration, rate int) {
	var wg sync.WaitGroup
	for range int(span.Seconds() * float64(rate)) {
		id := fmt.Sprintf("j%d", o.next)
		o.next++
		wg.Go(func() { o.submit(id) })
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
}

func (o *overload) submit(id string) {
	began := time.Now()
	r := o.c.submit(id, newStep(4))
	o.mu.Lock()
	defer o.mu.Unlock()
	switch r.Result {
	case drive.ResultDone:
		o.acceptedAt[id] = time.Now()
	case drive.ResultRefused:
		o.refused++
		o.slowest = max(o.slowest, time.Since(began))
		o.soonest = min(o.soonest, r.After)
	default:
		o.otherReplies = append(o.otherReplies, r)
	}
}

// longestWait returns the longest time from the acceptance of a job to the start of its last task.
func (o *overload) longestWait() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	longest := time.Duration(0)
	for id, at := range o.acceptedAt {
		longest = max(longest, o.lastStart[id].Sub(at))
	}
	return longest
}

// Guards against jobs that are accepted and then wait for many seconds although workers have room: the holder's processor
// is too slow to start as many tasks as are submitted.
func TestStartsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			calm, high = 20, 60                 // jobs per second; the processor starts the tasks of some 35
			maxWait    = 8 * time.Second        // a job that starts later is of no use to its caller
			maxRefusal = 200 * time.Millisecond // longest time until a refusal
		)
		o := newOverload(t, 60, 2*time.Millisecond)
		o.submitFor(10*time.Second, calm)
		if o.refused > 0 {
			t.Errorf("%d jobs were refused before the load was high", o.refused)
		}
		o.submitFor(20*time.Second, high)
		refused := o.refused
		if refused == 0 || o.slowest > maxRefusal || o.soonest < time.Second {
			t.Errorf("%d jobs were refused under high load, within %v and for at least %v", refused, o.slowest, o.soonest)
		}
		time.Sleep(5 * time.Second)
		o.submitFor(10*time.Second, calm)
		if n := o.refused - refused; n > 0 {
			t.Errorf("%d jobs were refused once the load was low again", n)
		}
		time.Sleep(5 * time.Second)
		if wait := o.longestWait(); wait > maxWait {
			t.Errorf("an accepted job waited for %v, want at most %v", wait, maxWait)
		}
		o.stop()
	})
}

// Guards against a holder that refuses jobs because workers are full: its processor isn't short, and the jobs start when
// others end.
func TestFullWorkersAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverload(t, 4, time.Millisecond)
		o.submitFor(20*time.Second, 30)
		if o.refused > 0 {
			t.Errorf("%d jobs were refused", o.refused)
		}
		time.Sleep(30 * time.Second)
		o.stop()
	})
}

// stop checks that all accepted jobs have completed, and ends the cluster.
func (o *overload) stop() {
	t := o.c.t
	t.Helper()
	unfinished := 0
	for id := range o.acceptedAt {
		if r := o.c.state(id); r.State != sched.StateCompleted {
			unfinished++
		}
	}
	if unfinished > 0 || len(o.otherReplies) > 0 {
		t.Errorf("%d of %d accepted jobs haven't completed; replies neither accepted nor refused: %v", unfinished, len(o.acceptedAt), o.otherReplies)
	}
	o.c.stop()
	for _, violation := range o.c.workers.Violations() {
		t.Error(violation)
	}
}
