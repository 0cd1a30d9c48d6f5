// Package front is an entry process on the platform: it takes callers' requests, passes them
// to the holder, and is the holder when the store says so.
package front
