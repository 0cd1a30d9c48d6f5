// Package wire defines the messages between an entry process and a worker: commands that
// start and control tasks, and the reports that a worker answers with.
package wire
