// Package multi is a stand-in for the platform's key-value service: transactions, leases,
// watches and the ways in which it fails, in memory.
package txkv
