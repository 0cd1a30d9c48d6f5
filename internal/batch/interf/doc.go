// Package interf models how best-effort ("filling") tasks disturb latency-critical ("serving") ones that run
// beside them on a worker, and learns it from the tails that the serving tasks show.
//
// A serving task's tail grows as that of a queue, rest / (1 - p): rest is its tail without any load, and the
// pressure p is the load of its own users plus, for each filling image beside it, a factor of the pair of images
// times the share of the worker's processors that the filling one uses. A Load forecasts the users' load by
// harmonic regression; Factors are learned by a Kalman filter.
//
// Times are seconds from the Unix epoch, so that what was learned can be handed on to another host.
package interf
