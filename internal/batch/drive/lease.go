package drive

import "time"

// Times that holders, their successors and the workers have to share.
const (
	// HolderLease is how long the others wait for a holder that is gone. Shorter leases lose
	// the holder when the store is slow; the store allows no less than a second.
	HolderLease = 1200 * time.Millisecond
	// MaxUnconfirmed is how long a holder that neither the store nor its peers confirm goes on starting tasks.
	MaxUnconfirmed = 3 * time.Second
	// defaultWorkerLease is granted to workers at each poll. What is left of it outlasts the loss of all
	// processes and a change of holder, some 3 s. A holder and a worker that are lost together cost
	// HolderLease, the claim and this: operators allow 7 s until what ran there runs again.
	defaultWorkerLease = 4800 * time.Millisecond
)

// WorkerLease returns the lease that workers get which grant at most hold.
func WorkerLease(hold time.Duration) time.Duration {
	return min(defaultWorkerLease, hold*9/10)
}
