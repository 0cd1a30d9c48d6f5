// Package lead decides which process holds a service's jobs and workers. The holder has a
// key in the store bound to a lease, a term that grows with each change of holder, and a
// chain: every write of a holder depends on its former one, so that a write of a holder
// that has been replaced, or one that arrives late, changes nothing.
package lead
