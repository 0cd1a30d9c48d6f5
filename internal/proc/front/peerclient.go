package front

import (
	"context"

	"bramleysail.example/bramleysail/internal/batch/agent"
	"bramleysail.example/bramleysail/internal/peer/link"
)

// FollowerStatus is a follower's answer to a holder that doesn't reach the store, or that has more workers than it has
// capacity for.
type FollowerStatus struct {
	Failing bool  // the store doesn't answer the follower either
	Term    int64 // of the newest holder that the follower knows of
	Carries int   // how many workers the follower would handle as the holder; 0: not known, or none because it is stopping
}

// followerReply is a follower's reply to the holder.
type followerReply struct {
	addr string // of the follower's peer interface
	FollowerStatus
}

// peerClient makes the calls of a peerMonitor to other entry processes, by the address of their peer interface.
type peerClient interface {
	// Announce sends a heartbeat.
	Announce(ctx context.Context, addr string, follower agent.Candidate) error
	// Outlook asks a follower for its status.
	Outlook(ctx context.Context, addr string) (FollowerStatus, error)
	// Alive asks a process whether it is running as the holder.
	Alive(ctx context.Context, addr string) (bool, error)
	// Reset makes the next call use a new connection.
	Reset(addr string)
}

// linkClient is a peerClient over net/rpc.
type linkClient struct {
	links *link.Set
}

// Announce implements peerClient. A holder of an older build takes only the address.
func (c linkClient) Announce(ctx context.Context, addr string, follower agent.Candidate) error {
	l := c.links.Get(addr)
	_, err := link.Call[agent.Candidate, int](ctx, l, "Peer.Announce", follower)
	if link.LacksMethod(err) {
		_, err = link.Call[string, int](ctx, l, "Peer.Follow", follower.Addr)
	}
	return err
}

// Outlook implements peerClient.
func (c linkClient) Outlook(ctx context.Context, addr string) (FollowerStatus, error) {
	return link.Call[int, FollowerStatus](ctx, c.links.Get(addr), "Peer.Outlook", 0)
}

// Alive implements peerClient.
func (c linkClient) Alive(ctx context.Context, addr string) (bool, error) {
	return link.Call[int, bool](ctx, c.links.Get(addr), "Peer.Alive", 0)
}

// Reset implements peerClient.
func (c linkClient) Reset(addr string) { c.links.Get(addr).Reset() }
