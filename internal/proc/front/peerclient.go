package front

import (
	"context"

	"bramleysail.example/bramleysail/internal/batch/agent"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/peer/link"
)

// Heartbeat is a follower's heartbeat to the holder.
type Heartbeat struct {
	Addr   string       // of the sender's peer interface
	Limits agent.Limits // of the sender as an agent
	ID     string       // of the sender as a voter; empty: the sender is of an older build
	Term   int64        // newest term that the sender knows; see lead.Elector.Promise
}

// Promise tells a holder that its sender confirms no holder of a term older than Term.
type Promise struct {
	ID   string // of the sender as a voter
	Term int64
}

// FollowerStatus is a follower's answer to a holder that doesn't reach the store, or that has more workers than it has
// capacity for.
type FollowerStatus struct {
	Failing bool   // the store doesn't answer the follower either
	Term    int64  // newest term that the follower knows; see lead.Elector.Promise
	Carries int    // how many workers the follower would handle as the holder; 0: not known, or none because it is stopping
	ID      string // of the follower as a voter; empty: it is of an older build
}

// followerReply is a follower's reply to the holder.
type followerReply struct {
	addr string // of the follower's peer interface
	FollowerStatus
}

// voter returns the follower as a voter.
func (r followerReply) voter() lead.Voter { return lead.Voter{Addr: r.addr, ID: r.ID} }

// peerClient makes the calls of a peerMonitor to other entry processes, by the address of their peer interface.
type peerClient interface {
	// Announce sends a heartbeat.
	Announce(ctx context.Context, addr string, h Heartbeat) error
	// Outlook asks a follower for its status.
	Outlook(ctx context.Context, addr string) (FollowerStatus, error)
	// Promise asks a process to confirm no holder of a term older than the given one.
	Promise(ctx context.Context, addr string, term int64) (Promise, error)
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
func (c linkClient) Announce(ctx context.Context, addr string, h Heartbeat) error {
	l := c.links.Get(addr)
	_, err := link.Call[Heartbeat, int](ctx, l, "Peer.Announce", h)
	if link.LacksMethod(err) {
		_, err = link.Call[string, int](ctx, l, "Peer.Follow", h.Addr)
	}
	return err
}

// Outlook implements peerClient.
func (c linkClient) Outlook(ctx context.Context, addr string) (FollowerStatus, error) {
	return link.Call[int, FollowerStatus](ctx, c.links.Get(addr), "Peer.Outlook", 0)
}

// Promise implements peerClient.
func (c linkClient) Promise(ctx context.Context, addr string, term int64) (Promise, error) {
	return link.Call[int64, Promise](ctx, c.links.Get(addr), "Peer.Promise", term)
}

// Alive implements peerClient.
func (c linkClient) Alive(ctx context.Context, addr string) (bool, error) {
	return link.Call[int, bool](ctx, c.links.Get(addr), "Peer.Alive", 0)
}

// Reset implements peerClient.
func (c linkClient) Reset(addr string) { c.links.Get(addr).Reset() }
