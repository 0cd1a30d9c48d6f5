// Package store is an in-memory stand-in for the platform's key-value service, for the
// demo and the tests. It can be down or slow, can lose the answers of writes that took
// effect, and counts all calls.
package store
