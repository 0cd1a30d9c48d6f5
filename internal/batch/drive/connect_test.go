package drive_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

// connectTurns is how many additional processor turns a poll takes that needs a new connection.
const connectTurns = 6

// connectingWorkers are workers whose polls need a connection, which stays open while polls are answered.
type connectingWorkers struct {
	*slowWorkers

	mu        sync.Mutex
	connected map[string]bool // by worker id
}

// Poll implements drive.WorkerClient.
func (w *connectingWorkers) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	w.mu.Lock()
	connected := w.connected[req.ID]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, req.Wait+req.AnswerSlack)
	defer cancel()
	for range connectTurns {
		if !connected && !w.cpu.take(ctx) {
			return sched.Report{}, sched.OutcomeUnknown
		}
	}
	report, outcome := w.slowWorkers.Poll(ctx, req, fence)
	w.mu.Lock()
	w.connected[req.ID] = outcome == sched.OutcomeDone
	w.mu.Unlock()
	return report, outcome
}

// Guards against long-running tasks that stay without a run on most workers after a change of holder. The new
// holder polls all workers at once, its processor needs longer for the connections than it waits for the answers,
// and it starts over with all workers whose answers came too late.
func TestTakeoverOfManyWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 300
		c := newTestCluster(t, 0, workers, newRand(1), runsFor(endless))
		c.wrapWorkers = func(client drive.WorkerClient) drive.WorkerClient {
			return &connectingWorkers{slowWorkers: client.(*slowWorkers), connected: map[string]bool{}}
		}
		c.addHosts(2, strongTurn, strongCapacity)
		time.Sleep(8 * time.Second)
		if r := c.submit("a", longRunningStep(workers)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		time.Sleep(8 * time.Second)
		former := c.holder()
		if former == nil {
			t.Fatal("no host is the holder")
		}
		former.kill()
		if outage := c.longestShortfall(20*time.Second, workers); outage > maxOutage {
			t.Errorf("long-running tasks were without a run for %s", outage)
		}
		c.stop()
		for _, violation := range c.workers.Violations() {
			t.Error(violation)
		}
	})
}
