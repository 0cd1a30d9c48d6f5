// Package store is the client side of the platform's key-value service:
// compare-and-swap, leases (sessions) and watches (blocking reads).
package store
