// Package interf models how best-effort tasks interfere with the latency-critical tasks that run beside them on a
// worker. It learns the interference from the tail latencies of the latency-critical tasks.
//
// The tail latency of a latency-critical task is modelled like that of a queue, unloaded / (1 - p), where unloaded is
// its tail latency without load. The pressure p is the load of the task's own users plus, for each best-effort image
// on the same worker, a factor of the pair of images times the share of the worker's CPUs that the best-effort image
// uses. A LoadForecast forecasts the users' load by harmonic regression; a Kalman filter estimates Factors.
//
// Times are in seconds since the Unix epoch, so that another host can restore what has been learned.
package interf
