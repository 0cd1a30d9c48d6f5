// Package demo runs the main job on embedded stand-ins in one process, brings about
// faults, and checks the promises.
package demo
