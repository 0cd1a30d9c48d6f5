package member

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	fakestore "bramleysail.example/bramleysail/internal/fake/store"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// deaf carries out the next Hold and loses its answer.
type deaf struct {
	store.Store
	lose bool
}

func (d *deaf) Hold(ctx context.Context, lease, key string, value []byte) error {
	err := d.Store.Hold(ctx, lease, key, value)
	if d.lose && err == nil {
		d.lose = false
		return errors.Wrap(store.ErrUnknown, "answer lost")
	}
	return err
}

func newGroup(t *testing.T) (*Group, *deaf) {
	t.Helper()
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := &deaf{Store: store.NewHTTP(srv.URL, time.Minute)}
	return New(Options{
		Self:  Member{ID: "e1", Zone: "cartago", State: StateLive},
		Store: s, Links: &link.Set{}, Lease: time.Hour, Log: logr.Discard(),
	}), s
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
	g, s := newGroup(t)
	if err := g.renew(ctx); err != nil {
		t.Fatal(err)
	}
	see(t, g)
	if err := s.Close(ctx, g.lease); err != nil {
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

// The answer to the write of a process's key is lost. The process must not go on under a
// lease that doesn't hold the key: the key would lapse while the process acts on.
func TestHoldAnswerLost(t *testing.T) {
	ctx := context.Background()
	g, s := newGroup(t)
	s.lose = true
	if err := g.renew(ctx); !errors.Is(err, store.ErrUnknown) {
		t.Fatalf("joined without an answer: %v", err)
	}
	if g.Lawful() {
		t.Error("lawful before it is known that the key is held")
	}
	see(t, g)
	if err := g.renew(ctx); err != nil {
		t.Fatal(err)
	}
	if !g.Lawful() {
		t.Error("not lawful after joining")
	}
	checkHeld(t, g)
}
