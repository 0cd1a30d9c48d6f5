// Package member keeps a process's membership among the entry processes: a lease
// in the store, the view of who else is there, and heartbeats over net/rpc that
// carry on while the store is away.
package member
