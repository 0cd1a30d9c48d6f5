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

// lossyStore is a store that can lose the answer to one Acquire.
type lossyStore struct {
	store.Store
	loseAnswer bool // the next successful Acquire returns an unknown outcome
}

// Acquire implements store.Store.
func (s *lossyStore) Acquire(ctx context.Context, lease, key string, value []byte) error {
	err := s.Store.Acquire(ctx, lease, key, value)
	if s.loseAnswer && err == nil {
		s.loseAnswer = false
		return errors.Wrap(store.ErrOutcomeUnknown, "answer lost")
	}
	return err
}

// newGroup returns a group that hasn't joined, with its store.
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

// refreshView reads the membership from the store and applies it as the group's view.
func refreshView(t *testing.T, g *Group) {
	t.Helper()
	listing, err := g.opts.Store.List(context.Background(), keyPrefix, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	g.applyView(decodeView(listing))
}

// checkKeyHeld checks that while the process is authorized, its key is bound to its lease, so that
// the other processes see it as a member.
func checkKeyHeld(t *testing.T, g *Group) {
	t.Helper()
	e, err := g.opts.Store.Get(context.Background(), keyPrefix+"e1")
	if g.Authorized() && (err != nil || e.Lease != g.leaseID) {
		t.Errorf("authorized under lease %s, but its key is %+v, %v", g.leaseID, e, err)
	}
}

// TestRejoinWithStaleView covers a process that is paused for longer than its lease and joins again
// while its view still shows its old key. If it then acted without writing its key, the other
// processes would not see it as a member, and what they have taken over would have two owners.
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
		t.Error("not authorized after joining again")
	}
	checkKeyHeld(t, g)
}

// TestAcquireAnswerLost covers a write of a process's key whose answer is lost. The process must
// not continue under another lease than the one its key is bound to: the key would expire while the
// process still acts.
func TestAcquireAnswerLost(t *testing.T) {
	ctx := context.Background()
	g, s := newGroup(t)
	s.loseAnswer = true
	if err := g.renewMembership(ctx); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Fatalf("renewal whose answer is lost: %v, want ErrOutcomeUnknown", err)
	}
	if g.Authorized() {
		t.Error("authorized before the write of the key is known to have succeeded")
	}
	refreshView(t, g)
	if err := g.renewMembership(ctx); err != nil {
		t.Fatal(err)
	}
	if !g.Authorized() {
		t.Error("not authorized after joining")
	}
	checkKeyHeld(t, g)
}
