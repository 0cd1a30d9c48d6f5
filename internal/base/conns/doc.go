// Package conns limits the number of outgoing connections that a process has open.
package conns
