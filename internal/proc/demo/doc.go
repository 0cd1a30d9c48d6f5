// Package demo runs the system in one process against embedded stand-ins, injects
// faults, and checks that the guarantees hold.
package demo
