// Package sched decides which task runs on which worker. A Core keeps the jobs, the workers and
// the runs on them, and plans the orders to the workers.
//
// The package has no clock, network or goroutine: the caller passes in events and the time, and
// gets orders and records for the store. A Core must be used by one goroutine at a time.
package sched
