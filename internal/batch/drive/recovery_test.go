package drive_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

// loadCounts are the counts of a second, or of several, under a steady load.
type loadCounts struct {
	served     int // tasks whose success the holder has read for the first time
	polls      int // polls
	lostPolls  int // polls without an answer
	repeats    int // answers that list ends, and none that wasn't read before
	empty      int // answers that list no end
	starts     int // starts sent
	lostStarts int // starts without an answer
	lateStarts int // starts whose answer took lateAnswer or more, for which the holder sends fewer at a time
	stops      int // stops sent
	refused    int // submissions that weren't accepted
	asked      int // requests for the state of a job
	expired    int // runs whose leases expired
}

// minus returns the counts since an earlier state.
func (a loadCounts) minus(b loadCounts) loadCounts {
	return loadCounts{
		a.served - b.served, a.polls - b.polls, a.lostPolls - b.lostPolls, a.repeats - b.repeats, a.empty - b.empty,
		a.starts - b.starts, a.lostStarts - b.lostStarts, a.lateStarts - b.lateStarts,
		a.stops - b.stops, a.refused - b.refused, a.asked - b.asked, a.expired - b.expired,
	}
}

// lateAnswer is the time of an answer from which on the holder takes it for late.
const lateAnswer = 150 * time.Millisecond

// loadCounter counts the calls to workers.
type loadCounter struct {
	drive.WorkerClient
	shared *loadTotals
}

// loadTotals are the counts of all hosts since the start.
type loadTotals struct {
	mu     sync.Mutex
	counts loadCounts
	done   map[string]bool // tasks whose success was read

	newestSeq map[string]int64 // number of the newest end that was read, by worker id
}

// Poll implements drive.WorkerClient.
func (c *loadCounter) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	rep, out := c.WorkerClient.Poll(ctx, req, fence)
	c.shared.mu.Lock()
	defer c.shared.mu.Unlock()
	c.shared.counts.polls++
	if out == sched.OutcomeUnknown {
		c.shared.counts.lostPolls++
	}
	newest := int64(0)
	for _, f := range rep.Finished {
		newest = max(newest, f.Seq)
		if f.End == sched.EndDone && !c.shared.done[f.Task] {
			c.shared.done[f.Task] = true
			c.shared.counts.served++
		}
	}
	switch {
	case out != sched.OutcomeDone:
	case newest == 0:
		c.shared.counts.empty++
	case newest <= c.shared.newestSeq[req.ID]:
		c.shared.counts.repeats++
	}
	c.shared.newestSeq[req.ID] = max(c.shared.newestSeq[req.ID], newest)
	return rep, out
}

// SendOrder implements drive.WorkerClient.
func (c *loadCounter) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	sent := time.Now()
	out := c.WorkerClient.SendOrder(ctx, o, fence)
	c.shared.mu.Lock()
	defer c.shared.mu.Unlock()
	switch o.Verb {
	case sched.VerbStart:
		c.shared.counts.starts++
		if out == sched.OutcomeUnknown {
			c.shared.counts.lostStarts++
		}
		if time.Since(sent) >= lateAnswer {
			c.shared.counts.lateStarts++
		}
	case sched.VerbStop:
		c.shared.counts.stops++
	}
	return out
}

// steadyLoad is a steady load of jobs, whose callers ask for the state of each job until it is completed.
type steadyLoad struct {
	cluster *testCluster
	ask     time.Duration // how often a caller asks for the state of its job until it is completed; 0: never
	totals  loadTotals
}

// counts returns the counts so far.
func (l *steadyLoad) counts() loadCounts {
	l.totals.mu.Lock()
	defer l.totals.mu.Unlock()
	l.totals.counts.expired = l.cluster.workers.ExpiredRuns()
	return l.totals.counts
}

// run submits a job of n tasks at each interval until ctx ends. A job that isn't accepted isn't tried again.
func (l *steadyLoad) run(ctx context.Context, interval time.Duration, n int) {
	var wg sync.WaitGroup
	tick := wait.NewTicker(interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-tick.C():
		}
		wg.Go(func() { l.runJob(ctx, fmt.Sprintf("l%d", i), n) })
	}
}

// runJob submits a job and asks for its state until it is completed. Each request takes processor turns
// of the holder.
func (l *steadyLoad) runJob(ctx context.Context, id string, n int) {
	ask := func(call func() drive.Reply) drive.Reply {
		h := l.cluster.holder()
		if h == nil || !h.cpu.take(ctx) {
			return drive.Reply{}
		}
		return call()
	}
	if r := ask(func() drive.Reply { return l.cluster.submit(id, newStep(n)) }); r.Result != drive.ResultDone {
		l.totals.mu.Lock()
		l.totals.counts.refused++
		l.totals.mu.Unlock()
		return
	}
	for l.ask > 0 && wait.For(ctx, l.ask) {
		r := ask(func() drive.Reply { return l.cluster.state(id) })
		l.totals.mu.Lock()
		l.totals.counts.asked++
		l.totals.mu.Unlock()
		if r.State == sched.StateCompleted {
			return
		}
	}
}

// Guards against an overload that outlasts its cause. The processor suffices for the load; then all workers are silent
// for a second, or the holder is lost, and the same load goes on.
func TestLoadIsServedAgain(t *testing.T) {
	const (
		workers = 250
		window  = 3 * time.Second // time over which is counted what is served

		// Turns with which the processor suffices for the load, with callers that ask for the state of their jobs and without.
		turn          = 920 * time.Microsecond
		turnNotAsking = 1260 * time.Microsecond
	)
	silence := func(c *testCluster) {
		for _, silent := range []bool{true, false} {
			for _, w := range c.workers.Members() {
				c.workers.SetUnreachable(w.ID, silent)
			}
			time.Sleep(time.Second)
		}
	}
	for _, tt := range []struct {
		name    string
		ask     time.Duration // how often a caller asks for the state of a job; 0: never
		turn    time.Duration // of the processor
		trigger func(*testCluster)
	}{
		{"no trigger", time.Second, turn, func(*testCluster) {}},
		{"silence", time.Second, turn, silence},
		{"silence, callers don't ask", 0, turnNotAsking, silence},
		{"holder lost", time.Second, turn, func(c *testCluster) {
			h := c.holder()
			h.kill()
			h.start()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				rng := newRand(1)
				c := newTestCluster(t, 0, workers, newRand(1), func(string) (time.Duration, sched.End) {
					return time.Second + time.Duration(rng.Int64N(int64(time.Second))), sched.EndDone
				})
				l := &steadyLoad{cluster: c, ask: tt.ask, totals: loadTotals{done: map[string]bool{}, newestSeq: map[string]int64{}}}
				c.wrapWorkers = func(client drive.WorkerClient) drive.WorkerClient {
					return &loadCounter{&reconnectingWorkers{slowWorkers: client.(*slowWorkers), lost: map[string]bool{}}, &l.totals}
				}
				c.addHosts(2, tt.turn, 2*workers)
				time.Sleep(10 * time.Second)
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				wg.Go(func() { l.run(ctx, 12500*time.Microsecond, 1) })
				time.Sleep(window)
				start := l.counts()
				time.Sleep(window)
				before := l.counts().minus(start)
				tt.trigger(c)
				time.Sleep(window)
				for i := range 7 {
					start = l.counts()
					time.Sleep(window)
					now := l.counts().minus(start)
					if now.served < before.served*95/100 {
						t.Errorf("%v after the trigger, in %v: %+v, before it %+v", time.Duration(i+2)*window, window, now, before)
					}
				}
				cancel()
				wg.Wait()
				c.stop()
			})
		})
	}
}

// reconnectingWorkers takes connectTurns more for a poll or an order to a worker after one that was given up, as its connection is closed then.
type reconnectingWorkers struct {
	*slowWorkers

	mu   sync.Mutex
	lost map[string]bool // ids of workers whose last call was given up
}

// connect takes the turns of a new connection if the last call to a worker was given up.
func (c *reconnectingWorkers) connect(ctx context.Context, id string) {
	c.mu.Lock()
	lost := c.lost[id]
	c.mu.Unlock()
	for range connectTurns {
		if lost {
			c.cpu.take(ctx)
		}
	}
}

// note records whether a call to a worker was given up.
func (c *reconnectingWorkers) note(id string, out sched.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[id] = out == sched.OutcomeUnknown
}

// Poll implements drive.WorkerClient.
func (c *reconnectingWorkers) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	c.connect(ctx, req.ID)
	rep, out := c.slowWorkers.Poll(ctx, req, fence)
	c.note(req.ID, out)
	return rep, out
}

// SendOrder implements drive.WorkerClient.
func (c *reconnectingWorkers) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	c.connect(ctx, o.Incarnation.ID)
	out := c.slowWorkers.SendOrder(ctx, o, fence)
	c.note(o.Incarnation.ID, out)
	return out
}
