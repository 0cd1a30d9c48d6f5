// Package wait pauses for a time that ends early with a context.
package wait
