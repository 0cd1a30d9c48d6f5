// Package link provides connections for net/rpc calls between processes: Link and Set on the
// caller's side, Server on the other.
package link
