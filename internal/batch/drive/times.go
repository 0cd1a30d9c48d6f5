package drive

import "time"

// Times that holders, their successors and the workers have to share.
const (
	// HolderLease is how long the others wait for a holder that is gone. Shorter leases lose
	// the holder when the store is slow; the store allows no less than a second.
	HolderLease = 1200 * time.Millisecond
	// Unsure is how long a holder that the store doesn't confirm goes on renewing workers'
	// leases; a successor waits for it.
	Unsure = 3 * time.Second
	// workerLease is granted to workers at each look: long enough to outlast the loss of all
	// processes and a change of holder, some 4 s, and short enough for the work of a lost worker
	// to be placed anew in time.
	workerLease = 5500 * time.Millisecond
	// clockSlow is how slow a worker's clock may be.
	clockSlow = 0.98
)

// WorkerLease returns the lease that workers get which grant at most hold.
func WorkerLease(hold time.Duration) time.Duration {
	return min(workerLease, hold*9/10)
}

// Doubt returns how long after taking over a former holder's orders may live on workers that
// aren't reached.
func Doubt(lease time.Duration) time.Duration {
	return Unsure - HolderLease + time.Duration(float64(lease)/clockSlow) + time.Second
}
