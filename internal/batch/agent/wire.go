package agent

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// ServiceName is the net/rpc name of a Service.
const ServiceName = "Agent"

// Call is a call to a worker: a poll or an order.
type Call struct {
	ID       uint64             // identifies the call within its session
	Fence    int64              // fencing token
	Deadline time.Duration      // on the agent's clock; the call isn't made after it
	Poll     *sched.PollRequest // nil: the call is an order
	Order    *sched.Order       // nil: the call is a poll
	// SpecNumber is the number of a start's specification in the session; 0: it has none. Order.Spec is empty if the agent
	// has that specification from an earlier start.
	SpecNumber uint64
}

// Answer is the outcome of a Call.
type Answer struct {
	ID      uint64 // Call.ID
	Outcome sched.Outcome
	NotMade bool         // the agent didn't try the call: it came too late, or the session has too many
	Report  sched.Report // of a poll that was answered
}

// OpenArgs are the arguments of Service.Open.
type OpenArgs struct {
	Session string // identifies the holder's session with the agent
}

// OpenReply is the reply of Service.Open.
type OpenReply struct {
	Clock time.Duration // the agent's clock
	Specs uint64        // how many specifications the agent keeps for the session; 0: none, as an older build
}

// SendArgs are the arguments of Service.Send.
type SendArgs struct {
	Session string
	Calls   []Call
}

// ReceiveArgs are the arguments of Service.Receive.
type ReceiveArgs struct {
	Session string
}

// ReceiveReply is the reply of Service.Receive.
type ReceiveReply struct {
	Answers  []Answer
	Clock    time.Duration // the agent's clock
	Stopping bool          // the agent takes no more calls
}
