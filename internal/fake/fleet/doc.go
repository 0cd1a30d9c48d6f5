// Package fleet is a stand-in for the platform's workers. They run tasks under fencing tokens
// and leases, report finished runs until these are acknowledged, execute some orders late,
// crash, and become unreachable. The package counts every run and records violations of
// the invariants.
package fleet
