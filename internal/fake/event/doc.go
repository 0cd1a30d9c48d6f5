// Package event provides a queue of events in virtual time, for tests and measurements of
// code that has no clock of its own.
package event
