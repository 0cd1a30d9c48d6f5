// Package lead elects the process that manages the jobs and workers of a service, the holder. The holder has a key in
// the store that is bound to a lease, and a term that grows with each change of holder. Each write of a holder is
// conditional on its previous one, so that a write of a replaced holder, or one that arrives late, has no effect.
package lead
