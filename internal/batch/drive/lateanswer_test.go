package drive_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

// lateWorkers is the client of a holder that reads the answers of polls late: the workers carry out each poll, but the
// holder gives up an answer that it reads later than it waits for.
type lateWorkers struct {
	drive.WorkerClient

	mu      sync.Mutex
	delay   time.Duration // between the arrival of an answer and its reading
	only    string        // first letters of the ids of the workers whose answers are read late
	givenUp int           // answers given up
}

// setDelay sets the time between the arrival of an answer and its reading.
func (c *lateWorkers) setDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// Poll implements drive.WorkerClient.
func (c *lateWorkers) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	sent := time.Now()
	rep, out := c.WorkerClient.Poll(ctx, req, fence)
	c.mu.Lock()
	delay := c.delay
	if !strings.HasPrefix(req.ID, c.only) {
		delay = 0
	}
	c.mu.Unlock()
	remaining := req.Wait + req.AnswerSlack - time.Since(sent)
	if out != sched.OutcomeDone || delay < remaining {
		wait.For(ctx, delay)
		return rep, out
	}
	c.mu.Lock()
	c.givenUp++
	c.mu.Unlock()
	wait.For(ctx, max(remaining, 0))
	return sched.Report{}, sched.OutcomeUnknown
}

// Guards against tasks that are done twice while no worker, link or store fails. The holder is short of processor time
// for some seconds and gives up each answer that lists the end of a run; the runs' leases pass meanwhile.
func TestAnswersReadLate(t *testing.T) {
	for _, tt := range []struct {
		short time.Duration // how long the holder is short of processor time
		only  string        // ids of the workers concerned; empty: all
	}{{3 * time.Second, ""}, {6 * time.Second, ""}, {12 * time.Second, ""}, {6 * time.Second, "w1"}, {12 * time.Second, "w1"}} {
		t.Run(fmt.Sprintf("%v %s", tt.short, tt.only), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const tasks = 200
				c := newTestCluster(t, 0, 30, newRand(1), runsFor(2*time.Second))
				late := &lateWorkers{only: tt.only}
				c.wrapWorkers = func(client drive.WorkerClient) drive.WorkerClient {
					late.WorkerClient = client
					return late
				}
				c.addHosts(1, 0, strongCapacity)
				c.workers.SetCalm(true)
				time.Sleep(8 * time.Second) // no lease of a former holder is left
				if r := c.submit("a", newStep(tasks)); r.Result != drive.ResultDone {
					t.Fatalf("submit: %+v", r)
				}
				c.awaitRunning(tasks, time.Second)
				late.setDelay(2 * time.Second)
				time.Sleep(tt.short)
				late.setDelay(0)
				c.awaitState(20*time.Second, "a", sched.StateCompleted)
				expired := c.workers.ExpiredRuns()
				c.stop()
				again := 0
				for _, n := range c.workers.Starts() {
					again += n - 1
				}
				violations := c.workers.Violations()
				if again > 0 || expired > 0 || len(violations) > 0 {
					t.Errorf("%d tasks started again, the leases of %d runs expired, %d violations, %d answers given up; the first: %q",
						again, expired, len(violations), late.givenUp, violations[:min(1, len(violations))])
				}
			})
		})
	}
}

// Guards against runs that lapse on healthy workers whose every poll arrives: the holder reads the answers late, takes the
// workers for lost, and polls them on without renewing their leases.
func TestLateAnswersLapseNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 30
		c := newTestCluster(t, 0, workers, newRand(1), runsFor(endless))
		late := &lateWorkers{}
		c.wrapWorkers = func(client drive.WorkerClient) drive.WorkerClient {
			late.WorkerClient = client
			return late
		}
		c.addHosts(1, 0, strongCapacity)
		time.Sleep(8 * time.Second)
		if r := c.submit("a", longRunningStep(workers)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		c.awaitRunning(workers, time.Second)
		late.setDelay(2 * time.Second)
		time.Sleep(12 * time.Second)
		expired := c.workers.ExpiredRuns()
		c.stop()
		if expired > 0 {
			t.Errorf("the leases of %d of %d runs expired, %d answers given up", expired, workers, late.givenUp)
		}
	})
}
