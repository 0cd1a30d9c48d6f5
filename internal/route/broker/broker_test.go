package broker

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"bramleysail.example/bramleysail/internal/ctrl/shard"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/peer/member"
)

// TestNoLendingWithInvalidOwnership covers a process that is paused between the takeover of its
// first target and the next tick, and resumes when others own the target. It must not lend the
// target's slots.
func TestNoLendingWithInvalidOwnership(t *testing.T) {
	b := New(Options{
		Service:        "registro",
		Group:          member.New(member.Options{Self: member.Member{ID: "e0"}}),
		Links:          &link.Set{},
		RPCTimeout:     time.Second,
		OwnershipValid: func() bool { return false },
		Authorized:     func() bool { return false },
		Probe:          func(string) (bool, int, bool) { return true, 0, false },
		Log:            logr.Discard(),
	})
	b.TakeOverAssigned(t.Context(), map[string]shard.Assignment{"t00": {Epoch: 1}}, 4)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	b.Run(canceled) // until the claim has ended
	b.tick()
	if got := b.HandleAsk(AskArgs{By: "e1", N: 1}); len(b.Targets()) != 1 || len(got.Permits) > 0 {
		t.Errorf("owns %d targets, want 1; lends %+v, want nothing", len(b.Targets()), got.Permits)
	}
}
