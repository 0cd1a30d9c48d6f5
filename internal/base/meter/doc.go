// Package meter counts the bytes that a process sends and receives over the network, by purpose.
package meter
