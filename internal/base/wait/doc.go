// Package wait provides pauses that end early with a context, and wake-ups of waiting goroutines.
package wait
