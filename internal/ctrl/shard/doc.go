// Package shard divides items (targets of a service, racks of workers) among the
// live entry processes, by tables in the store that change only by compare-and-swap.
package shard
