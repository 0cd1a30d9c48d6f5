// Package event is a queue of events in virtual time, for tests and measurements of
// cores that have no clock of their own.
package event
