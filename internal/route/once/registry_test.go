package once

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	fakestore "bramleysail.example/bramleysail/internal/fake/store"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// registryPeer answers the calls of the other processes' registries.
type registryPeer struct {
	group    *member.Group
	registry *Registry
}

func (p *registryPeer) Beat(in member.Heartbeat, out *member.Heartbeat) error {
	p.group.HandleHeartbeat(in)
	*out = p.group.Heartbeat()
	return nil
}

func (p *registryPeer) Begin(in BeginArgs, out *BeginReply) error {
	*out = p.registry.HandleBegin(in)
	return nil
}

func (p *registryPeer) Finish(in FinishArgs, out *bool) error {
	p.registry.HandleFinish(in)
	*out = true
	return nil
}

func (p *registryPeer) Pull(in PullArgs, out *PullReply) error {
	*out = p.registry.HandlePull(in)
	return nil
}

// newRegistries returns the registries of n processes that know each other and have each other's records.
func newRegistries(t *testing.T, n int) []*Registry {
	t.Helper()
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	var all []*Registry
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		links := &link.Set{}
		ctx, cancel := context.WithCancel(context.Background())
		changed := make(chan member.View, 100)
		group := member.New(member.Options{
			Self:  member.Member{ID: fmt.Sprint("e", i), Addr: l.Addr().String(), Zone: "z", State: member.StateLive},
			Store: store.NewHTTP(srv.URL, time.Minute), Links: links, Log: logr.Discard(),
			LeaseTTL: time.Hour, WatchTimeout: time.Minute, HeartbeatInterval: time.Minute, HeartbeatTimeout: time.Minute,
			OnViewChange: func(v member.View) { changed <- v },
		})
		reg := NewRegistry(NewTable(time.Hour), group, links, time.Minute, logr.Discard())
		all = append(all, reg)
		server, err := link.NewServer("Peer", &registryPeer{group, reg})
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go server.Serve(l)
		go func() {
			defer close(done)
			group.Run(ctx)
		}()
		go func() {
			for {
				select {
				case v := <-changed:
					reg.SyncView(ctx, v)
				case <-ctx.Done():
					return
				}
			}
		}()
		t.Cleanup(func() {
			cancel()
			<-done
			links.CloseExcept(nil)
			server.Close()
		})
	}
	for _, reg := range all {
		for view := reg.group.View(); len(view.Members()) < n || !reg.isSynced(view.Epoch()); view = reg.group.View() {
			runtime.Gosched()
		}
	}
	return all
}

// Guards against a caller that is told again and again that its request is still being run, or that its outcome isn't
// known, long after it was answered: the process that it repeats the request through has pulled the record of the home's
// backup while the request was being run.
func TestRepeatThroughBackup(t *testing.T) {
	all := newRegistries(t, 3)
	view := all[0].group.View()
	for i := range 30 {
		id := fmt.Sprint("case-", i)
		home, _ := view.HomeOf(id)
		var sender, other *Registry
		for _, reg := range all {
			switch {
			case reg.group.Self().ID == home.ID:
			case sender == nil:
				sender = reg
			default:
				other = reg
			}
		}
		if v, _, err := sender.Begin(t.Context(), id, 7); v != VerdictNew || err != nil {
			t.Fatalf("begin of %s: %v, %v", id, v, err)
		}
		other.table.Merge(time.Now(), sender.table.Select(func(have string) bool { return have == id }))
		if v, _, err := other.Begin(t.Context(), id, 7); v != VerdictRunning || err != nil {
			t.Errorf("repeat of %s while it is being run: %v, %v, want %s", id, v, err, VerdictRunning)
		}
		sender.Finish(Record{ID: id, Print: 7, State: StateDone, Answer: Answer{Status: 200, Whole: true}})
		for _, reg := range all {
			if v, r, err := reg.Begin(t.Context(), id, 7); v != VerdictDone || err != nil || r.Answer.Status != 200 {
				t.Errorf("repeat of %s through %s: %v, %v, want %s", id, reg.group.Self().ID, v, err, VerdictDone)
			}
		}
		if v, _, err := other.Begin(t.Context(), id, 8); v != VerdictMismatch || err != nil {
			t.Errorf("the id %s with another request: %v, %v, want %s", id, v, err, VerdictMismatch)
		}
	}
}
