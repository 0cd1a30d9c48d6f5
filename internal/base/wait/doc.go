// Package wait pauses for a time that ends early with a context, and wakes who waits.
package wait
