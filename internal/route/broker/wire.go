package broker

import (
	"time"

	"bramleysail.example/bramleysail/internal/route/pool"
)

// AskArgs asks the owner of targets for slots. The owner may hold the answer back for
// a moment until one is free.
type AskArgs struct {
	Service string
	By      string
	N       int
	Wait    time.Duration // how long the asker's oldest call has waited
}

// AskReply grants permits. Their life counts from when the Ask was sent, so that an
// answer which is late on its way is worth less, never more.
type AskReply struct {
	Permits []Grant
	Free    int
}

// Grant is a permit as it's sent.
type Grant struct {
	No     uint64
	Target string
	Life   time.Duration
}

// FreeArgs says that a permit is done with.
type FreeArgs struct {
	Service string
	Key     pool.Key
	Target  string
	Result  pool.Result
}

// ClaimArgs asks a target's previous holder to hand it over.
type ClaimArgs struct {
	Service string
	Target  string
	By      string
	Ep      uint64
}

// ClaimReply hands over; OK is false when the holder can't yet, or with Absent when it
// never took the target over and another may have it.
type ClaimReply struct {
	OK     bool
	Absent bool
	Held   []pool.OutstandingPermit
	Ghosts int
}

// HeldArgs asks which permits of a target the receiver is using, when the target's
// holder is lost, and to give the target up if it still has it by an older epoch.
type HeldArgs struct {
	Service string
	Target  string
	By      string
	Ep      uint64
}

// HeldReply names them.
type HeldReply struct {
	Held   []pool.OutstandingPermit
	Ghosts int
}
