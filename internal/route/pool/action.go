package pool

import "time"

// Key names a permit among all processes.
type Key struct {
	Owner string // the process that gave it
	No    uint64
}

// Permit is the right to have one request in flight at a target until a time.
type Permit struct {
	Key    Key
	Target string
	Until  time.Time
}

// Reason says why a call got no slot.
type Reason string

// The reasons of a refusal; in each the request has not been sent anywhere.
const (
	ReasonOverloaded Reason = "overloaded" // it would wait longer than it can
	ReasonNoTarget   Reason = "no-target"  // no target is usable
	ReasonDeadline   Reason = "deadline"   // its deadline passed before a slot was free
)

// Outcome says how a request at a target ended.
type Outcome string

// The outcomes of a request at a target.
const (
	OutcomeOK      Outcome = "ok"
	OutcomeFailed  Outcome = "failed"  // an error, or an answer that can't be used
	OutcomeLost    Outcome = "lost"    // no answer; it may still be running there
	OutcomeRefused Outcome = "refused" // the target said that it didn't run it
	OutcomeNotSent Outcome = "never"   // it wasn't sent
)

// Result is a request's outcome and how long the target took.
type Result struct {
	Outcome Outcome
	Took    time.Duration
	Load    int  // requests at the target by its own word, or -1
	Leaving bool // by the target's own word
}

// OutstandingPermit is a permit that is out, as it is passed on with its target.
type OutstandingPermit struct {
	Key  Key
	By   string // the process that uses it
	Left time.Duration
}

// Action is something that the adapter has to do.
type Action interface{ action() }

// Send asks to send the call's request to the permit's target.
type Send struct {
	Call   Call
	Permit Permit
}

// Refuse asks to answer the call at once; After is when it is worth coming back.
type Refuse struct {
	Call       Call
	Reason     Reason
	RetryAfter time.Duration
}

// Borrow asks a peer for N slots.
type Borrow struct {
	Peer        string
	Slots       int
	LongestWait time.Duration // how long the oldest call has waited
}

// Lend offers a peer permits that it asked for earlier.
type Lend struct {
	Peer    string
	Permits []Permit
}

// Return tells a peer that a permit is done with.
type Return struct {
	Peer   string
	Key    Key
	Target string
	Result Result
}

func (Send) action()   {}
func (Refuse) action() {}
func (Borrow) action() {}
func (Lend) action()   {}
func (Return) action() {}
