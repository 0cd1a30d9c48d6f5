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

// lossyStore carries out the next Hold and loses its answer.
type lossyStore struct {
	store.Store
	loseAnswer bool
}

func (d *lossyStore) Acquire(ctx context.Context, lease, key string, value []byte) error {
	err := d.Store.Acquire(ctx, lease, key, value)
	if d.loseAnswer && err == nil {
		d.loseAnswer = false
		return errors.Wrap(store.ErrOutcomeUnknown, "answer lost")
	}
	return err
}

func newGroup(t *testing.T) (*Group, *lossyStore) {
	t.Helper()
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := &lossyStore{Store: store.NewHTTP(srv.URL, time.Minute)}
	return New(Options{
		Self:  Member{ID: "e1", Zone: "cartago", State: StateLive},
		Store: s, Links: &link.Set{}, LeaseTTL: time.Hour, Log: logr.Discard(),
	}), s
}

// refreshView makes the group's view that of the store.
func refreshView(t *testing.T, g *Group) {
	t.Helper()
	p, err := g.opts.Store.List(context.Background(), keyPrefix, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	g.applyView(decodeView(p))
}

// checkKeyHeld checks that the process is a member for the others as soon as it is lawful.
func checkKeyHeld(t *testing.T, g *Group) {
	t.Helper()
	e, err := g.opts.Store.Get(context.Background(), keyPrefix+"e1")
	if g.Authorized() && (err != nil || e.Lease != g.leaseID) {
		t.Errorf("lawful by lease %s, with key %+v, %v", g.leaseID, e, err)
	}
}

// A process was paused for longer than its lease and joins again while its view still
// shows its old key. It must not act as a member that nobody else knows of: two would own
// what the others have taken over.
func TestRejoinWithStaleView(t *testing.T) {
	ctx := context.Background()
	g, s := newGroup(t)
	if err := g.renewMembership(ctx); err != nil {
		t.Fatal(err)
	}
	refreshView(t, g)
	if err := s.CloseLease(ctx, g.leaseID); err != nil {
		t.Fatal(err)
	}
	if err := g.renewMembership(ctx); err != nil {
		t.Fatal(err)
	}
	if !g.Authorized() {
		t.Error("not lawful after joining again")
	}
	checkKeyHeld(t, g)
}

// The answer to the write of a process's key is lost. The process must not go on under a
// lease that doesn't hold the key: the key would lapse while the process acts on.
func TestAcquireAnswerLost(t *testing.T) {
	ctx := context.Background()
	g, s := newGroup(t)
	s.loseAnswer = true
	if err := g.renewMembership(ctx); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Fatalf("joined without an answer: %v", err)
	}
	if g.Authorized() {
		t.Error("lawful before it is known that the key is held")
	}
	refreshView(t, g)
	if err := g.renewMembership(ctx); err != nil {
		t.Fatal(err)
	}
	if !g.Authorized() {
		t.Error("not lawful after joining")
	}
	checkKeyHeld(t, g)
}
