// Package world simulates the workers and their tasks in virtual time: how the tasks on a worker share
// its CPU, the varying load on latency-critical tasks, and the interference of best-effort tasks with them.
package world
