// Package trace makes the load of a model: which jobs callers hand in and when, what their
// tasks really take, and what their ends are worth.
package trace
