// Package txkv is an in-memory stand-in for the platform's key-value service, with
// transactions, leases and watches. Calls can be refused, delayed or left unanswered.
package txkv
