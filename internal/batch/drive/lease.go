package drive

import "time"

// Durations on which holders, their successors and the workers must agree.
const (
	// HolderLease is how long other processes wait before they replace a holder that is gone. With a shorter
	// lease the holder is lost when the store is slow, and the store allows no less than a second.
	HolderLease = 1200 * time.Millisecond
	// MaxUnconfirmed is how long a holder goes on starting tasks when neither the store nor its peers confirm it.
	MaxUnconfirmed = 3 * time.Second
	// defaultWorkerLease is granted to workers at each poll. What remains of it must outlast the loss of all
	// processes and a change of holder, some 3 s. If a holder and a worker are lost together, the worker's tasks
	// run again after HolderLease, the claim and this lease; operators allow 7 s for that.
	defaultWorkerLease = 4800 * time.Millisecond
)

// WorkerLease returns the lease to grant to workers whose longest lease is maxLease.
func WorkerLease(maxLease time.Duration) time.Duration {
	return min(defaultWorkerLease, maxLease*9/10)
}
