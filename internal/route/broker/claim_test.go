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

// singleWatchStore is a store whose watches answer only once.
type singleWatchStore struct{ store.Store }

func (b singleWatchStore) List(ctx context.Context, prefix string, after uint64, hold time.Duration) (store.Listing, error) {
	if after > 0 && hold > 0 {
		<-ctx.Done()
		return store.Listing{}, ctx.Err()
	}
	return b.Store.List(ctx, prefix, after, hold)
}

// peerService answers what processes ask each other about targets.
type peerService struct {
	b       *Broker
	onClaim func() // called at each claim, if there is one
}

// Claim is called by its name over net/rpc.
func (p *peerService) Claim(in ClaimArgs, out *ClaimReply) error {
	if p.onClaim != nil {
		p.onClaim()
	}
	*out = p.b.HandleClaim(in)
	return nil
}

// Held is called by its name over net/rpc.
func (p *peerService) Held(in HeldArgs, out *HeldReply) error {
	*out = p.b.HandleHeld(in)
	return nil
}

// process is a process with a broker.
type process struct {
	*Broker
	viewChanged chan struct{} // its view
}

// waitForMember waits until the process's view shows another.
func (p *process) waitForMember(id string) {
	for {
		if _, ok := p.opts.Group.View().Get(id); ok {
			return
		}
		<-p.viewChanged
	}
}

// startProcess returns a process that has joined and answers its peers.
func startProcess(t *testing.T, id string, s store.Store, asked func()) *process {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links := &link.Set{}
	joined, changed := make(chan struct{}, 1), make(chan struct{}, 1)
	b := New(Options{
		Service: "registro", Links: links, RPCTimeout: time.Minute, Log: logr.Discard(),
		Group: member.New(member.Options{
			Self: member.Member{ID: id, Addr: lis.Addr().String(), State: member.StateLive}, Store: s, Links: links,
			LeaseTTL: time.Hour, WatchTimeout: time.Minute, HeartbeatInterval: time.Minute, HeartbeatTimeout: time.Minute, Log: logr.Discard(),
			OnJoin:       func() { joined <- struct{}{} },
			OnViewChange: func(member.View) { wait.Wake(changed) },
		}),
	})
	server, err := link.NewServer("Peer", &peerService{b, asked})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { server.Serve(lis); done <- struct{}{} }()
	go func() { b.opts.Group.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		server.Close()
		<-done
		<-done
	})
	<-joined
	return &process{b, changed}
}

// takeOver gives the target to the process by a row and waits until it has taken it over.
func takeOver(b *process, target string, row shard.Assignment) {
	b.TakeOverAssigned(context.Background(), map[string]shard.Assignment{target: row}, 4)
	b.wg.Wait()
}

// A process takes a target over while its view doesn't show yet that the previous holder
// has joined. Taken for gone, the holder would go on sending to the target as its owner.
func TestClaimFromOwnerMissingInView(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := store.NewHTTP(srv.URL, time.Minute)
	next := startProcess(t, "e0", singleWatchStore{s}, nil)
	holder := startProcess(t, "e1", s, nil)
	takeOver(holder, "target", shard.Assignment{Holder: "e1", Epoch: 1})
	if len(holder.Targets()) != 1 {
		t.Fatal("the first holder has no target")
	}
	takeOver(next, "target", shard.Assignment{Holder: "e0", Epoch: 2, FormerHolder: "e1"})
	if len(next.Targets()) != 1 || len(holder.Targets()) != 0 {
		t.Errorf("the next holder has %d, the previous %d", len(next.Targets()), len(holder.Targets()))
	}
}

// A target moves on twice before the process in between has seen that it was its own. It
// isn't the one to take the target over from: the holder before it is sending there yet.
func TestClaimSkipsProcessThatNeverOwned(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := store.NewHTTP(srv.URL, time.Minute)
	next, holder := startProcess(t, "e0", s, nil), startProcess(t, "e1", s, nil)
	startProcess(t, "e2", s, nil)
	next.waitForMember("e2")
	takeOver(holder, "target", shard.Assignment{Holder: "e1", Epoch: 1})
	takeOver(next, "target", shard.Assignment{Holder: "e0", Epoch: 3, FormerHolder: "e2"})
	if len(next.Targets()) != 1 || len(holder.Targets()) != 0 {
		t.Errorf("the next holder has %d, the first %d", len(next.Targets()), len(holder.Targets()))
	}
}

// A target moves on and back before either process has taken it over, so that each claims
// it from the other. If both waited for the other's claim to end, nobody would ever own it.
func TestMutualClaims(t *testing.T) {
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
	former, present := startProcess(t, "e0", s, ask), startProcess(t, "e1", s, ask)
	former.waitForMember("e1")
	present.waitForMember("e0")
	former.TakeOverAssigned(ctx, map[string]shard.Assignment{"target": {Holder: "e0", Epoch: 2, FormerHolder: "e1"}}, 4)
	present.TakeOverAssigned(ctx, map[string]shard.Assignment{"target": {Holder: "e1", Epoch: 3, FormerHolder: "e0"}}, 4)
	close(both)
	former.wg.Wait()
	present.wg.Wait()
	if len(former.Targets()) != 0 || len(present.Targets()) != 1 {
		t.Errorf("the former holder has %d, the present one %d", len(former.Targets()), len(present.Targets()))
	}
}

// The first owner of a target loses its membership and joins again before anybody has taken
// the target over. Its requests from before are still there and fill slots.
func TestOrphansCountedOnReclaim(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	owner := startProcess(t, "e0", store.NewHTTP(srv.URL, time.Minute), nil)
	row := shard.Assignment{Holder: "e0", Epoch: 1}
	takeOver(owner, "target", row)
	owner.DropTargets()
	takeOver(owner, "target", row)
	if got := owner.Targets(); len(got) != 1 || got[0].Ghosts != 4 {
		t.Errorf("owned again: %+v", got)
	}
}
