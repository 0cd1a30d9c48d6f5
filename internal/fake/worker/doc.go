// Package worker is a stand-in for a worker. It runs tasks under a lease, refuses
// commands of an older epoch, sends reports that lag behind, and can checkpoint,
// throttle and stop a task.
package worker
