package agent

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	tally "github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/peer/link"
)

// other is a net/rpc service as processes of an older build have it.
type other struct{}

// Same answers with its argument. It is called by name over net/rpc.
func (other) Same(in int, out *int) error {
	*out = in
	return nil
}

// startServer serves the service, or none if it is nil, on loopback and returns its address and a function that stops it.
func startServer(t testing.TB, s *Service) (string, func()) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := link.NewServer("Other", other{})
	if err != nil {
		t.Fatal(err)
	}
	if s != nil {
		if err := server.Register(ServiceName, s); err != nil {
			t.Fatal(err)
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { server.Serve(lis) })
	return lis.Addr().String(), func() {
		if s != nil {
			s.Close()
		}
		server.Close()
		wg.Wait()
	}
}

// awaitAgents waits until agents are in use, or none.
func awaitAgents(t *testing.T, c *Client, want bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); c.InUse() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("agents in use: %t, want %t", !want, want)
		}
	}
}

// Guards against messages that don't survive net/rpc, a process that ends and whose calls aren't made another way, an
// older build on the other side of a connection, and goroutines that outlast the holder.
func TestOverConnections(t *testing.T) {
	defer goleak.VerifyNone(t)
	direct, far := &recorder{out: sched.OutcomeDone}, &recorder{out: sched.OutcomeNoResources}
	addr, stop := startServer(t, NewService(far))
	oldAddr, stopOld := startServer(t, nil)
	defer stopOld()
	ctx, cancel := context.WithCancel(context.Background())
	c := NewClient(ctx, Options{Direct: direct, Log: logr.Discard(), Scope: tally.NoopScope})
	defer c.Wait()
	defer cancel()
	c.Update(time.Now(), withoutLimits([]string{addr, oldAddr}), Demand{Workers: 5, Capacity: 1})
	awaitAgents(t, c, true)
	order := sched.Order{
		Verb: sched.VerbStart, Incarnation: sched.Incarnation{ID: "w", StartedAt: 5}, Addr: "x:1", Run: 7, Spec: "s",
		LeaseUntil: time.Second, Checkpoint: "c",
	}
	if out := c.SendOrder(ctx, order, 3); out != sched.OutcomeNoResources {
		t.Errorf("order over the agent: %s", out)
	}
	if far.orders[0] != order {
		t.Errorf("order %+v arrived as %+v", order, far.orders[0])
	}
	stop()
	awaitAgents(t, c, false)
	if rep, out := c.Poll(ctx, testPoll("w"), 3); out != sched.OutcomeDone || rep.StartedAt != 1 {
		t.Errorf("poll after the agent's end: %+v %s", rep, out)
	}
	if polls, orders := direct.counts(); polls != 1 || orders != 0 {
		t.Errorf("%d polls and %d orders made directly, want the poll", polls, orders)
	}
}
