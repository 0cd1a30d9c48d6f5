// Package crew is a stand-in for the users' workers: they run tasks under fences and leases,
// tell of ends until these are acknowledged, carry some orders out late, crash and are cut
// off. It keeps an account of every run and of what must not happen.
package fleet
