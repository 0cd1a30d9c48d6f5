// Package trial plays days of a model with several policies in the same run and compares what
// callers get.
package trial
