package pool

import "time"

// Key identifies a permit among all processes.
type Key struct {
	Owner string // process that issued the permit
	No    uint64 // number of the permit among those that the process issued
}

// Permit is the right to have one request in flight at a target until it expires.
type Permit struct {
	Key    Key
	Target string    // address of the target
	Until  time.Time // when the permit expires
}

// Reason is why a call was refused a slot.
type Reason string

// The reasons for a refusal. The request of a refused call has not been sent to any target.
const (
	ReasonOverloaded Reason = "overloaded" // the call would wait longer than MaxWait or its deadline allow
	ReasonNoTarget   Reason = "no-target"  // this process owns no target and knows no peer
	ReasonDeadline   Reason = "deadline"   // the call's deadline passed before a slot was free
)

// Outcome is how a request to a target ended.
type Outcome string

// The outcomes of a request to a target.
const (
	OutcomeOK      Outcome = "ok"      // a valid response
	OutcomeFailed  Outcome = "failed"  // an error, or an unusable response
	OutcomeLost    Outcome = "lost"    // no response; the request may still run at the target
	OutcomeRefused Outcome = "refused" // the target reported that it didn't run the request
	OutcomeNotSent Outcome = "never"   // the request wasn't sent
)

// Result is the outcome of a request, with its latency and what the target reported of itself.
type Result struct {
	Outcome Outcome
	Took    time.Duration // from sending the request to its response
	Load    int           // number of requests that the target reported to have, or -1
	Leaving bool          // whether the target reported that it is leaving
}

// OutstandingPermit is a permit that was issued and not returned yet, as the former owner
// of its target reports it to the next owner.
type OutstandingPermit struct {
	Key  Key
	By   string        // process that uses the permit
	Left time.Duration // time until the permit expires
}

// Action is a decision of a Core that its caller has to execute: a Send, Refuse, Borrow, Lend
// or Return.
type Action interface{ action() }

// Send is the action to send the call's request to the permit's target.
type Send struct {
	Call   Call
	Permit Permit
}

// Refuse is the action to refuse the call at once.
type Refuse struct {
	Call       Call
	Reason     Reason
	RetryAfter time.Duration // after which the caller should try again
}

// Borrow is the action to ask a peer for slots.
type Borrow struct {
	Peer        string
	Slots       int           // number of slots to ask for
	LongestWait time.Duration // how long the oldest call here has waited
}

// Lend is the action to grant a peer permits that it asked for earlier.
type Lend struct {
	Peer    string
	Permits []Permit
}

// Return is the action to tell a peer that a permit is no longer in use.
type Return struct {
	Peer   string // owner of the target, to the knowledge of this process
	Key    Key
	Target string
	Result Result // of the last request sent with the permit
}

func (Send) action()   {}
func (Refuse) action() {}
func (Borrow) action() {}
func (Lend) action()   {}
func (Return) action() {}
