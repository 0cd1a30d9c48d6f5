// Package intake bounds what an HTTP server takes in from callers: the memory of their requests, the time of their
// bodies, and the number of their connections.
package intake
