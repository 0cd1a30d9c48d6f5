// Package pool decides which request gets which slot of which target. Each entry
// process owns the slots of some targets and lends them to peers whose own slots
// are all in use. The package has no clock, network or goroutines: its methods take
// events with the current time and return actions to execute.
package pool
