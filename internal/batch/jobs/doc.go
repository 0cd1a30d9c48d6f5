// Package jobs decides about one bucket of jobs: which jobs are accepted, on which rack each
// task is placed, and which tasks and jobs have ended. A bucket is one record in the store
// that only the process holding the bucket writes. The package has no clock, network or
// goroutines: its callers pass the time and the events, and write the record.
package jobs
