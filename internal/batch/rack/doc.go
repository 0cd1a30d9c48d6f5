// Package rack makes the decisions for one rack of workers: which task starts on which worker, which leases are
// renewed, which tasks are stopped, and what is reported to the buckets. It tracks how the rack's resources are
// allocated. The package has no clock, network access or goroutines: its caller passes in events and the time, and
// carries out the actions that it returns.
package rack
