// Package shard assigns items, such as the targets of a service or racks of workers, to the live entry processes.
// The assignments are tables in the store that change only by compare-and-swap.
package shard
