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

// connectTurns is how many more turns of a processor a call takes that needs a new connection.
const connectTurns = 6

// connectingWorkers is a crew to which polls need connections, kept while polls are answered.
type connectingWorkers struct {
	*slowWorkers

	mu        sync.Mutex
	connected map[string]bool
}

func (c *connectingWorkers) Poll(ctx context.Context, l sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	c.mu.Lock()
	open := c.connected[l.ID]
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, l.Wait+l.AnswerSlack)
	defer cancel()
	for range connectTurns {
		if !open && !c.cpu.take(ctx) {
			return sched.Report{}, sched.OutcomeUnknown
		}
	}
	rep, out := c.slowWorkers.Poll(ctx, l, fence)
	c.mu.Lock()
	c.connected[l.ID] = out == sched.OutcomeDone
	c.mu.Unlock()
	return rep, out
}

// Lasting tasks stand still on most workers after a change of holder. The new one polls all workers at once, its processor needs
// longer for the connections than it waits for the answers, and it begins anew with all whose answers came too late.
func TestTakeoverOfManyWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 300
		f := newTestCluster(t, 0, workers, newRand(1), runsFor(endless))
		f.wrapWorkers = func(crew drive.WorkerClient) drive.WorkerClient {
			return &connectingWorkers{slowWorkers: crew.(*slowWorkers), connected: map[string]bool{}}
		}
		f.addHosts(2, strongTurn, strongCapacity)
		time.Sleep(8 * time.Second)
		if r := f.submit("a", lastingStep(workers)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		time.Sleep(8 * time.Second)
		old := f.holder()
		if old == nil {
			t.Fatal("nobody holds")
		}
		old.kill()
		if d := f.longestShortfall(20*time.Second, workers); d > maxOutage {
			t.Errorf("lasting tasks were without a run for %s", d)
		}
		f.stop()
		for _, fault := range f.workers.Faults() {
			t.Error(fault)
		}
	})
}
