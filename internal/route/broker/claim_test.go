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

// singleWatchStore is a store whose watches report the state at their start and no later change.
type singleWatchStore struct{ store.Store }

// List implements store.Store.
func (b singleWatchStore) List(ctx context.Context, prefix string, after uint64, hold time.Duration) (store.Listing, error) {
	if after > 0 && hold > 0 {
		<-ctx.Done()
		return store.Listing{}, ctx.Err()
	}
	return b.Store.List(ctx, prefix, after, hold)
}

// peerService is the RPC service by which processes claim targets from each other.
type peerService struct {
	b       *Broker
	onClaim func() // called at each claim, if set
}

// Claim is the RPC Peer.Claim.
func (p *peerService) Claim(in ClaimArgs, out *ClaimReply) error {
	if p.onClaim != nil {
		p.onClaim()
	}
	*out = p.b.HandleClaim(in)
	return nil
}

// Held is the RPC Peer.Held.
func (p *peerService) Held(in HeldArgs, out *HeldReply) error {
	*out = p.b.HandleHeld(in)
	return nil
}

// process is a process with a broker.
type process struct {
	*Broker
	viewChanged chan struct{} // signaled when its view of the membership changes
}

// waitForMember waits until the process's view contains the member.
func (p *process) waitForMember(id string) {
	for {
		if _, ok := p.opts.Group.View().Get(id); ok {
			return
		}
		<-p.viewChanged
	}
}

// startProcess returns a process that has joined the membership and serves the RPCs of its peers.
func startProcess(t *testing.T, id string, s store.Store, onClaim func()) *process {
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
	server, err := link.NewServer("Peer", &peerService{b, onClaim})
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

// takeOver assigns the target to the process and waits until the process has taken it over.
func takeOver(p *process, target string, assignment shard.Assignment) {
	p.TakeOverAssigned(context.Background(), map[string]shard.Assignment{target: assignment}, 4)
	p.wg.Wait()
}

// TestClaimFromOwnerMissingInView covers a process that takes a target over while its view doesn't
// contain the former owner, which has joined since. If it were considered gone, the former owner
// would go on sending to the target.
func TestClaimFromOwnerMissingInView(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := store.NewHTTP(srv.URL, time.Minute)
	next := startProcess(t, "e0", singleWatchStore{s}, nil)
	previous := startProcess(t, "e1", s, nil)
	takeOver(previous, "target", shard.Assignment{Holder: "e1", Epoch: 1})
	if len(previous.Targets()) != 1 {
		t.Fatal("the first owner has no target")
	}
	takeOver(next, "target", shard.Assignment{Holder: "e0", Epoch: 2, FormerHolder: "e1"})
	if len(next.Targets()) != 1 || len(previous.Targets()) != 0 {
		t.Errorf("the next owner has %d targets, want 1; the former owner has %d, want 0", len(next.Targets()), len(previous.Targets()))
	}
}

// TestClaimSkipsProcessThatNeverOwned covers a target that is reassigned twice before the process
// in between has learned of its assignment. The target can't be taken over from that process: the
// owner before it still sends to the target.
func TestClaimSkipsProcessThatNeverOwned(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := store.NewHTTP(srv.URL, time.Minute)
	next, first := startProcess(t, "e0", s, nil), startProcess(t, "e1", s, nil)
	startProcess(t, "e2", s, nil)
	next.waitForMember("e2")
	takeOver(first, "target", shard.Assignment{Holder: "e1", Epoch: 1})
	takeOver(next, "target", shard.Assignment{Holder: "e0", Epoch: 3, FormerHolder: "e2"})
	if len(next.Targets()) != 1 || len(first.Targets()) != 0 {
		t.Errorf("the next owner has %d targets, want 1; the first owner has %d, want 0", len(next.Targets()), len(first.Targets()))
	}
}

// TestMutualClaims covers a target that is reassigned to another process and back before either has
// taken it over, so that each claims it from the other. If both waited for the other's claim to
// end, none would ever own it.
func TestMutualClaims(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := store.NewHTTP(srv.URL, time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	started := make(chan struct{})
	var claims atomic.Int64
	onClaim := func() {
		<-started
		if claims.Add(1) > 20 {
			cancel()
		}
	}
	former, current := startProcess(t, "e0", s, onClaim), startProcess(t, "e1", s, onClaim)
	former.waitForMember("e1")
	current.waitForMember("e0")
	former.TakeOverAssigned(ctx, map[string]shard.Assignment{"target": {Holder: "e0", Epoch: 2, FormerHolder: "e1"}}, 4)
	current.TakeOverAssigned(ctx, map[string]shard.Assignment{"target": {Holder: "e1", Epoch: 3, FormerHolder: "e0"}}, 4)
	close(started)
	former.wg.Wait()
	current.wg.Wait()
	if len(former.Targets()) != 0 || len(current.Targets()) != 1 {
		t.Errorf("the former owner has %d targets, want 0; the current owner has %d, want 1", len(former.Targets()), len(current.Targets()))
	}
}

// TestOrphansCountedOnReclaim covers a target's first owner that loses its membership and joins
// again before another process has taken the target over. Its earlier requests may still run there
// and occupy slots.
func TestOrphansCountedOnReclaim(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	owner := startProcess(t, "e0", store.NewHTTP(srv.URL, time.Minute), nil)
	assignment := shard.Assignment{Holder: "e0", Epoch: 1}
	takeOver(owner, "target", assignment)
	owner.DropTargets()
	takeOver(owner, "target", assignment)
	if got := owner.Targets(); len(got) != 1 || got[0].Ghosts != 4 {
		t.Errorf("want one target with 4 orphans, got %+v", got)
	}
}
