// Package pool decides which request gets which slot of which target. Each entry
// process owns the slots of some targets and lends them to its peers when theirs
// are full. The package has no clock, network or goroutines: events and the time
// go in, actions come out.
package pool
