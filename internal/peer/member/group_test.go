package member

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"

	fakestore "bramleysail.example/bramleysail/internal/fake/store"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/plat/store"
)

func newGroup(t *testing.T) *Group {
	t.Helper()
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	return New(Options{
		Self:  Member{ID: "e1", Zone: "cartago", State: StateLive},
		Store: store.NewHTTP(srv.URL, time.Minute), Links: &link.Set{}, Lease: time.Hour, Log: logr.Discard(),
	})
}

// see makes the group's view that of the store.
func see(t *testing.T, g *Group) {
	t.Helper()
	p, err := g.o.Store.List(context.Background(), prefix, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	g.adopt(newView(p))
}

// checkHeld checks that the process is a member for the others as soon as it is lawful.
func checkHeld(t *testing.T, g *Group) {
	t.Helper()
	e, err := g.o.Store.Get(context.Background(), prefix+"e1")
	if g.Lawful() && (err != nil || e.Lease != g.lease) {
		t.Errorf("lawful by lease %s, with key %+v, %v", g.lease, e, err)
	}
}

// A process was paused for longer than its lease and joins again while its view still
// shows its old key. It must not act as a member that nobody else knows of: two would own
// what the others have taken over.
func TestJoinByStaleView(t *testing.T) {
	ctx := context.Background()
	g := newGroup(t)
	if err := g.renew(ctx); err != nil {
		t.Fatal(err)
	}
	see(t, g)
	if err := g.o.Store.Close(ctx, g.lease); err != nil {
		t.Fatal(err)
	}
	if err := g.renew(ctx); err != nil {
		t.Fatal(err)
	}
	if !g.Lawful() {
		t.Error("not lawful after joining again")
	}
	checkHeld(t, g)
}
