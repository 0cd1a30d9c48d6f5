// Package store defines clients of the platform's key-value service: Store with
// single-key compare-and-swap, leases (the service calls them sessions) and watches
// (blocking reads), and TxnStore with transactions over several keys. HTTP implements Store.
package store
