// Package front implements an entry process: it receives callers' requests and forwards them to the holder. It also
// claims to be the holder when there is none, and runs the scheduler while it is.
package front
