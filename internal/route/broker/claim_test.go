package broker

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/ctrl/shard"
	fakestore "bramleysail.example/bramleysail/internal/fake/store"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// blind is a store whose watches answer only once.
type blind struct{ store.Store }

func (b blind) List(ctx context.Context, prefix string, after uint64, hold time.Duration) (store.Listing, error) {
	if after > 0 && hold > 0 {
		<-ctx.Done()
		return store.Listing{}, ctx.Err()
	}
	return b.Store.List(ctx, prefix, after, hold)
}

// peer answers what processes ask each other about targets.
type peer struct {
	b     *Broker
	asked func() // called at each claim, if there is one
}

// Claim is called by its name over net/rpc.
func (p *peer) Claim(in ClaimArgs, out *ClaimReply) error {
	if p.asked != nil {
		p.asked()
	}
	*out = p.b.Claim(in)
	return nil
}

// Held is called by its name over net/rpc.
func (p *peer) Held(in HeldArgs, out *HeldReply) error {
	*out = p.b.Held(in)
	return nil
}

// proc is a process with a broker.
type proc struct {
	*Broker
	changed chan struct{} // its view
}

// meet waits until the process's view shows another.
func (p *proc) meet(id string) {
	for {
		if _, ok := p.o.Group.View().Get(id); ok {
			return
		}
		<-p.changed
	}
}

// join returns a process that has joined and answers its peers.
func join(t *testing.T, id string, s store.Store, asked func()) *proc {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links := &link.Set{}
	joined, changed := make(chan struct{}, 1), make(chan struct{}, 1)
	b := New(Options{
		Service: "registro", Links: links, Timeout: time.Minute, Log: logr.Discard(),
		Group: member.New(member.Options{
			Self: member.Member{ID: id, Addr: lis.Addr().String(), State: member.StateLive}, Store: s, Links: links,
			LeaseTTL: time.Hour, WatchTimeout: time.Minute, HeartbeatInterval: time.Minute, HeartbeatTimeout: time.Minute, Log: logr.Discard(),
			OnJoin:       func() { joined <- struct{}{} },
			OnViewChange: func(member.View) { wait.Wake(changed) },
		}),
	})
	server, err := link.NewServer("Peer", &peer{b, asked})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { server.Serve(lis); done <- struct{}{} }()
	go func() { b.o.Group.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		server.Close()
		<-done
		<-done
	})
	<-joined
	return &proc{b, changed}
}

// follow gives the target to the process by a row and waits until it has taken it over.
func follow(b *proc, target string, row shard.Row) {
	b.Follow(context.Background(), map[string]shard.Row{target: row}, 4)
	b.wg.Wait()
}

// A process takes a target over while its view doesn't show yet that the previous holder
// has joined. Taken for gone, the holder would go on sending to the target as its owner.
func TestClaimFromUnseen(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := store.NewHTTP(srv.URL, time.Minute)
	next := join(t, "e0", blind{s}, nil)
	holder := join(t, "e1", s, nil)
	follow(holder, "target", shard.Row{By: "e1", Ep: 1})
	if len(holder.Targets()) != 1 {
		t.Fatal("the first holder has no target")
	}
	follow(next, "target", shard.Row{By: "e0", Ep: 2, Was: "e1"})
	if len(next.Targets()) != 1 || len(holder.Targets()) != 0 {
		t.Errorf("the next holder has %d, the previous %d", len(next.Targets()), len(holder.Targets()))
	}
}

// A target moves on twice before the process in between has seen that it was its own. It
// isn't the one to take the target over from: the holder before it is sending there yet.
func TestClaimPassedOn(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := store.NewHTTP(srv.URL, time.Minute)
	next, holder := join(t, "e0", s, nil), join(t, "e1", s, nil)
	join(t, "e2", s, nil)
	next.meet("e2")
	follow(holder, "target", shard.Row{By: "e1", Ep: 1})
	follow(next, "target", shard.Row{By: "e0", Ep: 3, Was: "e2"})
	if len(next.Targets()) != 1 || len(holder.Targets()) != 0 {
		t.Errorf("the next holder has %d, the first %d", len(next.Targets()), len(holder.Targets()))
	}
}

// A target moves on and back before either process has taken it over, so that each claims
// it from the other. If both waited for the other's claim to end, nobody would ever own it.
func TestClaimEachOther(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := store.NewHTTP(srv.URL, time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	both := make(chan struct{})
	var asked atomic.Int64
	ask := func() {
		<-both
		if asked.Add(1) > 20 {
			cancel()
		}
	}
	former, present := join(t, "e0", s, ask), join(t, "e1", s, ask)
	former.meet("e1")
	present.meet("e0")
	former.Follow(ctx, map[string]shard.Row{"target": {By: "e0", Ep: 2, Was: "e1"}}, 4)
	present.Follow(ctx, map[string]shard.Row{"target": {By: "e1", Ep: 3, Was: "e0"}}, 4)
	close(both)
	former.wg.Wait()
	present.wg.Wait()
	if len(former.Targets()) != 0 || len(present.Targets()) != 1 {
		t.Errorf("the former holder has %d, the present one %d", len(former.Targets()), len(present.Targets()))
	}
}

// The first owner of a target loses its membership and joins again before anybody has taken
// the target over. Its requests from before are still there and fill slots.
func TestOwnAgain(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	owner := join(t, "e0", store.NewHTTP(srv.URL, time.Minute), nil)
	row := shard.Row{By: "e0", Ep: 1}
	follow(owner, "target", row)
	owner.Rejoined()
	follow(owner, "target", row)
	if got := owner.Targets(); len(got) != 1 || got[0].Ghosts != 4 {
		t.Errorf("owned again: %+v", got)
	}
}
