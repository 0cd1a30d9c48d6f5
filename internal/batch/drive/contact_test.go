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

// dialTurns is how many more turns of a processor a call takes that needs a new connection.
const dialTurns = 6

// dialedCrew is a crew to which polls need connections, kept while polls are answered.
type dialedCrew struct {
	*slowCrew

	mu   sync.Mutex
	open map[string]bool
}

func (c *dialedCrew) Poll(ctx context.Context, l sched.Poll, fence int64) (sched.Report, sched.Outcome) {
	c.mu.Lock()
	open := c.open[l.ID]
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, l.Wait+l.Slack)
	defer cancel()
	for range dialTurns {
		if !open && !c.cpu.take(ctx) {
			return sched.Report{}, sched.OutcomeUnknown
		}
	}
	rep, out := c.slowCrew.Poll(ctx, l, fence)
	c.mu.Lock()
	c.open[l.ID] = out == sched.OutcomeDone
	c.mu.Unlock()
	return rep, out
}

// Lasting tasks stand still on most workers after a change of holder. The new one polls all workers at once, its processor needs
// longer for the connections than it waits for the answers, and it begins anew with all whose answers came too late.
func TestTakeoverOfManyWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 300
		f := newFleet(t, 0, workers, source(1), seconds(forever))
		f.wrap = func(crew drive.WorkerClient) drive.WorkerClient {
			return &dialedCrew{slowCrew: crew.(*slowCrew), open: map[string]bool{}}
		}
		f.add(2, strongTurn, strongCarries)
		time.Sleep(8 * time.Second)
		if r := f.submit("a", lasting(workers)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		time.Sleep(8 * time.Second)
		old := f.holder()
		if old == nil {
			t.Fatal("nobody holds")
		}
		old.kill()
		if d := f.short(20*time.Second, workers); d > calm {
			t.Errorf("lasting tasks were without a run for %s", d)
		}
		f.stop()
		for _, fault := range f.crew.Faults() {
			t.Error(fault)
		}
	})
}
