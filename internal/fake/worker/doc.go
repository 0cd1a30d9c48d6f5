// Package worker is a stand-in for a worker: it runs tasks under leases, refuses
// commands of an older epoch, reports with a lag, and can checkpoint, throttle
// and stop a task.
package worker
