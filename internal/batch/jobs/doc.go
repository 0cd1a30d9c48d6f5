// Package jobs decides about one bucket of jobs: what is accepted, which rack may run
// which tasks, what is finished. A bucket is one record in the store, written only by
// the process that holds the bucket. The package has no clock, network or goroutines.
package jobs
