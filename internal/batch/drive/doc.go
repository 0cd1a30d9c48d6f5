// Package drive carries out the decisions of the scheduling core (package sched) in the process that is
// the holder. It loads the stored state, watches the operators' intent and the worker directory, polls the
// workers, sends them orders, stores what has changed and replies to callers.
package drive
