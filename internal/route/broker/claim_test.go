package broker

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"bramleysail.example/bramleysail/internal/ctrl/shard"
	fakestore "bramleysail.example/bramleysail/internal/fake/store"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// blind is a store whose watches answer only once.
type blind struct{ store.Store }

func (b blind) List(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Page, error) {
	if after > 0 && wait > 0 {
		<-ctx.Done()
		return store.Page{}, ctx.Err()
	}
	return b.Store.List(ctx, prefix, after, wait)
}

// peer answers what processes ask each other about targets.
type peer struct{ b *Broker }

// Claim is called by its name over net/rpc.
func (p *peer) Claim(in ClaimArgs, out *ClaimReply) error {
	*out = p.b.Claim(in)
	return nil
}

// Held is called by its name over net/rpc.
func (p *peer) Held(in HeldArgs, out *HeldReply) error {
	*out = p.b.Held(in)
	return nil
}

// join returns the broker of a process that has joined and answers its peers.
func join(t *testing.T, id string, s store.Store) *Broker {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links := &link.Set{}
	joined := make(chan struct{}, 1)
	b := New(Options{
		Service: "registro", Links: links, Timeout: time.Minute, Log: logr.Discard(),
		Group: member.New(member.Options{
			Self: member.Member{ID: id, Addr: lis.Addr().String(), State: member.StateLive}, Store: s, Links: links,
			Lease: time.Hour, Wait: time.Minute, Beat: time.Minute, Timeout: time.Minute, Log: logr.Discard(),
			Joined: func() { joined <- struct{}{} },
		}),
	})
	server, err := link.NewServer("Peer", &peer{b})
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
	return b
}

// follow gives the target to the process by a row and waits until it has taken it over.
func follow(b *Broker, target string, row shard.Row) {
	b.Follow(context.Background(), map[string]shard.Row{target: row}, 4)
	b.wg.Wait()
}

// A process takes a target over while its view doesn't show yet that the previous holder
// has joined. Taken for gone, the holder would go on sending to the target as its owner.
func TestClaimFromUnseen(t *testing.T) {
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := store.NewHTTP(srv.URL, time.Minute)
	next := join(t, "e0", blind{s})
	holder := join(t, "e1", s)
	follow(holder, "target", shard.Row{By: "e1", Ep: 1})
	if len(holder.Targets()) != 1 {
		t.Fatal("the first holder has no target")
	}
	follow(next, "target", shard.Row{By: "e0", Ep: 2, Was: "e1"})
	if len(next.Targets()) != 1 || len(holder.Targets()) != 0 {
		t.Errorf("the next holder has %d, the previous %d", len(next.Targets()), len(holder.Targets()))
	}
}
