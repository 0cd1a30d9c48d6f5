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

// A process is paused between taking its first target over and the next tick, and wakes up
// when others have the target. It must not lend the target's slots.
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
	ended, end := context.WithCancel(t.Context())
	end()
	b.Run(ended) // until the target is owned
	b.tick()
	if got := b.HandleAsk(AskArgs{By: "e1", N: 1}); len(b.Targets()) != 1 || len(got.Permits) > 0 {
		t.Errorf("of %d targets it lends %+v", len(b.Targets()), got.Permits)
	}
}
