package drive_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/fake/txkv"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// heldStore is a store client that holds up the writes of new jobs.
type heldStore struct {
	store.TxnStore
	gate *writeGate
}

// writeGate holds up writes while it is closed.
type writeGate struct {
	mu     sync.Mutex
	opened chan struct{} // closed when the gate opens; nil: it is open
	held   int           // writes that wait or have waited
}

// close closes the gate, and open opens it.
func (g *writeGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *writeGate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
	g.opened = nil
}

// wait waits until the gate is open.
func (g *writeGate) wait() {
	g.mu.Lock()
	opened := g.opened
	if opened != nil {
		g.held++
	}
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

// Commit implements store.TxnStore. A write whose caller has given it up is carried out all the same.
func (s *heldStore) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, "job/") && !w.Delete {
			s.gate.wait()
			return s.TxnStore.Commit(context.Background(), txn)
		}
	}
	return s.TxnStore.Commit(ctx, txn)
}

// cancelCluster is a cluster whose store may hold up the writes of new jobs.
type cancelCluster struct {
	*testCluster
	gate *writeGate
}

// newCancelCluster starts a cluster with the given number of hosts; tasks take a second.
func newCancelCluster(t *testing.T, hosts int) *cancelCluster {
	t.Helper()
	gate := &writeGate{}
	c := newTestCluster(t, 0, 3, newRand(1), runsFor(time.Second))
	c.wrapStore = func(s store.TxnStore) store.TxnStore { return &heldStore{s, gate} }
	c.addHosts(hosts, 0, 0)
	time.Sleep(2 * time.Second)
	return &cancelCluster{c, gate}
}

// do sends a request for a job to a holder, which has to reply within the limit, and returns the reply later.
func (c *cancelCluster) do(verb drive.Verb, id string, limit time.Duration) <-chan drive.Reply {
	c.t.Helper()
	job, err := json.Marshal(sched.Job{Spec: "x", Steps: []sched.Step{newStep(2), newStep(2, 0)}})
	if err != nil {
		c.t.Fatal(err)
	}
	holder, _ := c.holder().currentHolder()
	reply := make(chan drive.Reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		reply <- holder.Handle(ctx, drive.Request{Verb: verb, Host: "h", Path: "/q/" + id, Job: job})
	}()
	synctest.Wait()
	return reply
}

// checkReply fails the test unless the reply has a result.
func (c *cancelCluster) checkReply(what string, got drive.Reply, want drive.Result) {
	c.t.Helper()
	if got.Result != want {
		c.t.Errorf("%s: %+v, want %s", what, got, want)
	}
}

// checkNotStarted fails the test if a task whose id begins with the prefix has been started within some time.
func (c *cancelCluster) checkNotStarted(prefix string) {
	c.t.Helper()
	time.Sleep(5 * time.Second)
	for task, n := range c.workers.Starts() {
		if strings.HasPrefix(task, prefix) && n > 0 {
			c.t.Errorf("%s was started", task)
		}
	}
}

// Guards against a job that runs though its cancel was answered "no such job": its write was in flight.
func TestCancelWhileBeingStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t, 1)
		defer c.stop()
		c.gate.close()
		c.checkReply("submission at its deadline", <-c.do(drive.VerbSubmit, "a", time.Second), drive.ResultUnknown)
		cancelled := c.do(drive.VerbCancel, "a", 3*time.Second)
		c.gate.open()
		c.checkReply("cancel", <-cancelled, drive.ResultDone)
		c.checkNotStarted("a.")
		if got := c.state("a"); got.State != sched.StateCancelled {
			t.Errorf("%+v, want a cancelled job", got)
		}
	})
}

// Guards against a job that runs though it was cancelled while it was being stored: the caller was told in time that the
// outcome isn't known.
func TestCancelWhileBeingStoredUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t, 1)
		defer c.stop()
		c.gate.close()
		submitted := c.do(drive.VerbSubmit, "a", time.Minute)
		c.checkReply("cancel at its deadline", <-c.do(drive.VerbCancel, "a", time.Second), drive.ResultUnknown)
		c.gate.open()
		c.checkReply("submission", <-submitted, drive.ResultDone)
		c.checkNotStarted("a.")
		c.checkReply("cancel", <-c.do(drive.VerbCancel, "a", time.Second), drive.ResultDone)
	})
}

// Guards against a job that is stored and run though it was cancelled while it waited behind another write.
func TestCancelWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t, 1)
		defer c.stop()
		c.gate.close()
		first := c.do(drive.VerbSubmit, "a", time.Minute)
		second := c.do(drive.VerbSubmit, "b", time.Minute)
		c.checkReply("cancel", <-c.do(drive.VerbCancel, "b", time.Second), drive.ResultNoJob)
		c.gate.open()
		c.checkReply("submission before it", <-first, drive.ResultDone)
		c.checkReply("cancelled submission", <-second, drive.ResultRefused)
		c.checkNotStarted("b.")
		c.checkReply("state", c.state("b"), drive.ResultNoJob)
	})
}

// Guards against a caller that is told that a job doesn't exist, which is stored a moment later.
func TestStateWhileBeingStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t, 1)
		defer c.stop()
		c.gate.close()
		submitted := c.do(drive.VerbSubmit, "a", time.Minute)
		c.checkReply("state in a slow write", <-c.do(drive.VerbState, "a", 2*time.Second), drive.ResultRefused)
		state := c.do(drive.VerbState, "a", 2*time.Second)
		c.gate.open()
		c.checkReply("state", <-state, drive.ResultState)
		c.checkReply("submission", <-submitted, drive.ResultDone)
	})
}

// Guards against a submission that is withdrawn as one of two callers gives it up, and against a refusal for that caller
// whose job is then run for the other.
func TestOneOfTwoSubmittersLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t, 1)
		defer c.stop()
		c.gate.close()
		first := c.do(drive.VerbSubmit, "a", time.Minute)
		leaving, staying := c.do(drive.VerbSubmit, "b", 100*time.Millisecond), c.do(drive.VerbSubmit, "b", time.Minute)
		c.checkReply("submitter that leaves", <-leaving, drive.ResultUnknown)
		c.gate.open()
		c.checkReply("submitter that stays", <-staying, drive.ResultDone)
		<-first
		c.awaitState(5*time.Second, "b", sched.StateCompleted)
	})
}

// Guards against a submission that is run though its caller has been told that no such job exists: it was on its way
// while the job was cancelled. A later one is served.
func TestSubmissionAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t, 1)
		defer c.stop()
		c.checkReply("cancel", <-c.do(drive.VerbCancel, "a", time.Second), drive.ResultNoJob)
		late := <-c.do(drive.VerbSubmit, "a", time.Second)
		c.checkReply("late submission", late, drive.ResultRefused)
		if !late.Final {
			t.Error("a process that forwards the submission would go on sending it")
		}
		time.Sleep(late.After)
		c.checkReply("submission", <-c.do(drive.VerbSubmit, "a", time.Second), drive.ResultDone)
		c.awaitState(5*time.Second, "a", sched.StateCompleted)
	})
}

// Guards against a job that runs though a new holder has answered "no such job": the write of its predecessor is carried
// out after that. One that is carried out before the new holder has read the jobs is cancelled.
func TestCancelAfterHolderChange(t *testing.T) {
	for _, tt := range []struct {
		name   string
		stored bool // the write is carried out before the change of holder
		want   drive.Result
		never  string // tasks that mustn't be started
	}{{"write after the change", false, drive.ResultNoJob, "a."}, {"write before the change", true, drive.ResultDone, "a.0.1."}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCancelCluster(t, 2)
				defer c.stop()
				former := c.holder()
				c.gate.close()
				submitted := c.do(drive.VerbSubmit, "a", time.Minute)
				former.cancel()
				if tt.stored {
					c.gate.open()
				}
				c.checkReply("submission as the holder is lost", <-submitted, drive.ResultUnknown)
				for next := c.holder(); next == nil || next == former; next = c.holder() {
					time.Sleep(50 * time.Millisecond)
				}
				c.checkReply("cancel", <-c.do(drive.VerbCancel, "a", time.Second), tt.want)
				if !tt.stored {
					c.gate.open()
				}
				c.checkNotStarted(tt.never)
			})
		})
	}
}

// Guards against a job that runs though its cancel was answered "no such job": its submission was held up for longer than a
// request is handled, or until another holder had taken over.
func TestSubmissionLongAfterCancel(t *testing.T) {
	for _, tt := range []struct {
		name         string
		after        time.Duration
		changeHolder bool
	}{{"later", 4 * time.Second, false}, {"much later", 14 * time.Second, false}, {"holder changes", 0, true}, {"holder changes, later", 9 * time.Second, true}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCancelCluster(t, 2)
				defer c.stop()
				c.checkReply("cancel", <-c.do(drive.VerbCancel, "a", time.Second), drive.ResultNoJob)
				if former := c.holder(); tt.changeHolder {
					former.cancel()
					for next := c.holder(); next == nil || next == former; next = c.holder() {
						time.Sleep(50 * time.Millisecond)
					}
				}
				time.Sleep(tt.after)
				c.checkReply("late submission", <-c.do(drive.VerbSubmit, "a", time.Second), drive.ResultRefused)
				c.checkNotStarted("a.")
				c.checkReply("state", c.state("a"), drive.ResultNoJob)
				time.Sleep(15 * time.Second)
				c.checkReply("submission", <-c.do(drive.VerbSubmit, "a", time.Second), drive.ResultDone)
			})
		})
	}
}

// Guards against cancelled ids that stay in the store for good.
func TestCancelledIDsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCancelCluster(t, 1)
		defer c.stop()
		for i := range 100 {
			c.checkReply("cancel", <-c.do(drive.VerbCancel, fmt.Sprintf("a%d", i), time.Second), drive.ResultNoJob)
		}
		if n := c.storedCancels(); n != 100 {
			t.Errorf("%d cancelled ids are stored, want 100", n)
		}
		time.Sleep(30 * time.Second)
		if n := c.storedCancels(); n != 0 {
			t.Errorf("%d cancelled ids are still stored after 30 s", n)
		}
	})
}

// storedCancels returns how many ids of cancelled jobs are in the store.
func (c *cancelCluster) storedCancels() int {
	c.t.Helper()
	listing, err := c.store.Client(func() txkv.Mode { return "" }).Range(context.Background(), "void/")
	if err != nil {
		c.t.Fatal(err)
	}
	return len(listing.Entries)
}
