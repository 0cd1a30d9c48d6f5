// Package broker executes the decisions of a pool.Core for one service. It gives
// calls their permits, borrows and lends permits over net/rpc, and takes over the
// targets that are assigned to this process.
package broker
