// Package store is a small in-memory stand-in for the platform's key-value
// service, for the demo and the tests: it can be down or slow, can lose answers
// after the write took effect, and counts every call.
package store
