// Package wire holds the messages between an entry process and a worker.
package wire
