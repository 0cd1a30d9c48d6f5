// Package sched decides what runs where: the jobs of a service, its workers, and the orders
// that follow. It has no clock, network or goroutine; events and the time go in, orders and
// records come out. A Core is used by one goroutine at a time.
package sched
