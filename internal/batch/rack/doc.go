// Package rack decides for one rack of workers: which task starts on which worker,
// what is renewed, stopped and reported. It is the ledger of the rack's resources.
// The package has no clock, network or goroutines: events and the time go in, actions
// come out.
package rack
