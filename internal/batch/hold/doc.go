// Package hold runs the buckets of jobs and the racks of workers that an entry process
// holds: it writes the records, speaks with the workers, and joins the two over
// net/rpc with the processes that hold the others.
package hold
