package broker

import (
	"time"

	"bramleysail.example/bramleysail/internal/route/pool"
)

// AskArgs are the arguments of the RPC Peer.Ask, which asks a peer for slots of its targets.
// The peer may delay the reply for a moment until a slot is free.
type AskArgs struct {
	Service string
	By      string        // process that asks
	N       int           // number of slots asked for
	Wait    time.Duration // how long the oldest call of the asking process has waited
}

// AskReply is the reply to the RPC Peer.Ask, which grants permits. Their lifetimes count from
// when the RPC was sent, so a delay of the reply shortens them and never extends them.
type AskReply struct {
	Permits []Grant
	Free    int // number of slots that are still free
}

// Grant is a permit as it is sent to a borrower.
type Grant struct {
	No     uint64 // number of the permit among those that the lender issued
	Target string
	Life   time.Duration // lifetime of the permit
}

// FreeArgs are the arguments of the RPC Peer.Free, which returns a permit to the owner of its
// target.
type FreeArgs struct {
	Service string
	Key     pool.Key
	Target  string
	Result  pool.Result // of the last request sent with the permit
}

// ClaimArgs are the arguments of the RPC Peer.Claim, which asks the former owner of a target to
// hand it over.
type ClaimArgs struct {
	Service string
	Target  string
	By      string // process that takes the target over
	Ep      uint64 // epoch of the assignment to that process
}

// ClaimReply is the reply to the RPC Peer.Claim. If neither OK nor Absent is set, the claim has to
// be repeated later.
type ClaimReply struct {
	OK     bool                     // the target is handed over
	Absent bool                     // the former owner never took the target over, so another process may own it
	Held   []pool.OutstandingPermit // outstanding permits of the target
	Ghosts int                      // number of orphans at the target
}

// HeldArgs are the arguments of the RPC Peer.Held, which asks for the permits of a target that the
// receiver uses, if the target's owner is lost. The receiver gives the target up if it owns it by
// an older epoch.
type HeldArgs struct {
	Service string
	Target  string
	By      string // process that takes the target over
	Ep      uint64 // epoch of the assignment to that process
}

// HeldReply is the reply to the RPC Peer.Held.
type HeldReply struct {
	Held   []pool.OutstandingPermit // permits that the receiver uses, and the outstanding ones if it owned the target
	Ghosts int                      // number of orphans at the target, if the receiver owned it
}
