// Package member maintains a process's membership in the group of entry processes: a
// lease in the store, the view of all members, and heartbeats over net/rpc, which
// continue while the store is unreachable.
package member
