// Package hold runs the buckets of jobs and the racks of workers that an entry process
// holds. It writes the records of the buckets to the store, sends commands to the workers of
// the racks, and carries reports and replies between racks and buckets, over net/rpc when
// another process holds the bucket. Packages jobs and rack make the decisions.
package hold
