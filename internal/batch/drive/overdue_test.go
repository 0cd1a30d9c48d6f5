package drive_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

// pollTimes records when the polls in flight were sent, and the starts that were sent beside an overdue one.
type pollTimes struct {
	drive.WorkerClient

	mu            sync.Mutex
	polls         map[string]sched.PollRequest // in flight, by worker id
	sent          map[string]time.Time         // when they were sent, by worker id
	atOnce        int                          // polls that were sent beside another of the same worker
	overdueStarts int                          // starts on workers whose answer was overdue
	starts        int                          // all starts
}

// Poll implements drive.WorkerClient.
func (c *pollTimes) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	c.mu.Lock()
	if _, ok := c.polls[req.ID]; ok {
		c.atOnce++
	}
	c.polls[req.ID], c.sent[req.ID] = req, time.Now()
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.polls, req.ID)
	}()
	return c.WorkerClient.Poll(ctx, req, fence)
}

// SendOrder implements drive.WorkerClient.
func (c *pollTimes) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	c.mu.Lock()
	id := o.Incarnation.ID
	req, inFlight := c.polls[id]
	if o.Verb == sched.VerbStart {
		c.starts++
		if inFlight && time.Since(c.sent[id]) > req.Wait+req.ContactSlack {
			c.overdueStarts++
		}
	}
	c.mu.Unlock()
	return c.WorkerClient.SendOrder(ctx, o, fence)
}

// Guards against tasks that are sent to a worker which may be lost, while the holder waits on for the answer to a poll,
// and against a second poll of that worker meanwhile.
func TestOverdueWorkerGetsNoStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 0, 2, newRand(1), runsFor(time.Second))
		late := &lateWorkers{only: "w1"}
		polls := &pollTimes{WorkerClient: late, polls: map[string]sched.PollRequest{}, sent: map[string]time.Time{}}
		c.wrapWorkers = func(client drive.WorkerClient) drive.WorkerClient {
			late.WorkerClient = client
			return polls
		}
		c.addHosts(1, 0, strongCapacity)
		time.Sleep(8 * time.Second)
		late.setDelay(2 * time.Second)
		for i := range 100 {
			if r := c.submit(fmt.Sprint("a", i), newStep(2)); r.Result != drive.ResultDone {
				t.Fatalf("submit: %+v", r)
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		c.stop()
		if polls.starts < 200 || polls.overdueStarts > 0 || polls.atOnce > 0 {
			t.Errorf("%d starts, %d on workers whose answer was overdue, %d polls beside another", polls.starts, polls.overdueStarts, polls.atOnce)
		}
		for _, violation := range c.workers.Violations() {
			t.Error(violation)
		}
	})
}
