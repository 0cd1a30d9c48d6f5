// Package health decides from the outcomes of a worker's tasks whether the worker may get new ones.
package health
