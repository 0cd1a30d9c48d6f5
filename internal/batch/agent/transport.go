package agent

import (
	"context"
	"net"

	"bramleysail.example/bramleysail/internal/peer/link"
)

// transport carries the calls of one session to an agent's Service.
type transport interface {
	open(ctx context.Context, in OpenArgs) (OpenReply, error)
	send(ctx context.Context, in SendArgs) error
	receive(ctx context.Context, in ReceiveArgs) (ReceiveReply, error)
	// close ends the calls in progress.
	close()
}

// linkTransport is a transport over a connection of its own: a write to a frozen agent may block, and must not block
// other calls of this process to that peer.
type linkTransport struct {
	link *link.Link
}

// dialLink returns a function that returns a transport to the agent with a peer interface at an address. It applies wrap to
// each connection unless it is nil.
func dialLink(wrap func(net.Conn) net.Conn) func(addr string) transport {
	return func(addr string) transport { return linkTransport{link.New(addr, wrap)} }
}

func (t linkTransport) open(ctx context.Context, in OpenArgs) (OpenReply, error) {
	return link.Call[OpenArgs, OpenReply](ctx, t.link, ServiceName+".Open", in)
}

func (t linkTransport) send(ctx context.Context, in SendArgs) error {
	_, err := link.Call[SendArgs, int](ctx, t.link, ServiceName+".Send", in)
	return err
}

func (t linkTransport) receive(ctx context.Context, in ReceiveArgs) (ReceiveReply, error) {
	return link.Call[ReceiveArgs, ReceiveReply](ctx, t.link, ServiceName+".Receive", in)
}

func (t linkTransport) close() { t.link.Close() }
