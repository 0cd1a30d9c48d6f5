// Package whole holds the end-to-end tests and benchmarks: they run entry processes and
// stand-ins as separate processes that communicate over loopback.
package whole
