// Package conns bounds how many connections a process has open to others.
package conns
