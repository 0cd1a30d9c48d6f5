// Package trace generates the workload of a simulation from a seed: which jobs callers submit and
// when, the true durations of their tasks, the value of completing them, and the faults that occur.
package trace
